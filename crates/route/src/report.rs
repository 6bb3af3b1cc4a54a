//! The report on its server that an owner sends with every answer.

use crate::Pace;

/// The load, the failure rate and the pace of a server, as measured by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct OwnerReport {
    /// Running and waiting requests over the concurrency limit, in 128ths.
    pub load: u8,
    /// The share of its recent runs that failed, in 255ths.
    pub failure_rate: u8,
    /// How long work takes there; stated where the server states how busy its machine is.
    pub pace: Pace,
    /// How long work takes there at this moment.
    pub pace_now: Pace,
}

impl OwnerReport {
    /// Packs the report into a number, as sent in frames. Earlier releases read its low 16 bits.
    #[must_use]
    pub const fn to_bits(self) -> u32 {
        let (pace_now, pace) = (self.pace_now.to_byte(), self.pace.to_byte());
        u32::from_be_bytes([pace_now, pace, self.failure_rate, self.load])
    }

    /// Unpacks the report from `bits`.
    #[must_use]
    pub const fn from_bits(bits: u32) -> Self {
        let [pace_now, pace, failure_rate, load] = bits.to_be_bytes();
        Self {
            load,
            failure_rate,
            pace: Pace::from_byte(pace),
            pace_now: Pace::from_byte(pace_now),
        }
    }
}
