use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cassiashunt_types::{ClockDrift, NodeId, Time};

use crate::{Limit, authority::Options};

/// Millionths of a token; one token a second makes one of them each microsecond.
const MICROS_PER_TOKEN: u64 = 1_000_000;
/// Length of the window of a cap.
const MINUTE: Duration = Duration::from_secs(60);
/// The most grants that one holder may have open for one key.
const OPEN_GRANTS: usize = 64;
/// Grants shorter than this are not worth sending.
const SHORTEST_VALIDITY: Duration = Duration::from_millis(5);

/// The shortest time that a holder is given to report.
const SOONEST_REPORT: Duration = Duration::from_millis(20);
/// The longest time that a holder is given to report.
const LATEST_REPORT: Duration = Duration::from_millis(200);

/// What a pool of tokens starts with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialTokens {
    /// Nothing: a predecessor may have given away all that there was.
    Empty,
    /// All of it: nobody ever gave tokens of this shard.
    Full,
    /// What a predecessor that stopped for good has left.
    HandedOver {
        /// Whole tokens that it had not given.
        level: u64,
        /// Tokens that it gave and that may still be spent.
        outstanding: u64,
        /// Whether it counted the running minute from its beginning.
        counts_minute: bool,
    },
}

/// A question as the pool sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish {
    pub holder: NodeId,
    pub number: u64,
    pub required: u64,
    pub prefetch: u64,
    pub demand_milli: u64,
}

/// The pool's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gift {
    pub number: u64,
    pub amount: u64,
    pub validity: Duration,
    pub retry_after: Duration,
    pub backoff: Duration,
    pub report_within: Duration,
}

/// The tokens of one key.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    limit: Limit,
    level_micros: u64,
    earn_rest: u64,
    outstanding: u64,
    inherited: u64,
    inherited_lapses: Time,
    advanced: Time,
    window_ends: Time,
    closed: bool,
    holders: BTreeMap<NodeId, HolderState>,
    demand_milli: u64,
    lapses: VecDeque<Lapse>,
    last_seen: VecDeque<LastSeen>,
}

