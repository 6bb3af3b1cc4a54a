//! How long work takes at a server.

/// The resolution of a pace.
const STEPS_PER_UNIT: f64 = 32.0;

/// How long work takes at a server, as a multiple of its service's mean: in steps of 1/32, at most 7.9.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Pace(u8);

impl Pace {
    /// The pace that is not stated.
    pub const UNKNOWN: Self = Self(0);

    /// The step nearest to a multiple.
    #[must_use]
    pub fn new(multiple: f64) -> Self {
        Self((multiple * STEPS_PER_UNIT).round().clamp(1.0, 255.0) as u8)
    }

    /// The multiple; `None` if it is not stated.
    #[must_use]
    pub fn get(self) -> Option<f64> {
        (self != Self::UNKNOWN).then(|| f64::from(self.0) / STEPS_PER_UNIT)
    }

    /// The pace as sent in frames; zero if it is not stated.
    #[must_use]
    pub const fn to_byte(self) -> u8 {
        self.0
    }

    /// The pace of a byte from a frame.
    #[must_use]
    pub const fn from_byte(byte: u8) -> Self {
        Self(byte)
    }
}
