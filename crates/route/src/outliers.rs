//! Excludes servers of a service that fail more often than their peers.
//!
//! A chain of many calls rarely completes if some of the servers lose two answers in five, although
//! the healthy servers could complete as many chains as they have capacity for. Where all servers
//! fail at the same rate none is excluded, since that would cost capacity and fix nothing.

use crate::ServerKey;

/// The excess of a server's failure rate over the reference at which it is excluded: a fifth. The
/// failure rate of 60 runs is uncertain by about a twentieth.
const EXCLUSION_EXCESS_255THS: u8 = 51;
/// The excess below which an excluded server is readmitted: a tenth.
const READMISSION_EXCESS_255THS: u8 = 25;

/// A server that serves, with its failure rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RatedServer {
    pub(crate) key: ServerKey,
    /// The share of its recent runs that failed, in 255ths.
    pub(crate) failure_rate: u8,
    /// Whether it is excluded already.
    pub(crate) was_outlier: bool,
}

/// The servers to exclude: at most half of them, those with the highest failure rates first. The
/// reference is the lower quartile of the failure rates.
pub(crate) fn outliers(mut servers: Vec<RatedServer>) -> Vec<ServerKey> {
    servers.sort_by_key(|server| server.failure_rate);
    let Some(reference) = servers
        .get(servers.len() / 4)
        .map(|server| server.failure_rate)
    else {
        return Vec::new();
    };
    let max_outliers = servers.len() / 2;
    let worst = servers.iter().rev().take(max_outliers);
    let is_outlier = |server: &&RatedServer| {
        let excess = server.failure_rate.saturating_sub(reference);
        excess
            >= if server.was_outlier {
                READMISSION_EXCESS_255THS
            } else {
                EXCLUSION_EXCESS_255THS
            }
    };
    worst.filter(is_outlier).map(|server| server.key).collect()
}
