//! Settings of the membership.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How often to probe, how long to wait, and how much to carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// One peer is probed in each period; [`Event::Tick`](crate::Event::Tick) comes as often.
    pub period: Duration,
    /// Others are asked to probe a peer that has not answered for so long.
    pub direct_timeout: Duration,
    /// A peer that has not answered for so long is suspected.
    pub probe_timeout: Duration,
    /// The peers that are asked to probe a silent one.
    pub relays: usize,
    /// A suspect that has not refuted for so long is unreachable.
    pub suspect_for: Duration,
    /// An unreachable member is probed once in each such time, one after the other.
    pub revive_period: Duration,
    /// An unreachable member is forgotten after so long.
    pub forget_after: Duration,
    /// News are sent this many times four more than the binary logarithm of the number of nodes;
    /// hearing them again counts as a sending.
    pub retransmit: u32,
    /// The most bytes of news in a probe or an answer.
    pub news_bytes: usize,
    /// The most bytes of members in a page.
    pub page_bytes: usize,
    /// At most one page is asked for in each such time, once the first copy is complete and unless
    /// the last one brought something new.
    pub pull_period: Duration,
    /// The most members that are kept, unreachable ones included.
    pub members: usize,
    /// The most members that are remembered as gone.
    pub tombstones: usize,
    /// Loads of other nodes in each answer.
    pub load_slots: usize,
    /// Ages of attestations in each answer.
    pub mark_slots: usize,
    /// Contents of new attestations in each message.
    pub report_slots: usize,
    /// The most attestations that are kept.
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
    /// How often a piece of news is sent by each node of a fleet of `nodes`.
    #[must_use]
    pub fn sends(&self, nodes: usize) -> u32 {
        let rounds = nodes.saturating_add(1).next_power_of_two().ilog2();
        self.retransmit * (rounds + 4)
    }
}
