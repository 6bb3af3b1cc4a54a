//! One candidate server as this node sees it.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::ejection::Ejection;

/// The load, in the owners' reports, of a server whose concurrency limit is just used up.
const FULL_LOAD: f64 = 128.0;
/// The weight of a server that has just come up or back.
const COLD_WEIGHT: f64 = 0.1;

new_key_type! {
    /// A candidate server of a [`Chooser`](crate::Chooser).
    pub struct ServerKey;
}

/// A server that announced itself.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The node beside the server.
    pub owner: NodeId,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Requests that it announces to run at once.
    pub slots: u32,
    /// Whether it has just started and warms up.
    pub is_cold: bool,
}

/// Whether a server may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It serves.
    #[default]
    Serving,
    /// It finishes what it has.
    Draining,
    /// Its owner cannot be reached.
    Unreachable,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The server answered.
    Served,
    /// The owner refused it; this says nothing about the server's soundness.
    Refused,
    /// The connection was lost, or the server failed.
    Failed,
    /// The request was given up at this end.
    Cancelled,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) candidate: Candidate,
    pub(crate) presence: Presence,
    pub(crate) ejection: Ejection,
    /// Requests of this node that have no answer yet.
    pub(crate) in_flight: u32,
    /// The time that it takes for its requests, over the mean of its service.
    pub(crate) pace: f64,
    /// The share of its runs that failed lately, in 255ths, as its owner told.
    pub(crate) failure_rate: u8,
    /// It fails more often than its peers, and gets work only where nobody else can.
    pub(crate) is_outlier: bool,
    warming_since: Option<Time>,
    report: Option<Report>,
}

/// The load that the owner reported last.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: f64,
    received: Time,
    /// This node's requests that the owner knew of when it reported.
    in_flight: u32,
}

impl Server {
    pub(crate) fn new(now: Time, candidate: Candidate) -> Self {
        Self {
            candidate,
            presence: Presence::Serving,
            ejection: Ejection::default(),
            in_flight: 0,
            pace: 1.0,
            failure_rate: 0,
            is_outlier: false,
            warming_since: candidate.is_cold.then_some(now),
            report: None,
        }
    }

    pub(crate) fn on_report(&mut self, now: Time, load: u8) {
        self.report = Some(Report {
            load: f64::from(load) / FULL_LOAD,
            received: now,
            in_flight: self.in_flight,
        });
    }

    pub(crate) fn warm_up_again(&mut self, now: Time) {
        self.warming_since = Some(now);
    }

    /// The part of its slots that is surely in use, or was when the owner reported, corrected by
    /// what this node has sent and got back since. An old report counts for less.
    pub(crate) fn utilisation(&self, now: Time, report_half_life: Duration) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1));
        let own = f64::from(self.in_flight) / slots;
        let Some(report) = self.report else {
            return own;
        };
        let sent_since = f64::from(self.in_flight) - f64::from(report.in_flight);
        let corrected = (report.load + sent_since / slots).max(own);
        let age = now.since(report.received).as_secs_f64() / report_half_life.as_secs_f64();
        own + (corrected - own) * 0.5_f64.powf(age)
    }

    /// The part of the usual work that the server is given while it warms up.
    pub(crate) fn weight(&self, now: Time, warm_up: Duration) -> f64 {
        let Some(since) = self.warming_since else {
            return 1.0;
        };
        let passed = now.since(since).as_secs_f64() / warm_up.as_secs_f64().max(f64::MIN_POSITIVE);
        passed.clamp(COLD_WEIGHT, 1.0)
    }
}
