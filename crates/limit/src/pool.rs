use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cassiashunt_types::{ClockDrift, NodeId, Time};

use crate::{Limit, authority::Options};

/// Scale of `level_micros`. At one token per second, one millionth of a token accrues per microsecond.
const MICROS_PER_TOKEN: u64 = 1_000_000;
/// Length of the window of [`Limit::Minute`].
const MINUTE: Duration = Duration::from_secs(60);
/// Bounds the state per holder and key.
const MAX_OPEN_GRANTS_PER_HOLDER: usize = 64;
/// Grants with a shorter validity are not issued, since they would expire soon after they arrive.
const MIN_VALIDITY: Duration = Duration::from_millis(5);

/// Lower bound of the time within which a holder must report.
const MIN_REPORT_WITHIN: Duration = Duration::from_millis(20);
/// Upper bound of the time within which a holder must report.
const MAX_REPORT_WITHIN: Duration = Duration::from_millis(200);

/// The state in which a pool of tokens starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialTokens {
    /// No tokens, because a predecessor may have granted all of them.
    Empty,
    /// The full burst or cap. Allowed only if no earlier authority can have granted tokens of the key.
    Full,
    /// The state handed over by a predecessor that stopped.
    HandedOver {
        /// Whole tokens available, not granted to any holder.
        level: u64,
        /// Tokens granted that may still be spent.
        outstanding: u64,
        /// Whether the predecessor counted the current minute from its beginning. If not, a pool with
        /// a cap grants nothing until the minute ends.
        counts_minute: bool,
    },
}

/// A token request of a holder to one pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolRequest {
    pub holder: NodeId,
    pub number: u64,
    pub required: u64,
    pub prefetch: u64,
    pub demand_milli: u64,
}

/// The pool's answer to a [`PoolRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoolGrant {
    pub number: u64,
    pub amount: u64,
    pub validity: Duration,
    pub retry_after: Duration,
    pub backoff: Duration,
    pub report_within: Duration,
}

/// The token bucket or minute counter of one key.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    limit: Limit,
    level_micros: u64,
    /// Remainder of the division in `accrue`, carried over to the next call.
    accrual_remainder: u64,
    outstanding: u64,
    /// Part of `outstanding` that a predecessor granted, 0 once it has expired.
    inherited_outstanding: u64,
    inherited_expires_at: Time,
    advanced_to: Time,
    minute_ends: Time,
    /// Whether the current minute was not counted from its beginning. A cap grants nothing until it
    /// ends.
    partial_minute: bool,
    holders: BTreeMap<NodeId, HolderState>,
    demand_milli: u64,
    /// Expiry times of the grants, in order of granting.
    expiries: VecDeque<Expiry>,
    /// One entry per holder, with its last request at the time of the entry.
    idle_checks: VecDeque<IdleCheck>,
}

