//! What an owner tells the rest of the fleet about its overload.

use serde::{Deserialize, Serialize};

use crate::Priority;

/// Where shedding stands: everything below `threshold`, and a share of what is at it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Level {
    /// Requests of a lower priority are to be shed.
    pub threshold: Priority,
    /// The share of requests at the threshold that is to be shed, in 256ths.
    pub share: u8,
}

impl Level {
    /// Nothing is to be shed.
    pub const OPEN: Self = Self {
        threshold: Priority(0),
        share: 0,
    };
}

/// An owner's shedding level and load, sent with every answer and in gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Signal {
    /// Where shedding stands.
    pub level: Level,
    /// Running and waiting requests over the concurrency limit, in 128ths.
    pub load: u8,
}

/// The load of a server whose concurrency limit is just used up.
pub(crate) const FULL_LOAD: u64 = 128;

impl Signal {
    /// Packs the signal into the low 24 bits of a number, for frames and gossip.
    #[must_use]
    pub const fn to_bits(self) -> u32 {
        u32::from_be_bytes([0, self.level.threshold.0, self.level.share, self.load])
    }

    /// The signal in the low 24 bits of `bits`.
    #[must_use]
    pub const fn from_bits(bits: u32) -> Self {
        let [_, threshold, share, load] = bits.to_be_bytes();
        Self {
            level: Level {
                threshold: Priority(threshold),
                share,
            },
            load,
        }
    }
}
