//! Load reports that are piggybacked on other messages.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Unit of a load hint's age on the wire.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// Encoded size of one load hint: tag 4, load 2, age 1.
const HINT_BYTES: usize = 7;

/// A node's load, in two bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// Requests below this priority are shed; at 0 none are.
    pub threshold: u8,
    /// The share of the slots in use, in units of 1/255; 255 is full or overloaded.
    pub load: u8,
}

impl Load {
    /// The number that is sent between nodes; never zero.
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

/// A node's load and when it was current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The reported load.
    pub load: Load,
    /// When it was reported, on the receiver's clock, accurate to within the network delay of the
    /// messages that carried it.
    pub at: Time,
}

impl LoadReport {
    /// The time since the load was reported.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.at)
    }
}

/// Another node's load, as it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hint {
    pub tag: u32,
    pub load: Load,
    pub age: Duration,
}

/// The low 32 bits of a node id, which identify it in hints; two nodes may share a tag.
pub(crate) fn tag(id: NodeId) -> u32 {
    u32::try_from(id.0 & u64::from(u32::MAX)).expect("a value masked to 32 bits exceeds u32")
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

    /// Appends the hint, unless its age does not fit into one byte of [`AGE_UNIT`]s.
    pub(crate) fn write(&self, buf: &mut Vec<u8>) {
        let units = self.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        let Ok(units) = u8::try_from(units) else {
            return;
        };
        buf.extend_from_slice(&self.tag.to_be_bytes());
        buf.extend_from_slice(&[self.load.threshold, self.load.load, units]);
    }

    /// Decodes the hints of a message.
    pub(crate) fn read_all(buf: &[u8]) -> impl Iterator<Item = Self> + '_ {
        buf.chunks_exact(HINT_BYTES).map(Self::read)
    }

    fn read(chunk: &[u8]) -> Self {
        let tag = chunk[..4]
            .try_into()
            .expect("a hint is shorter than its tag of 4 bytes");
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
