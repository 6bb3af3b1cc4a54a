//! A node's stock of tokens for the keys of one shard.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, Time};

use crate::{Key, demand::Demand, msg};

/// Demand, in tokens a second, below which a key is forgotten.
const IDLE_PER_SEC: f64 = 0.01;
/// How long before tokens are handed back others are drawn in their place.
const REFILL_LEAD: Duration = Duration::from_millis(100);
/// Fewer tokens than this are not drawn ahead: one question for each request costs no more.
const LEAST_DRAWN: u64 = 2;

/// Settings of [`Holder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Demand for this long is drawn ahead.
    pub prefetch_span: Duration,
    /// Time after which an unanswered question is put again.
    pub resend_interval: Duration,
    /// Time after which an unanswered question is given up: the longest validity of a grant.
    pub request_timeout: Duration,
    /// Tokens are handed back when less than this, or a quarter, is left of their validity.
    pub return_margin: Duration,
    /// When a caller may come back where no authority answers.
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

/// Whether a request comes for the first time or after it waited for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// For the first time.
    First,
    /// After a wait, when an answer came.
    Retry,
    /// After a wait, when no more time is left for waiting.
    Last,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Its tokens are taken: let it run.
    Taken,
    /// Send [`Holder::poll`]'s frame, and try again when an answer came or, for the last time,
    /// when a few milliseconds have passed.
    Wait,
    /// Refuse it.
    Refused(Refusal),
}

/// A node's stock of tokens for the keys of one shard.
#[derive(Debug, Clone)]
pub struct Holder {
    me: NodeId,
    options: Options,
    epoch: Option<Epoch>,
    last_number: u64,
    stocks: BTreeMap<Key, Stock>,
}

#[derive(Debug, Clone, Default)]
struct Stock {
    held: VecDeque<Held>,
    question: Option<Question>,
    waiting: u64,
    demand: Demand,
    refuse_until: Time,
    retry_at: Time,
    draw_after: Time,
    report_within: Duration,
    report_due: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: Epoch,
    number: u64,
    amount: u64,
    spent: u64,
    returned: u64,
    reported: u64,
    hand_back: Time,
    lapses: Time,
}

#[derive(Debug, Clone, Copy)]
struct Question {
    number: u64,
    asked: Time,
    sent: Time,
    required: u64,
    prefetch: u64,
    demand_milli: u64,
}

impl Held {
    fn left(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

impl Holder {
    /// Holds nothing and knows no authority.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            epoch: None,
            last_number: 0,
            stocks: BTreeMap::new(),
        }
    }

    /// The shard's authority acts under this epoch; tokens of earlier ones stay good until they
    /// lapse.
    pub fn follow_epoch(&mut self, epoch: Epoch) {
        if self.epoch.is_some_and(|known| known >= epoch) {
            return;
        }
        self.epoch = Some(epoch);
        for stock in self.stocks.values_mut() {
            stock.question = None;
            stock.refuse_until = Time::ZERO;
        }
    }

    /// Takes `tokens` of each key, or of none.
    ///
    /// A refusal says [`Reason::OverLimit`] or [`Reason::OverMinute`] where the authority had no
    /// token, and [`Reason::NotInTouch`] where it did not answer. None of them ran.
    pub fn try_take(&mut self, now: Time, keys: &[Key], tokens: u64, attempt: Attempt) -> Decision {
        for key in keys {
            let stock = self.stocks.entry(*key).or_default();
            stock.drop_lapsed(now);
            if attempt == Attempt::First {
                stock.demand.add(now, tokens);
            }
        }
        if keys.iter().any(|key| self.left(key) < tokens) {
            return self.lacking(now, keys, tokens, attempt);
        }
        self.take(now, keys, tokens);
        Decision::Taken
    }

    /// The frame to send now, if there is anything to say; call it every few milliseconds and
    /// after [`Decision::Wait`].
    pub fn poll(&mut self, now: Time) -> Option<msg::HolderFrame> {
        let epoch = self.epoch?;
        let mut frame = msg::HolderFrame {
            holder: self.me.0,
            epoch: epoch.0,
            ..Default::default()
        };
        let options = &self.options;
        for (key, stock) in &mut self.stocks {
            stock.drop_lapsed(now);
            stock.hand_back(now);
            let ask = stock.ask(now, options, &mut self.last_number);
            frame
                .token_requests
                .extend(ask.map(|ask| ask.message(*key)));
        }
        let is_due = |stock: &Stock| stock.report_due.is_some_and(|due| now >= due);
        if !frame.token_requests.is_empty() || self.stocks.values().any(is_due) {
            for (key, stock) in &mut self.stocks {
                stock.report(*key, epoch, &mut frame.reports);
            }
        }
        self.stocks.retain(|_, stock| !stock.is_idle(now));
        let is_empty = frame.token_requests.is_empty() && frame.reports.is_empty();
        (!is_empty).then_some(frame)
    }

    /// Takes in an authority's frame; one of another epoch is ignored.
    pub fn handle_frame(&mut self, now: Time, frame: &msg::AuthorityFrame) {
        if self.epoch != Some(Epoch(frame.epoch)) {
            return;
        }
        for grant in &frame.grants {
            let key = grant.key.as_ref().and_then(msg::WireKey::key);
            if let Some(stock) = key.and_then(|key| self.stocks.get_mut(&key)) {
                stock.granted(now, Epoch(frame.epoch), grant, &self.options);
            }
        }
    }

    /// Hands everything back, for a planned stop.
    pub fn drain(&mut self) -> Option<msg::HolderFrame> {
        let epoch = self.epoch?;
        let mut reports = Vec::new();
        for (key, stock) in &mut self.stocks {
            for held in &mut stock.held {
                held.returned += held.left();
            }
            stock.report(*key, epoch, &mut reports);
        }
        (!reports.is_empty()).then_some(msg::HolderFrame {
            holder: self.me.0,
            epoch: epoch.0,
            token_requests: Vec::new(),
            reports,
        })
    }

