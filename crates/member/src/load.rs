//! Load hints that ride on other messages.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The units of a load hint's age between nodes.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// The bytes of one hint that is passed on.
const HINT_BYTES: usize = 7;

/// A node's load in two bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Work below this priority is shed; 0 sheds nothing.
    pub threshold: u8,
    /// The share of the slots in use; 255 is all of them or more.
    pub load: u8,
}

impl Load {
    /// The number between nodes; never zero.
    #[must_use]
    pub fn number(self) -> u32 {
        1 + (u32::from(self.threshold) << 8) + u32::from(self.load)
    }

    /// The load with this number; `None` for zero and for numbers out of range.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        let [high, mid, threshold, load] = number.checked_sub(1)?.to_be_bytes();
        (high == 0 && mid == 0).then_some(Self { threshold, load })
    }
}

/// A load and when it was true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// What the node said.
    pub load: Load,
    /// When it said so, on this node's clock, to within the time that messages were under way.
    pub at: Time,
}

impl LoadReport {
    /// How long ago the load was true.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.at)
    }
}

/// A load of another node as it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hint {
    pub tag: u32,
    pub load: Load,
    pub age: Duration,
}

/// The short name of a node in hints; two nodes may share one.
pub(crate) fn tag(id: NodeId) -> u32 {
    u32::try_from(id.0 & u64::from(u32::MAX)).expect("the mask leaves 32 bits")
}

impl Hint {
    /// The hint that passes a report on.
    pub(crate) fn new(id: NodeId, report: &LoadReport, now: Time) -> Self {
        Self {
            tag: tag(id),
            load: report.load,
            age: report.age(now),
        }
    }

    /// Appends the hint unless it is too old to be worth it.
    pub(crate) fn write(&self, buf: &mut Vec<u8>) {
        let units = self.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        let Ok(units) = u8::try_from(units) else {
            return;
        };
        buf.extend_from_slice(&self.tag.to_be_bytes());
        buf.extend_from_slice(&[self.load.threshold, self.load.load, units]);
    }

    /// Reads the hints of a message.
    pub(crate) fn read_all(buf: &[u8]) -> impl Iterator<Item = Self> + '_ {
        buf.chunks_exact(HINT_BYTES).map(Self::read)
    }

    fn read(chunk: &[u8]) -> Self {
        let tag = chunk[..4].try_into().expect("a chunk has seven bytes");
        let load = Load {
            threshold: chunk[4],
            load: chunk[5],
        };
        Self {
            tag: u32::from_be_bytes(tag),
            load,
            age: AGE_UNIT * u32::from(chunk[6]),
        }
    }
}
