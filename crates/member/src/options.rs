//! Settings of the membership.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Periods, timeouts and size limits of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Probe period: one peer is probed on each [`Event::Tick`](crate::Event::Tick), which the
    /// caller sends once per period.
    pub period: Duration,
    /// Time without an answer after which other peers are asked to probe the target.
    pub direct_timeout: Duration,
    /// Time without an answer after which a probed peer is suspected.
    pub probe_timeout: Duration,
    /// Number of peers that are asked to probe a target that did not answer.
    pub relays: usize,
    /// Time without a refutation after which a suspect becomes unreachable.
    pub suspect_for: Duration,
    /// Period in which one random unreachable member is probed.
    pub revive_period: Duration,
    /// Time after which an unreachable member is removed from the view.
    pub forget_after: Duration,
    /// Factor of the number of times that each update is sent, see [`sends`](Self::sends).
    /// Receiving the same update counts as a send.
    pub retransmit: u32,
    /// Maximum bytes of updates in a probe or an answer.
    pub news_bytes: usize,
    /// Maximum bytes of members in a page.
    pub page_bytes: usize,
    /// Minimum time between two pulls of differing buckets after the initial sync. After a page that
    /// changed the view, the next pull may follow after one `period`.
    pub pull_period: Duration,
    /// Maximum number of members in the view, unreachable ones included.
    pub members: usize,
    /// Maximum number of departed members whose ids are kept.
    pub tombstones: usize,
    /// Maximum number of load hints about other nodes in each answer.
    pub load_slots: usize,
    /// Maximum number of attestation ages in each answer.
    pub mark_slots: usize,
    /// Maximum number of gossiped attestation contents in each message.
    pub report_slots: usize,
    /// Maximum number of attestations that are kept.
    pub attestations: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(100),
            direct_timeout: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(600),
            relays: 3,
            suspect_for: Duration::from_secs(4),
            revive_period: Duration::from_secs(2),
            forget_after: Duration::from_secs(7_200),
            retransmit: 1,
            news_bytes: 200,
            page_bytes: 1_000,
            pull_period: Duration::from_secs(1),
            members: 4_096,
            tombstones: 4_096,
            load_slots: 2,
            mark_slots: 16,
            report_slots: 6,
            attestations: 64,
        }
    }
}

impl Options {
    /// The number of times that each node of a fleet of `nodes` sends one update: `retransmit` times
    /// four more than the binary logarithm of the number of nodes.
    #[must_use]
    pub fn sends(&self, nodes: usize) -> u32 {
        let rounds = nodes.saturating_add(1).next_power_of_two().ilog2();
        self.retransmit * (rounds + 4)
    }
}
