//! The report on its server that an owner sends with every answer.

/// The load and the failure rate of a server, as measured by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct OwnerReport {
    /// Running and waiting requests over the concurrency limit, in 128ths.
    pub load: u8,
    /// The share of its recent runs that failed, in 255ths.
    pub failure_rate: u8,
}

impl OwnerReport {
    /// Packs the report into the low 16 bits of a number, as sent in frames.
    #[must_use]
    pub const fn to_bits(self) -> u32 {
        u32::from_be_bytes([0, 0, self.failure_rate, self.load])
    }

    /// Unpacks the report from the low 16 bits of `bits`.
    #[must_use]
    pub const fn from_bits(bits: u32) -> Self {
        let [_, _, failure_rate, load] = bits.to_be_bytes();
        Self { load, failure_rate }
    }
}
