//! The overload signal that an owner sends to the other nodes.

use serde::{Deserialize, Serialize};

use crate::Priority;

/// A shedding level: all requests below `threshold` are shed, and a share of those at it.
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
    /// Sheds nothing.
    pub const OPEN: Self = Self {
        threshold: Priority(0),
        share: 0,
    };
}

/// An owner's shedding level and load, sent with every answer and in gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Signal {
    /// What the other nodes have to shed.
    pub level: Level,
    /// Running and waiting requests divided by the concurrency limit, in 128ths; 255 at most.
    pub load: u8,
}

/// The load of a server that runs as many requests as its concurrency limit, in 128ths.
pub(crate) const FULL_LOAD: u64 = 128;

impl Signal {
    /// Encodes the signal in the low 24 bits of a number, for frames and gossip.
    #[must_use]
    pub const fn to_bits(self) -> u32 {
        u32::from_be_bytes([0, self.level.threshold.0, self.level.share, self.load])
    }

    /// Decodes the signal from the low 24 bits of `bits`.
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