#[derive(Debug, Clone, Default)]
struct HolderState {
    grants: Vec<OpenGrant>,
    last_answer: Option<PoolGrant>,
    demand_milli: u64,
    last_request_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct OpenGrant {
    number: u64,
    amount: u64,
    spent: u64,
    returned: u64,
}

#[derive(Debug, Clone, Copy)]
struct Expiry {
    at: Time,
    holder: NodeId,
    number: u64,
}

#[derive(Debug, Clone, Copy)]
struct IdleCheck {
    last_request_at: Time,
    holder: NodeId,
}

impl OpenGrant {
    fn outstanding(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

impl Pool {
    /// Creates a pool. Minutes end at `minute_ends` and every 60 s after it.
    pub(crate) fn new(
        now: Time,
        limit: Limit,
        initial: InitialTokens,
        minute_ends: Time,
        options: &Options,
    ) -> Self {
        let full_level = match limit {
            Limit::Rate { burst, .. } => burst,
            Limit::Minute { cap } => cap,
        };
        let (level, outstanding, partial_minute) = match initial {
            InitialTokens::Empty => (0, 0, true),
            InitialTokens::Full => (full_level, 0, false),
            InitialTokens::HandedOver {
                level,
                outstanding,
                counts_minute,
            } => (level.min(full_level), outstanding, !counts_minute),
        };
        Self {
            limit,
            level_micros: level.saturating_mul(MICROS_PER_TOKEN),
            accrual_remainder: 0,
            outstanding,
            inherited_outstanding: outstanding,
            inherited_expires_at: now + options.clock_drift.max_elapsed(options.validity),
            advanced_to: now,
            minute_ends: next_minute_end(minute_ends, now),
            partial_minute,
            holders: BTreeMap::new(),
            demand_milli: 0,
            expiries: VecDeque::new(),
            idle_checks: VecDeque::new(),
        }
    }

    /// Changes the limit. Tokens granted under the old limit stay valid until they expire.
    pub(crate) fn set_limit(&mut self, now: Time, limit: Limit, options: &Options) {
        self.advance(now, options);
        if let (Limit::Minute { cap: old }, Limit::Minute { cap: new }) = (self.limit, limit) {
            let used = old.saturating_sub(self.level());
            self.level_micros = new.saturating_sub(used).saturating_mul(MICROS_PER_TOKEN);
        } else if std::mem::discriminant(&self.limit) != std::mem::discriminant(&limit) {
            self.level_micros = 0;
            self.partial_minute = true;
        }
        self.limit = limit;
        self.cap_level();
    }

    /// Whole tokens available to grant.
    pub(crate) fn level(&self) -> u64 {
        self.level_micros / MICROS_PER_TOKEN
    }

    /// Tokens granted that may still be spent.
    pub(crate) fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// The state from which a successor may continue.
    pub(crate) fn hand_over(&self) -> InitialTokens {
        InitialTokens::HandedOver {
            level: self.level(),
            outstanding: self.outstanding,
            counts_minute: !self.partial_minute,
        }
    }

    /// Answers a token request, or returns `None` if it is older than the last one of the holder.
    pub(crate) fn request(
        &mut self,
        now: Time,
        request: PoolRequest,
        options: &Options,
    ) -> Option<PoolGrant> {
        self.advance(now, options);
        self.record_demand(now, request);
        let state = self.holders.entry(request.holder).or_default();
        match state.last_answer {
            Some(answer) if answer.number == request.number => return Some(answer),
            Some(answer) if answer.number > request.number => return None,
            _ => {}
        }
        let may_grant = state.grants.len() < MAX_OPEN_GRANTS_PER_HOLDER;
        let validity = self.validity(now, options);
        let amount = match may_grant && validity >= MIN_VALIDITY {
            true => self.amount_to_grant(request),
            false => 0,
        };
        let grant = PoolGrant {
            number: request.number,
            amount,
            validity,
            retry_after: self.retry_after(now, request.required.saturating_sub(amount)),
            backoff: self.backoff(options),
            report_within: self.report_within(),
        };
        self.record_grant(now, request, grant, options.clock_drift);
        Some(grant)
    }

    /// Applies a report on a grant. Reports on unknown and expired grants are ignored.
    pub(crate) fn report(&mut self, holder: NodeId, number: u64, spent: u64, returned: u64) {
        let Some(state) = self.holders.get_mut(&holder) else {
            return;
        };
        let Some(at) = state
            .grants
            .iter()
            .position(|open_grant| open_grant.number == number)
        else {
            return;
        };
        let open_grant = &mut state.grants[at];
        let before = open_grant.outstanding();
        open_grant.spent = open_grant
            .spent
            .max(spent.min(open_grant.amount - open_grant.returned));
        let newly_returned = returned
            .min(open_grant.amount - open_grant.spent)
            .saturating_sub(open_grant.returned);
        open_grant.returned += newly_returned;
        self.outstanding -= before - open_grant.outstanding();
        if open_grant.outstanding() == 0 {
            state.grants.swap_remove(at);
        }
        self.level_micros += newly_returned * MICROS_PER_TOKEN;
        self.cap_level();
    }

    /// Advances to `now`: expires grants, drops idle holders and adds new tokens up to the limit.
    pub(crate) fn advance(&mut self, now: Time, options: &Options) {
        self.expire(now);
        self.remove_idle_holders(now, options.holder_idle_timeout);
        let span = now.since(self.advanced_to);
        self.advanced_to = self.advanced_to.max(now);
        match self.limit {
            Limit::Rate { per_sec, .. } => self.accrue(per_sec, span, options.clock_drift),
            Limit::Minute { cap } => self.refill_minute(now, cap),
        }
        self.cap_level();
    }

    /// Accrues tokens below the rate by the clock drift, so that a fast clock does not exceed it.
    fn accrue(&mut self, per_sec: u64, span: Duration, clock_drift: ClockDrift) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let scale = 1_000 + u128::from(clock_drift.per_mille);
        let due =
            u128::from(per_sec) * u128::from(micros) * 1_000 + u128::from(self.accrual_remainder);
        self.accrual_remainder = u64::try_from(due % scale)
            .expect("the remainder is below the scale, which fits in u64");
        let accrued = u64::try_from(due / scale).unwrap_or(u64::MAX);
        self.level_micros = self.level_micros.saturating_add(accrued);
    }

    fn refill_minute(&mut self, now: Time, cap: u64) {
        if now < self.minute_ends {
            return;
        }
        self.minute_ends = next_minute_end(self.minute_ends, now);
        self.partial_minute = false;
        self.level_micros = cap.saturating_mul(MICROS_PER_TOKEN);
    }

    /// Keeps level + outstanding within the burst, or the level within the cap.
    fn cap_level(&mut self) {
        let max_level = match self.limit {
            Limit::Rate { burst, .. } => burst.saturating_sub(self.outstanding),
            Limit::Minute { .. } if self.partial_minute => 0,
            Limit::Minute { cap } => cap,
        };
        let max_level_micros = max_level.saturating_mul(MICROS_PER_TOKEN);
        self.level_micros = self.level_micros.min(max_level_micros);
    }

    /// Grants the required tokens first. Of the spare tokens, a holder may prefetch half of its share,
    /// which is proportional to its demand.
    fn amount_to_grant(&self, request: PoolRequest) -> u64 {
        let level = self.level();
        let required = request.required.min(level);
        let spare = u128::from(level - required);
        let demand = u128::from(self.demand_milli.max(1));
        let spare_share = spare * u128::from(request.demand_milli) / (2 * demand);
        let spare_share = u64::try_from(spare_share).unwrap_or(level - required);
        required + request.prefetch.min(spare_share)
    }

    fn validity(&self, now: Time, options: &Options) -> Duration {
        match self.limit {
            Limit::Rate { .. } => options.validity,
            Limit::Minute { .. } => {
                let remaining = self.minute_ends.since(now);
                options
                    .validity
                    .min(min_elapsed(remaining, options.clock_drift))
            }
        }
    }

    fn retry_after(&self, now: Time, missing: u64) -> Duration {
        if missing == 0 {
            return Duration::ZERO;
        }
        match self.limit {
            Limit::Rate { per_sec, .. } => {
                let missing_micros = MICROS_PER_TOKEN - self.level_micros % MICROS_PER_TOKEN;
                Duration::from_micros(missing_micros / per_sec.max(1))
            }
            Limit::Minute { .. } => self.minute_ends.since(now),
        }
    }

    /// Spreads the next requests of the holders so that they total about `token_requests_per_sec`,
    /// independent of the number of holders.
    fn backoff(&self, options: &Options) -> Duration {
        let token_requests_per_sec = options.token_requests_per_sec.max(1);
        if self.demand_milli / 1_000 < u64::from(token_requests_per_sec) {
            return options.min_backoff;
        }
        let holders = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1) * holders / token_requests_per_sec;
        spread.clamp(options.min_backoff, options.validity)
    }

