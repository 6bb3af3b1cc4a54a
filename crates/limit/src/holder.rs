//! The client side of a limit shard: tokens that a node holds for the keys of the shard.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, Time};

use crate::{Key, demand::Demand, msg};

/// The state of a key is dropped when its demand, in tokens per second, falls below this.
const MIN_TRACKED_DEMAND_PER_SEC: f64 = 0.01;
/// Replacements are prefetched this long before tokens are returned to the authority.
const PREFETCH_LEAD: Duration = Duration::from_millis(100);
/// Fewer tokens are not prefetched, since one token request per client request costs no more.
const MIN_PREFETCH_TOKENS: u64 = 2;

/// Settings of [`Holder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Tokens are prefetched for the recent demand over this time.
    pub prefetch_span: Duration,
    /// Interval at which an unanswered token request is resent.
    pub resend_interval: Duration,
    /// Time after which an unanswered token request is abandoned. Equals the maximum validity of a
    /// grant, which counts from when the request was first sent.
    pub request_timeout: Duration,
    /// Unspent tokens are returned when their remaining validity falls below this, or below a quarter
    /// of the validity where that is shorter.
    pub return_margin: Duration,
    /// Retry-after delay of a refusal where no authority answers.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefetch_span: Duration::from_millis(200),
            resend_interval: Duration::from_millis(30),
            request_timeout: Duration::from_secs(1),
            return_margin: Duration::from_millis(250),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The attempts of a client request to take tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The first attempt, which also counts as demand.
    First,
    /// A repeated attempt after a wait.
    Retry,
    /// A repeated attempt when the waiting time is used up. Never yields [`Decision::Wait`].
    Last,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The tokens are taken and the request may run.
    Taken,
    /// Send the frame of [`Holder::poll`]. Retry when an answer arrives, and for the last time after a
    /// few milliseconds.
    Wait,
    /// Refuse the request.
    Refused(Refusal),
}

/// Holds a node's grants for the keys of one shard and admits requests against them.
#[derive(Debug, Clone)]
pub struct Holder {
    me: NodeId,
    options: Options,
    epoch: Option<Epoch>,
    last_number: u64,
    states: BTreeMap<Key, KeyState>,
}

#[derive(Debug, Clone, Default)]
struct KeyState {
    grants: VecDeque<HeldGrant>,
    pending: Option<PendingRequest>,
    /// Tokens for waiting client requests that no token request covers yet.
    waiting_tokens: u64,
    demand: Demand,
    /// End of the authority's backoff. Requests without tokens are refused until then.
    refuse_until: Time,
    /// When the authority expects a token for a refused request.
    retry_at: Time,
    /// No tokens are prefetched before this time, since the last grant was incomplete.
    prefetch_after: Time,
    report_within: Duration,
    report_due: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    epoch: Epoch,
    number: u64,
    amount: u64,
    spent: u64,
    returned: u64,
    /// Spent plus returned tokens as of the last report.
    reported: u64,
    return_at: Time,
    expires_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    number: u64,
    first_sent: Time,
    last_sent: Time,
    required: u64,
    prefetch: u64,
    demand_milli: u64,
}

impl HeldGrant {
    fn remaining(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

impl Holder {
    /// Creates a holder without tokens that knows no authority.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            epoch: None,
            last_number: 0,
            states: BTreeMap::new(),
        }
    }

    /// Switches to the shard's authority in `epoch`, if that is newer than the known epoch. Tokens of
    /// earlier epochs stay valid until they expire.
    pub fn follow_epoch(&mut self, epoch: Epoch) {
        if self.epoch.is_some_and(|known| known >= epoch) {
            return;
        }
        self.epoch = Some(epoch);
        for state in self.states.values_mut() {
            state.pending = None;
            state.refuse_until = Time::ZERO;
        }
    }

    /// Takes `tokens` from each key, or from none.
    ///
    /// The reason of a refusal is [`Reason::OverLimit`] or [`Reason::OverMinute`] if the authority had
    /// too few tokens, and [`Reason::NotInTouch`] if it did not answer. A refused request did not run.
    pub fn try_take(&mut self, now: Time, keys: &[Key], tokens: u64, attempt: Attempt) -> Decision {
        for key in keys {
            let state = self.states.entry(*key).or_default();
            state.drop_expired(now);
            if attempt == Attempt::First {
                state.demand.add(now, tokens);
            }
        }
        if keys.iter().any(|key| self.remaining(key) < tokens) {
            return self.wait_or_refuse(now, keys, tokens, attempt);
        }
        self.take(now, keys, tokens);
        Decision::Taken
    }