#[derive(Debug, Clone, Default)]
struct HolderState {
    given: Vec<Given>,
    answer: Option<Gift>,
    demand_milli: u64,
    seen: Time,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    number: u64,
    amount: u64,
    spent: u64,
    returned: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lapse {
    at: Time,
    holder: NodeId,
    number: u64,
}

#[derive(Debug, Clone, Copy)]
struct LastSeen {
    at: Time,
    holder: NodeId,
}

impl Given {
    fn open(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

impl Pool {
    /// A pool whose minutes end at `minute_ends` and each minute after it.
    pub(crate) fn new(
        now: Time,
        limit: Limit,
        start: InitialTokens,
        minute_ends: Time,
        options: &Options,
    ) -> Self {
        let all = match limit {
            Limit::Rate { burst, .. } => burst,
            Limit::Minute { cap } => cap,
        };
        let (level, outstanding, closed) = match start {
            InitialTokens::Empty => (0, 0, true),
            InitialTokens::Full => (all, 0, false),
            InitialTokens::HandedOver {
                level,
                outstanding,
                counts_minute,
            } => (level.min(all), outstanding, !counts_minute),
        };
        Self {
            limit,
            level_micros: level.saturating_mul(MICROS_PER_TOKEN),
            earn_rest: 0,
            outstanding,
            inherited: outstanding,
            inherited_lapses: now + options.clock_drift.max_elapsed(options.validity),
            advanced: now,
            window_ends: next_end(minute_ends, now),
            closed,
            holders: BTreeMap::new(),
            demand_milli: 0,
            lapses: VecDeque::new(),
            last_seen: VecDeque::new(),
        }
    }

    /// Changes the limit; tokens given under the old one stay good until they lapse.
    pub(crate) fn set_limit(&mut self, now: Time, limit: Limit, options: &Options) {
        self.advance(now, options);
        if let (Limit::Minute { cap: old }, Limit::Minute { cap: new }) = (self.limit, limit) {
            let used = old.saturating_sub(self.level());
            self.level_micros = new.saturating_sub(used).saturating_mul(MICROS_PER_TOKEN);
        } else if std::mem::discriminant(&self.limit) != std::mem::discriminant(&limit) {
            self.level_micros = 0;
            self.closed = true;
        }
        self.limit = limit;
        self.cap_level();
    }

    /// Whole tokens that could be given now.
    pub(crate) fn level(&self) -> u64 {
        self.level_micros / MICROS_PER_TOKEN
    }

    /// Tokens given that may still be spent.
    pub(crate) fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// What a successor may go on with.
    pub(crate) fn hand_over(&self) -> InitialTokens {
        InitialTokens::HandedOver {
            level: self.level(),
            outstanding: self.outstanding,
            counts_minute: !self.closed,
        }
    }

    /// Answers a question; `None` for one that is older than the last.
    pub(crate) fn ask(&mut self, now: Time, wish: Wish, options: &Options) -> Option<Gift> {
        self.advance(now, options);
        self.note_seen(now, wish);
        let state = self.holders.entry(wish.holder).or_default();
        match state.answer {
            Some(answer) if answer.number == wish.number => return Some(answer),
            Some(answer) if answer.number > wish.number => return None,
            _ => {}
        }
        let has_room = state.given.len() < OPEN_GRANTS;
        let validity = self.validity(now, options);
        let amount = match has_room && validity >= SHORTEST_VALIDITY {
            true => self.share(wish),
            false => 0,
        };
        let gift = Gift {
            number: wish.number,
            amount,
            validity,
            retry_after: self.retry_after(now, wish.required.saturating_sub(amount)),
            backoff: self.backoff(options),
            report_within: self.report_within(),
        };
        self.give(now, wish, gift, options.clock_drift);
        Some(gift)
    }

    /// Takes in what became of a grant; unknown and lapsed grants are ignored.
    pub(crate) fn report(&mut self, holder: NodeId, number: u64, spent: u64, returned: u64) {
        let Some(state) = self.holders.get_mut(&holder) else {
            return;
        };
        let Some(at) = state.given.iter().position(|given| given.number == number) else {
            return;
        };
        let given = &mut state.given[at];
        let open = given.open();
        given.spent = given.spent.max(spent.min(given.amount - given.returned));
        let newly_returned = returned
            .min(given.amount - given.spent)
            .saturating_sub(given.returned);
        given.returned += newly_returned;
        self.outstanding -= open - given.open();
        if given.open() == 0 {
            state.given.swap_remove(at);
        }
        self.level_micros += newly_returned * MICROS_PER_TOKEN;
        self.cap_level();
    }

    /// Lets time pass: grants lapse, and tokens come into being where there is room.
    pub(crate) fn advance(&mut self, now: Time, options: &Options) {
        self.lapse(now);
        self.forget(now, options.holder_idle_timeout);
        let span = now.since(self.advanced);
        self.advanced = self.advanced.max(now);
        match self.limit {
            Limit::Rate { per_sec, .. } => self.earn(per_sec, span, options.clock_drift),
            Limit::Minute { cap } => self.turn_minute(now, cap),
        }
        self.cap_level();
    }

    /// Earns a little less than the rate, so that a fast clock makes no more than it.
    fn earn(&mut self, per_sec: u64, span: Duration, clock_drift: ClockDrift) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let scale = 1_000 + u128::from(clock_drift.per_mille);
        let due = u128::from(per_sec) * u128::from(micros) * 1_000 + u128::from(self.earn_rest);
        self.earn_rest = u64::try_from(due % scale).expect("the scale is small");
        let earned = u64::try_from(due / scale).unwrap_or(u64::MAX);
        self.level_micros = self.level_micros.saturating_add(earned);
    }

    fn turn_minute(&mut self, now: Time, cap: u64) {
        if now < self.window_ends {
            return;
        }
        self.window_ends = next_end(self.window_ends, now);
        self.closed = false;
        self.level_micros = cap.saturating_mul(MICROS_PER_TOKEN);
    }

    /// Keeps level + outstanding within the burst.
    fn cap_level(&mut self) {
        let most = match self.limit {
            Limit::Rate { burst, .. } => burst.saturating_sub(self.outstanding),
            Limit::Minute { .. } if self.closed => 0,
            Limit::Minute { cap } => cap,
        };
        let most_micros = most.saturating_mul(MICROS_PER_TOKEN);
        self.level_micros = self.level_micros.min(most_micros);
    }

    /// Requests that wait come first; of the rest a holder gets half of its share by demand.
    fn share(&self, wish: Wish) -> u64 {
        let level = self.level();
        let required = wish.required.min(level);
        let rest = u128::from(level - required);
        let demand = u128::from(self.demand_milli.max(1));
        let part = rest * u128::from(wish.demand_milli) / (2 * demand);
        let part = u64::try_from(part).unwrap_or(level - required);
        required + wish.prefetch.min(part)
    }

    fn validity(&self, now: Time, options: &Options) -> Duration {
        match self.limit {
            Limit::Rate { .. } => options.validity,
            Limit::Minute { .. } => {
                let left = self.window_ends.since(now);
                options.validity.min(shrink(left, options.clock_drift))
            }
        }
    }

    fn retry_after(&self, now: Time, missing: u64) -> Duration {
        if missing == 0 {
            return Duration::ZERO;
        }
        match self.limit {
            Limit::Rate { per_sec, .. } => {
                let lacking = MICROS_PER_TOKEN - self.level_micros % MICROS_PER_TOKEN;
                Duration::from_micros(lacking / per_sec.max(1))
            }
            Limit::Minute { .. } => self.window_ends.since(now),
        }
    }

    /// Keeps the questions of refused holders within `asks_per_sec`, however many they are.
    fn backoff(&self, options: &Options) -> Duration {
        let token_requests_per_sec = options.token_requests_per_sec.max(1);
        if self.demand_milli / 1_000 < u64::from(token_requests_per_sec) {
            return options.min_backoff;
        }
        let holders = u32::try_from(self.holders.len()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs(1) * holders / token_requests_per_sec;
        spread.clamp(options.min_backoff, options.validity)
    }

    /// What is spent but not reported takes room from the burst: a tenth of it at the full rate.
    fn report_within(&self) -> Duration {
        match self.limit {
            Limit::Rate { per_sec, burst } => {
                let tenth = Duration::from_millis(100 * burst / per_sec.max(1));
                tenth.clamp(SOONEST_REPORT, LATEST_REPORT)
            }
            Limit::Minute { .. } => LATEST_REPORT,
        }
    }

    fn give(&mut self, now: Time, wish: Wish, gift: Gift, clock_drift: ClockDrift) {
        let state = self.holders.entry(wish.holder).or_default();
        state.answer = Some(gift);
        if gift.amount == 0 {
            return;
        }
        state.given.push(Given {
            number: gift.number,
            amount: gift.amount,
            spent: 0,
            returned: 0,
        });
        self.level_micros -= gift.amount * MICROS_PER_TOKEN;
        self.outstanding += gift.amount;
        self.lapses.push_back(Lapse {
            at: now + clock_drift.max_elapsed(gift.validity),
            holder: wish.holder,
            number: gift.number,
        });
    }

    fn lapse(&mut self, now: Time) {
        if now >= self.inherited_lapses {
            self.outstanding -= std::mem::take(&mut self.inherited);
        }
        while let Some(lapse) = self.lapses.front().copied().filter(|lapse| lapse.at <= now) {
            self.lapses.pop_front();
            self.drop_grant(lapse);
        }
    }

    /// What was not reported of a lapsed grant counts as spent.
    fn drop_grant(&mut self, lapse: Lapse) {
        let Some(state) = self.holders.get_mut(&lapse.holder) else {
            return;
        };
        let is_it = |given: &Given| given.number == lapse.number;
        if let Some(at) = state.given.iter().position(is_it) {
            let given = state.given.swap_remove(at);
            self.outstanding -= given.open();
        }
    }

    fn note_seen(&mut self, now: Time, wish: Wish) {
        if !self.holders.contains_key(&wish.holder) {
            self.last_seen.push_back(LastSeen {
                at: now,
                holder: wish.holder,
            });
        }
        let state = self.holders.entry(wish.holder).or_default();
        let before = state.demand_milli;
        state.demand_milli = wish.demand_milli;
        state.seen = now;
        self.demand_milli = self.demand_milli - before + wish.demand_milli;
    }

    /// Forgets holders that have not asked for long; by then they have nothing open.
    fn forget(&mut self, now: Time, after: Duration) {
        while let Some(last) = self.last_seen.front().copied() {
            if now.since(last.at) < after {
                return;
            }
            self.last_seen.pop_front();
            self.forget_or_keep(now, after, last.holder);
        }
    }

    fn forget_or_keep(&mut self, now: Time, after: Duration, holder: NodeId) {
        let Some(state) = self.holders.get(&holder) else {
            return;
        };
        if now.since(state.seen) < after {
            let at = state.seen;
            self.last_seen.push_back(LastSeen { at, holder });
            return;
        }
        self.demand_milli -= state.demand_milli;
        self.holders.remove(&holder);
    }
}

/// The first end of a minute after `now`, given any one.
fn next_end(end: Time, now: Time) -> Time {
    let minutes = now.since(end).as_secs() / MINUTE.as_secs();
    let passed = u32::try_from(minutes).unwrap_or(u32::MAX);
    let next = end + MINUTE * passed;
    match next > now {
        true => next,
        false => next + MINUTE,
    }
}

/// The shortest time that may pass elsewhere while `span` passes here.
fn shrink(span: Duration, clock_drift: ClockDrift) -> Duration {
    let surplus = clock_drift.max_elapsed(span) - span;
    span.saturating_sub(surplus)
}