    /// Spent tokens reduce the usable burst until they are reported. The interval limits that to a
    /// tenth of the burst at the full rate, within [`MIN_REPORT_WITHIN`] and [`MAX_REPORT_WITHIN`].
    fn report_within(&self) -> Duration {
        match self.limit {
            Limit::Rate { per_sec, burst } => {
                let burst_tenth = Duration::from_millis(100 * burst / per_sec.max(1));
                burst_tenth.clamp(MIN_REPORT_WITHIN, MAX_REPORT_WITHIN)
            }
            Limit::Minute { .. } => MAX_REPORT_WITHIN,
        }
    }

    fn record_grant(
        &mut self,
        now: Time,
        request: PoolRequest,
        grant: PoolGrant,
        clock_drift: ClockDrift,
    ) {
        let state = self.holders.entry(request.holder).or_default();
        state.last_answer = Some(grant);
        if grant.amount == 0 {
            return;
        }
        state.grants.push(OpenGrant {
            number: grant.number,
            amount: grant.amount,
            spent: 0,
            returned: 0,
        });
        self.level_micros -= grant.amount * MICROS_PER_TOKEN;
        self.outstanding += grant.amount;
        self.expiries.push_back(Expiry {
            at: now + clock_drift.max_elapsed(grant.validity),
            holder: request.holder,
            number: grant.number,
        });
    }