    /// Returns the frame to send to the authority now, if any. Call it every few milliseconds and after
    /// [`Decision::Wait`].
    pub fn poll(&mut self, now: Time) -> Option<msg::HolderFrame> {
        let epoch = self.epoch?;
        let mut frame = msg::HolderFrame {
            holder: self.me.0,
            epoch: epoch.0,
            ..Default::default()
        };
        let options = &self.options;
        for (key, state) in &mut self.states {
            state.drop_expired(now);
            state.return_unused(now);
            let request = state.next_request(now, options, &mut self.last_number);
            frame
                .token_requests
                .extend(request.map(|request| request.message(*key)));
        }
        let is_due = |state: &KeyState| state.report_due.is_some_and(|due| now >= due);
        if !frame.token_requests.is_empty() || self.states.values().any(is_due) {
            for (key, state) in &mut self.states {
                state.report(*key, epoch, &mut frame.reports);
            }
        }
        self.states.retain(|_, state| !state.is_idle(now));
        let is_empty = frame.token_requests.is_empty() && frame.reports.is_empty();
        (!is_empty).then_some(frame)
    }

    /// Applies the grants of an authority's frame. A frame of another epoch is ignored.
    pub fn handle_frame(&mut self, now: Time, frame: &msg::AuthorityFrame) {
        if self.epoch != Some(Epoch(frame.epoch)) {
            return;
        }
        for grant in &frame.grants {
            let key = grant.key.as_ref().and_then(msg::WireKey::key);
            if let Some(state) = key.and_then(|key| self.states.get_mut(&key)) {
                state.handle_grant(now, Epoch(frame.epoch), grant, &self.options);
            }
        }
    }

    /// Returns all unspent tokens to the authority, for a planned stop.
    pub fn drain(&mut self) -> Option<msg::HolderFrame> {
        let epoch = self.epoch?;
        let mut reports = Vec::new();
        for (key, state) in &mut self.states {
            for grant in &mut state.grants {
                grant.returned += grant.remaining();
            }
            state.report(*key, epoch, &mut reports);
        }
        (!reports.is_empty()).then_some(msg::HolderFrame {
            holder: self.me.0,
            epoch: epoch.0,
            token_requests: Vec::new(),
            reports,
        })
    }

    fn remaining(&self, key: &Key) -> u64 {
        self.states.get(key).map_or(0, KeyState::remaining)
    }

    fn take(&mut self, now: Time, keys: &[Key], tokens: u64) {
        for key in keys {
            let state = self
                .states
                .get_mut(key)
                .expect("try_take inserts a state for each key");
            state.take(now, tokens);
        }
    }

    fn wait_or_refuse(
        &mut self,
        now: Time,
        keys: &[Key],
        tokens: u64,
        attempt: Attempt,
    ) -> Decision {
        let mut decision = Decision::Wait;
        for key in keys {
            let state = self
                .states
                .get_mut(key)
                .expect("try_take inserts a state for each key");
            if state.remaining() >= tokens {
                continue;
            }
            if now < state.refuse_until {
                return Decision::Refused(state.refusal(now, key));
            }
            let is_requested = state.waiting_tokens > 0 || state.pending.is_some();
            if attempt == Attempt::First || !is_requested {
                state.waiting_tokens += tokens;
            }
        }
        if attempt == Attempt::Last || self.epoch.is_none() {
            let refusal = Refusal::not_run(Reason::NotInTouch);
            decision = Decision::Refused(refusal.retry_after(self.options.retry_after));
        }
        decision
    }
}

impl KeyState {
    fn remaining(&self) -> u64 {
        self.grants.iter().map(HeldGrant::remaining).sum()
    }

    /// Unspent tokens of grants that are not returned within [`PREFETCH_LEAD`].
    fn lasting_tokens(&self, now: Time) -> u64 {
        let lead_end = now + PREFETCH_LEAD;
        let lasting_tokens = self
            .grants
            .iter()
            .filter(|grant| lead_end < grant.return_at);
        lasting_tokens.map(HeldGrant::remaining).sum()
    }

    fn drop_expired(&mut self, now: Time) {
        self.grants.retain(|grant| now < grant.expires_at);
    }

    /// Takes tokens from the oldest grants first.
    fn take(&mut self, now: Time, tokens: u64) {
        self.report_due.get_or_insert(now + self.report_within);
        let mut missing = tokens;
        for grant in &mut self.grants {
            let taken = missing.min(grant.remaining());
            grant.spent += taken;
            missing -= taken;
        }
    }

