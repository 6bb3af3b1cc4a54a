//! The owner's side of permits: requests, uses and releases them, one suspect at a time.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Fingerprint,
    message::{AskPermit, PermitAnswer, ReleasePermit, StrikeRecord},
};

/// Settings of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// How long a permit is valid from when it was asked for. Must be the same in the whole fleet.
    pub validity: Duration,
    /// Time-out for the coordinator's answer.
    pub patience: Duration,
    /// Interval at which an unacknowledged release is resent.
    pub resend: Duration,
    /// The retry-after delay of a refused request.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(30),
            patience: Duration::from_millis(300),
            resend: Duration::from_millis(100),
            retry_after: Duration::from_millis(200),
        }
    }
}

/// What the owner must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the permit request to the coordinator.
    Ask(NodeId, AskPermit),
    /// Run the request alone. It must have ended or been aborted by the given time.
    Run(RequestId, Time),
    /// Answer with the refusal; the request did not run.
    Refuse(RequestId, Refusal),
    /// Send the release to the coordinator.
    Release(NodeId, ReleasePermit),
}

/// The permit that one owner asks for or holds, and the releases of earlier ones.
#[derive(Debug)]
pub struct Holder {
    opts: Options,
    node: NodeId,
    next_number: u64,
    current: Option<Current>,
    /// Releases that the coordinator has not acknowledged.
    releases: Vec<UnacknowledgedRelease>,
}

/// The suspect that waits for its permit or runs.
#[derive(Debug)]
struct Current {
    request: RequestId,
    fingerprint: Fingerprint,
    coordinator: NodeId,
    number: u64,
    asked: Time,
    is_given: bool,
}

/// A release to be resent until it is acknowledged.
#[derive(Debug)]
struct UnacknowledgedRelease {
    coordinator: NodeId,
    release: ReleasePermit,
    asked: Time,
    sent: Time,
}

impl Holder {
    /// A holder for the node `node`, without a suspect.
    #[must_use]
    pub fn new(node: NodeId, opts: Options) -> Self {
        Self {
            opts,
            node,
            next_number: 1,
            current: None,
            releases: Vec::new(),
        }
    }

    /// Whether a suspect waits or runs here.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.current.is_some()
    }

    /// Asks `coordinator` for a permit to run a suspect. The request is refused without a
    /// coordinator, and while another suspect waits or runs here.
    pub fn begin(
        &mut self,
        now: Time,
        request: RequestId,
        fingerprint: Fingerprint,
        coordinator: Option<NodeId>,
    ) -> Vec<Action> {
        let Some(coordinator) = coordinator.filter(|_| self.current.is_none()) else {
            return vec![self.refuse(request)];
        };
        let number = self.next_number;
        self.next_number += 1;
        self.current = Some(Current {
            request,
            fingerprint,
            coordinator,
            number,
            asked: now,
            is_given: false,
        });
        let ask = AskPermit {
            fingerprint: fingerprint.0,
            holder: self.node.0,
            number,
        };
        vec![Action::Ask(coordinator, ask)]
    }

    /// Handles the coordinator's answer. Answers to earlier permit requests are ignored.
    pub fn on_answer(&mut self, now: Time, answer: &PermitAnswer) -> Vec<Action> {
        let is_pending = |it: &&mut Current| it.number == answer.number && !it.is_given;
        let Some(current) = self.current.as_mut().filter(is_pending) else {
            return Vec::new();
        };
        if answer.is_given {
            current.is_given = true;
            return vec![Action::Run(
                current.request,
                current.asked + self.opts.validity,
            )];
        }
        self.abandon_current(now)
    }

    /// Releases the permit after the request ended, was refused by admission, or will not run, with
    /// the strike if the server crashed during the run.
    pub fn done(
        &mut self,
        now: Time,
        request: RequestId,
        strike: Option<StrikeRecord>,
    ) -> Vec<Action> {
        match self.current.take_if(|it| it.request == request) {
            Some(current) => vec![self.release(now, &current, strike)],
            None => Vec::new(),
        }
    }

    /// Records that the coordinator acknowledged a release.
    pub fn on_acknowledged(&mut self, number: u64) {
        self.releases.retain(|it| it.release.number != number);
    }

    /// Abandons a permit request that was not answered in time, and resends releases. To be called
    /// about ten times a second while [`is_busy`](Self::is_busy) or releases are unacknowledged.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let answer_timeout = self.opts.patience;
        let has_timed_out = |it: &Current| !it.is_given && now.since(it.asked) >= answer_timeout;
        let mut actions = self.resend(now);
        if self.current.as_ref().is_some_and(has_timed_out) {
            actions.extend(self.abandon_current(now));
        }
        actions
    }

    /// Refuses the request and releases its permit, which may have been given in a lost answer.
    fn abandon_current(&mut self, now: Time) -> Vec<Action> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        let refusal = self.refuse(current.request);
        vec![refusal, self.release(now, &current, None)]
    }

    fn refuse(&self, request: RequestId) -> Action {
        let refusal = Refusal::not_run(Reason::Suspect).retry_after(self.opts.retry_after);
        Action::Refuse(request, refusal)
    }

    fn release(&mut self, now: Time, current: &Current, strike: Option<StrikeRecord>) -> Action {
        let release = ReleasePermit {
            fingerprint: current.fingerprint.0,
            holder: self.node.0,
            number: current.number,
            strike,
        };
        self.releases.push(UnacknowledgedRelease {
            coordinator: current.coordinator,
            release: release.clone(),
            asked: current.asked,
            sent: now,
        });
        Action::Release(current.coordinator, release)
    }

    /// Resends releases until they are acknowledged or their permit has certainly expired.
    fn resend(&mut self, now: Time) -> Vec<Action> {
        let (validity, resend_interval) = (self.opts.validity, self.opts.resend);
        self.releases
            .retain(|it| now.since(it.asked) < validity * 2);
        let due = self
            .releases
            .iter_mut()
            .filter(|it| now.since(it.sent) >= resend_interval);
        due.map(|it| {
            it.sent = now;
            Action::Release(it.coordinator, it.release.clone())
        })
        .collect()
    }
}
