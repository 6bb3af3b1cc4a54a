//! A candidate server, as observed by this node.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::{OwnerReport, ejection::Ejection};

/// The reported load of a server at which its concurrency limit is exactly reached.
const FULL_LOAD_128THS: f64 = 128.0;
/// The age at which half of what an owner states of this moment no longer holds.
const PACE_NOW_HALF_LIFE: Duration = Duration::from_millis(300);
/// The fraction of its usual work that a server receives at the start of its warm-up.
const MIN_WARM_UP_FRACTION: f64 = 0.1;

new_key_type! {
    /// Identifies a candidate server of a [`Chooser`](crate::Chooser).
    pub struct ServerKey;
}

/// The announced properties of a server.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The node that runs beside the server.
    pub owner: NodeId,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// The number of requests that it announces to run concurrently.
    pub slots: u32,
    /// Whether it has just started and needs a warm-up.
    pub is_cold: bool,
}

/// Whether a server may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It accepts requests.
    #[default]
    Serving,
    /// It completes the requests that it has and accepts no others.
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
    /// The owner refused it; this is no evidence of a server failure.
    Refused,
    /// The connection was lost, or the server failed.
    Failed,
    /// This node gave the request up.
    Cancelled,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) candidate: Candidate,
    pub(crate) presence: Presence,
    /// Whether its owner said that it takes no more work.
    pub(crate) is_leaving: bool,
    pub(crate) ejection: Ejection,
    /// Requests of this node that are not answered yet.
    pub(crate) in_flight: u32,
    /// Its mean service time divided by that of its service.
    pub(crate) pace: f64,
    /// The share of its recent runs that failed, in 255ths, as reported by its owner.
    pub(crate) failure_rate: u8,
    /// Whether it is excluded because it fails more often than its peers. It is chosen only if no
    /// other server is eligible.
    pub(crate) is_outlier: bool,
    warm_up_started: Option<Time>,
    report: Option<LoadReport>,
    stated_pace: Option<StatedPace>,
}

/// How long work takes at a server, as stated by its owner.
#[derive(Debug, Clone, Copy)]
struct StatedPace {
    usual: f64,
    now: f64,
    received: Time,
}

/// The owner's last load report.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    /// Running and waiting requests over the concurrency limit.
    load: f64,
    received: Time,
    /// Requests of this node that were in flight when the report was received.
    in_flight: u32,
}

impl Server {
    pub(crate) fn new(now: Time, candidate: Candidate) -> Self {
        Self {
            candidate,
            presence: Presence::Serving,
            is_leaving: false,
            ejection: Ejection::default(),
            in_flight: 0,
            pace: 1.0,
            failure_rate: 0,
            is_outlier: false,
            warm_up_started: candidate.is_cold.then_some(now),
            report: None,
            stated_pace: None,
        }
    }

    pub(crate) fn on_pace(&mut self, now: Time, report: OwnerReport) {
        let stated = report.pace.get().zip(report.pace_now.get());
        self.stated_pace = stated.map(|(usual, at_once)| StatedPace {
            usual,
            now: at_once,
            received: now,
        });
    }

    /// How long work that is sent now takes, as a multiple of the service's mean. What the owner stated
    /// of the moment fades into the usual.
    pub(crate) fn pace(&self, now: Time) -> f64 {
        let Some(stated) = self.stated_pace else {
            return self.pace;
        };
        let half_lives =
            now.since(stated.received).as_secs_f64() / PACE_NOW_HALF_LIFE.as_secs_f64();
        stated.usual + (stated.now - stated.usual) * 0.5_f64.powf(half_lives)
    }

    pub(crate) fn on_load(&mut self, now: Time, load: u8) {
        self.report = Some(LoadReport {
            load: f64::from(load) / FULL_LOAD_128THS,
            received: now,
            in_flight: self.in_flight,
        });
    }

    pub(crate) fn restart_warm_up(&mut self, now: Time) {
        self.warm_up_started = Some(now);
    }

    /// The share of its slots that is in use: the reported load, corrected by the requests that
    /// this node has sent and seen end since the report, and at least this node's requests in
    /// flight. The weight of the report decays with its age.
    pub(crate) fn utilisation(&self, now: Time, report_half_life: Duration) -> f64 {
        let slots = f64::from(self.candidate.slots.max(1));
        let own = f64::from(self.in_flight) / slots;
        let Some(report) = self.report else {
            return own;
        };
        let sent_since = f64::from(self.in_flight) - f64::from(report.in_flight);
        let corrected = (report.load + sent_since / slots).max(own);
        let half_lives = now.since(report.received).as_secs_f64() / report_half_life.as_secs_f64();
        own + (corrected - own) * 0.5_f64.powf(half_lives)
    }

    /// The fraction of its usual work that the server receives: below 1 while it warms up.
    pub(crate) fn warm_up_fraction(&self, now: Time, warm_up: Duration) -> f64 {
        let Some(started) = self.warm_up_started else {
            return 1.0;
        };
        let fraction =
            now.since(started).as_secs_f64() / warm_up.as_secs_f64().max(f64::MIN_POSITIVE);
        fraction.clamp(MIN_WARM_UP_FRACTION, 1.0)
    }
}
