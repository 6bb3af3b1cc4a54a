//! Which servers of a service are left out because they fail more often than their peers.
//!
//! Answers the load of a chain of many calls: where some servers lose two answers in five, hardly
//! any chain finishes that meets them, while the sound ones could finish those that fit. Where all
//! servers fail alike nobody is left out, since that would cost capacity and mend nothing.

use crate::ServerKey;

/// How much more of its runs a server fails than the reference, in 255ths, when it is left out: a
/// fifth. The share of 60 runs is uncertain by about a twentieth.
const ENTER: u8 = 51;
/// Below this, it is taken back in: a tenth.
const LEAVE: u8 = 25;

/// A server that may be left out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspect {
    pub(crate) key: ServerKey,
    /// The share of its runs that failed lately, in 255ths.
    pub(crate) failure_rate: u8,
    /// It is left out now.
    pub(crate) is_out: bool,
}

/// The servers to leave out: the worst first, and at most half. The reference is the lower quartile.
pub(crate) fn outliers(mut servers: Vec<Suspect>) -> Vec<ServerKey> {
    servers.sort_by_key(|server| server.failure_rate);
    let Some(reference) = servers
        .get(servers.len() / 4)
        .map(|server| server.failure_rate)
    else {
        return Vec::new();
    };
    let most = servers.len() / 2;
    let worst = servers.iter().rev().take(most);
    let is_outlier = |server: &&Suspect| {
        let excess = server.failure_rate.saturating_sub(reference);
        excess >= if server.is_out { LEAVE } else { ENTER }
    };
    worst.filter(is_outlier).map(|server| server.key).collect()
}