    fn left(&self, key: &Key) -> u64 {
        self.stocks.get(key).map_or(0, Stock::left)
    }

    fn take(&mut self, now: Time, keys: &[Key], tokens: u64) {
        for key in keys {
            let stock = self
                .stocks
                .get_mut(key)
                .expect("the caller has just seen it");
            stock.take(now, tokens);
        }
    }

    fn lacking(&mut self, now: Time, keys: &[Key], tokens: u64, attempt: Attempt) -> Decision {
        let mut decision = Decision::Wait;
        for key in keys {
            let stock = self
                .stocks
                .get_mut(key)
                .expect("the caller has just seen it");
            if stock.left() >= tokens {
                continue;
            }
            if now < stock.refuse_until {
                return Decision::Refused(stock.refusal(now, key));
            }
            let is_asking = stock.waiting > 0 || stock.question.is_some();
            if attempt == Attempt::First || !is_asking {
                stock.waiting += tokens;
            }
        }
        if attempt == Attempt::Last || self.epoch.is_none() {
            let refusal = Refusal::not_run(Reason::NotInTouch);
            decision = Decision::Refused(refusal.retry_after(self.options.retry_after));
        }
        decision
    }
}

impl Stock {
    fn left(&self) -> u64 {
        self.held.iter().map(Held::left).sum()
    }

    /// Tokens left of grants that are not handed back soon.
    fn lasting(&self, now: Time) -> u64 {
        let soon = now + REFILL_LEAD;
        let lasting = self.held.iter().filter(|held| soon < held.hand_back);
        lasting.map(Held::left).sum()
    }

    fn drop_lapsed(&mut self, now: Time) {
        self.held.retain(|held| now < held.lapses);
    }

    /// Takes from the oldest grants first.
    fn take(&mut self, now: Time, tokens: u64) {
        self.report_due.get_or_insert(now + self.report_within);
        let mut missing = tokens;
        for held in &mut self.held {
            let part = missing.min(held.left());
            held.spent += part;
            missing -= part;
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

    /// The question to send now: a new one, or the open one again.
    fn ask(&mut self, now: Time, options: &Options, last_number: &mut u64) -> Option<Question> {
        if let Some(question) = &mut self.question {
            if now.since(question.asked) < options.request_timeout {
                let is_due = now.since(question.sent) >= options.resend_interval;
                return is_due.then(|| question.sent_again(now));
            }
            self.question = None;
            self.waiting = 0;
        }
        if now < self.refuse_until {
            return None;
        }
        let per_sec = self.demand.per_sec(now);
        let target = (per_sec * options.prefetch_span.as_secs_f64()) as u64;
        let lasting = self.lasting(now);
        let may_draw = target >= LEAST_DRAWN && now >= self.draw_after;
        let prefetch = match may_draw && lasting * 2 < target {
            true => target - lasting,
            false => 0,
        };
        if self.waiting == 0 && prefetch == 0 {
            return None;
        }
        *last_number += 1;
        let question = Question {
            number: *last_number,
            asked: now,
            sent: now,
            required: std::mem::take(&mut self.waiting),
            prefetch,
            demand_milli: (per_sec * 1_000.0) as u64,
        };
        self.question = Some(question);
        Some(question)
    }

    fn granted(&mut self, now: Time, epoch: Epoch, grant: &msg::Grant, options: &Options) {
        let Some(question) = self.question.filter(|open| open.number == grant.number) else {
            return;
        };
        self.question = None;
        let validity = Duration::from_micros(grant.validity_micros);
        let lapses = question.asked + validity;
        let early = options.return_margin.min(validity / 4);
        if grant.amount > 0 && now < lapses {
            self.held.push_back(Held {
                epoch,
                number: grant.number,
                amount: grant.amount,
                spent: 0,
                returned: 0,
                reported: 0,
                hand_back: lapses.before(early),
                lapses,
            });
        }
        let backoff = Duration::from_micros(grant.backoff_micros);
        self.report_within = Duration::from_micros(grant.report_within_micros);
        if grant.amount < question.required + question.prefetch {
            self.draw_after = now + backoff.max(options.prefetch_span / 4);
        }
        if grant.amount < question.required {
            self.refuse_until = now + backoff;
            self.retry_at = now + Duration::from_micros(grant.retry_after_micros);
            self.waiting = 0;
        }
    }

    fn hand_back(&mut self, now: Time) {
        for held in &mut self.held {
            if now >= held.hand_back && held.left() > 0 {
                held.returned += held.left();
                self.report_due.get_or_insert(now);
            }
        }
    }

    fn report(&mut self, key: Key, epoch: Epoch, reports: &mut Vec<msg::Report>) {
        self.report_due = None;
        let open = self.held.iter_mut().filter(|held| held.epoch == epoch);
        for held in open.filter(|held| held.spent + held.returned > held.reported) {
            held.reported = held.spent + held.returned;
            reports.push(msg::Report {
                key: Some(key.into()),
                number: held.number,
                spent: held.spent,
                returned: held.returned,
            });
        }
        self.held.retain(|held| held.reported < held.amount);
    }

    fn is_idle(&mut self, now: Time) -> bool {
        let is_empty = self.held.is_empty() && self.question.is_none() && self.waiting == 0;
        is_empty && now >= self.refuse_until && self.demand.per_sec(now) < IDLE_PER_SEC
    }
}

impl Question {
    fn sent_again(&mut self, now: Time) -> Self {
        self.sent = now;
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