    fn refusal(&self, now: Time, key: &Key) -> Refusal {
        let reason = match key.cell {
            Some(_) => Reason::OverMinute,
            None => Reason::OverLimit,
        };
        let at = self.retry_at.max(self.refuse_until);
        Refusal::not_run(reason).retry_after(at.since(now))
    }

    /// The token request to send now: a new one, or a resend of the pending one.
    fn next_request(
        &mut self,
        now: Time,
        options: &Options,
        last_number: &mut u64,
    ) -> Option<PendingRequest> {
        if let Some(pending) = &mut self.pending {
            if now.since(pending.first_sent) < options.request_timeout {
                let is_due = now.since(pending.last_sent) >= options.resend_interval;
                return is_due.then(|| pending.resend(now));
            }
            self.pending = None;
            self.waiting_tokens = 0;
        }
        if now < self.refuse_until {
            return None;
        }
        let per_sec = self.demand.per_sec(now);
        let target = (per_sec * options.prefetch_span.as_secs_f64()) as u64;
        let lasting_tokens = self.lasting_tokens(now);
        let may_prefetch = target >= MIN_PREFETCH_TOKENS && now >= self.prefetch_after;
        let prefetch = match may_prefetch && lasting_tokens * 2 < target {
            true => target - lasting_tokens,
            false => 0,
        };
        if self.waiting_tokens == 0 && prefetch == 0 {
            return None;
        }
        *last_number += 1;
        let pending = PendingRequest {
            number: *last_number,
            first_sent: now,
            last_sent: now,
            required: std::mem::take(&mut self.waiting_tokens),
            prefetch,
            demand_milli: (per_sec * 1_000.0) as u64,
        };
        self.pending = Some(pending);
        Some(pending)
    }

    fn handle_grant(&mut self, now: Time, epoch: Epoch, grant: &msg::Grant, options: &Options) {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == grant.number)
        else {
            return;
        };
        self.pending = None;
        let validity = Duration::from_micros(grant.validity_micros);
        let expires_at = pending.first_sent + validity;
        let return_margin = options.return_margin.min(validity / 4);
        if grant.amount > 0 && now < expires_at {
            self.grants.push_back(HeldGrant {
                epoch,
                number: grant.number,
                amount: grant.amount,
                spent: 0,
                returned: 0,
                reported: 0,
                return_at: expires_at.before(return_margin),
                expires_at,
            });
        }
        let backoff = Duration::from_micros(grant.backoff_micros);
        self.report_within = Duration::from_micros(grant.report_within_micros);
        if grant.amount < pending.required + pending.prefetch {
            self.prefetch_after = now + backoff.max(options.prefetch_span / 4);
        }
        if grant.amount < pending.required {
            self.refuse_until = now + backoff;
            self.retry_at = now + Duration::from_micros(grant.retry_after_micros);
            self.waiting_tokens = 0;
        }
    }

    fn return_unused(&mut self, now: Time) {
        for grant in &mut self.grants {
            if now >= grant.return_at && grant.remaining() > 0 {
                grant.returned += grant.remaining();
                self.report_due.get_or_insert(now);
            }
        }
    }

    fn report(&mut self, key: Key, epoch: Epoch, reports: &mut Vec<msg::Report>) {
        self.report_due = None;
        let of_epoch = self.grants.iter_mut().filter(|grant| grant.epoch == epoch);
        for grant in of_epoch.filter(|grant| grant.spent + grant.returned > grant.reported) {
            grant.reported = grant.spent + grant.returned;
            reports.push(msg::Report {
                key: Some(key.into()),
                number: grant.number,
                spent: grant.spent,
                returned: grant.returned,
            });
        }
        self.grants.retain(|grant| grant.reported < grant.amount);
    }

    fn is_idle(&mut self, now: Time) -> bool {
        let is_empty = self.grants.is_empty() && self.pending.is_none() && self.waiting_tokens == 0;
        is_empty
            && now >= self.refuse_until
            && self.demand.per_sec(now) < MIN_TRACKED_DEMAND_PER_SEC
    }
}

impl PendingRequest {
    fn resend(&mut self, now: Time) -> Self {
        self.last_sent = now;
        *self
    }

    fn message(self, key: Key) -> msg::TokenRequest {
        msg::TokenRequest {
            key: Some(key.into()),
            number: self.number,
            required: self.required,
            prefetch: self.prefetch,
            demand_milli: self.demand_milli,
        }
    }
}