    fn expire(&mut self, now: Time) {
        if now >= self.inherited_expires_at {
            self.outstanding -= std::mem::take(&mut self.inherited_outstanding);
        }
        while let Some(expiry) = self
            .expiries
            .front()
            .copied()
            .filter(|expiry| expiry.at <= now)
        {
            self.expiries.pop_front();
            self.expire_grant(expiry);
        }
    }

    /// Removes an expired grant. Its unreported tokens count as spent.
    fn expire_grant(&mut self, expiry: Expiry) {
        let Some(state) = self.holders.get_mut(&expiry.holder) else {
            return;
        };
        let has_number = |open_grant: &OpenGrant| open_grant.number == expiry.number;
        if let Some(at) = state.grants.iter().position(has_number) {
            let open_grant = state.grants.swap_remove(at);
            self.outstanding -= open_grant.outstanding();
        }
    }

    fn record_demand(&mut self, now: Time, request: PoolRequest) {
        if !self.holders.contains_key(&request.holder) {
            self.idle_checks.push_back(IdleCheck {
                last_request_at: now,
                holder: request.holder,
            });
        }
        let state = self.holders.entry(request.holder).or_default();
        let before = state.demand_milli;
        state.demand_milli = request.demand_milli;
        state.last_request_at = now;
        self.demand_milli = self.demand_milli - before + request.demand_milli;
    }

    /// Removes holders that sent no token request for `after`. Their grants have expired by then.
    fn remove_idle_holders(&mut self, now: Time, after: Duration) {
        while let Some(check) = self.idle_checks.front().copied() {
            if now.since(check.last_request_at) < after {
                return;
            }
            self.idle_checks.pop_front();
            self.check_idle_holder(now, after, check.holder);
        }
    }

    fn check_idle_holder(&mut self, now: Time, after: Duration, holder: NodeId) {
        let Some(state) = self.holders.get(&holder) else {
            return;
        };
        if now.since(state.last_request_at) < after {
            let last_request_at = state.last_request_at;
            self.idle_checks.push_back(IdleCheck {
                last_request_at,
                holder,
            });
            return;
        }
        self.demand_milli -= state.demand_milli;
        self.holders.remove(&holder);
    }
}

/// The first end of a minute after `now`, where `end` is the end of any minute.
fn next_minute_end(end: Time, now: Time) -> Time {
    let minutes = now.since(end).as_secs() / MINUTE.as_secs();
    let passed = u32::try_from(minutes).unwrap_or(u32::MAX);
    let next = end + MINUTE * passed;
    match next > now {
        true => next,
        false => next + MINUTE,
    }
}

/// Minimum time that may elapse on another node's clock while `span` elapses on this one.
fn min_elapsed(span: Duration, clock_drift: ClockDrift) -> Duration {
    let surplus = clock_drift.max_elapsed(span) - span;
    span.saturating_sub(surplus)
}
