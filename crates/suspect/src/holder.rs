//! The owner's side of permits: one suspect at a time.

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
    /// How long a permit holds from when it was asked for; the same in the whole fleet.
    pub validity: Duration,
    /// How long an answer is awaited.
    pub patience: Duration,
    /// The time between two sendings of a release.
    pub resend: Duration,
    /// The time to come back after a refusal.
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

/// What the owner is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the question to the coordinator.
    Ask(NodeId, AskPermit),
    /// Run the request alone. It must have ended, or been cut off, by the time given.
    Run(RequestId, Time),
    /// Answer with the refusal; the request never ran.
    Refuse(RequestId, Refusal),
    /// Send the release to the coordinator.
    Release(NodeId, ReleasePermit),
}

/// The permits that one owner holds or gives back.
#[derive(Debug)]
pub struct Holder {
    opts: Options,
    me: NodeId,
    next: u64,
    current: Option<Current>,
    /// Releases without an acknowledgement.
    releases: Vec<Unacknowledged>,
}

/// The suspect that waits for its permit, or runs.
#[derive(Debug)]
struct Current {
    request: RequestId,
    fingerprint: Fingerprint,
    coordinator: NodeId,
    number: u64,
    asked: Time,
    is_given: bool,
}

#[derive(Debug)]
struct Unacknowledged {
    coordinator: NodeId,
    release: ReleasePermit,
    asked: Time,
    sent: Time,
}

impl Holder {
    /// An owner without a suspect.
    #[must_use]
    pub fn new(me: NodeId, opts: Options) -> Self {
        Self {
            opts,
            me,
            next: 1,
            current: None,
            releases: Vec::new(),
        }
    }

    /// Whether a suspect waits or runs here.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.current.is_some()
    }

    /// Takes in a suspect, and the node that gives permits for it. It is refused while another
    /// suspect waits or runs here.
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
        let number = self.next;
        self.next += 1;
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
            holder: self.me.0,
            number,
        };
        vec![Action::Ask(coordinator, ask)]
    }

    /// Takes in the coordinator's answer; one to an earlier question is left out.
    pub fn on_answer(&mut self, now: Time, answer: &PermitAnswer) -> Vec<Action> {
        let is_awaited = |it: &&mut Current| it.number == answer.number && !it.is_given;
        let Some(current) = self.current.as_mut().filter(is_awaited) else {
            return Vec::new();
        };
        if answer.is_given {
            current.is_given = true;
            return vec![Action::Run(
                current.request,
                current.asked + self.opts.validity,
            )];
        }
        self.give_up(now)
    }

    /// Takes in that the request ended, was refused by admission, or will not run; with the strike
    /// where the server died of it.
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

    /// Takes in that the coordinator has a release.
    pub fn on_acknowledged(&mut self, number: u64) {
        self.releases.retain(|it| it.release.number != number);
    }

    /// Gives up a question without an answer, and sends releases again; to be called about ten
    /// times a second while [`is_busy`](Self::is_busy) or releases are out.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let patience = self.opts.patience;
        let is_late = |it: &Current| !it.is_given && now.since(it.asked) >= patience;
        let mut actions = self.resend(now);
        if self.current.as_ref().is_some_and(is_late) {
            actions.extend(self.give_up(now));
        }
        actions
    }

    /// Refuses the request and gives its permit back, as the answer may just be lost.
    fn give_up(&mut self, now: Time) -> Vec<Action> {
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
            holder: self.me.0,
            number: current.number,
            strike,
        };
        self.releases.push(Unacknowledged {
            coordinator: current.coordinator,
            release: release.clone(),
            asked: current.asked,
            sent: now,
        });
        Action::Release(current.coordinator, release)
    }

    /// Sends releases again until they are acknowledged, or their permit has lapsed anyway.
    fn resend(&mut self, now: Time) -> Vec<Action> {
        let (validity, resend) = (self.opts.validity, self.opts.resend);
        self.releases
            .retain(|it| now.since(it.asked) < validity * 2);
        let due = self
            .releases
            .iter_mut()
            .filter(|it| now.since(it.sent) >= resend);
        due.map(|it| {
            it.sent = now;
            Action::Release(it.coordinator, it.release.clone())
        })
        .collect()
    }
}
