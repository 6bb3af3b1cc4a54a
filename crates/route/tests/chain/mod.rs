//! Simulates chains of calls in virtual time, with lost, late and duplicated answers and with nodes
//! that are killed during a chain.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use cassiashunt_route::retry::{
    Allowance, Budget, FailedAttempt, Lending, LoanKey, budget, may_retry,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// How retries are bounded.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    /// There are no retries.
    None,
    /// Every hop makes up to this many retries for each call, independently of other hops.
    EachHop(u32),
    /// Every attempt of a child gets a copy of its parent's tokens.
    Copied(u32),
    /// The allowance is split between a call and its children.
    Split(u32, Lending),
    /// All calls of a chain spend from one shared allowance without delay. It is a theoretical
    /// reference, which a real fleet cannot implement.
    Shared(u32),
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub bound: Bound,
    /// The ratio of the retry budgets; `None` for no limit by budgets.
    pub budget: Option<f64>,
    pub depth: u32,
    pub fan_out: u64,
    pub chains: u64,
    /// The number of times that a caller sends a failed request again.
    pub resends: u32,
    pub leaf_failure: f64,
    pub loss: f64,
    pub duplication: f64,
    /// The number of node kills during the run; a killed node restarts without state.
    pub kills: u32,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 0,
            bound: Bound::Split(3, Lending::Half),
            budget: None,
            depth: 6,
            fan_out: 2,
            chains: 3,
            resends: 2,
            leaf_failure: 0.3,
            loss: 0.05,
            duplication: 0.1,
            kills: 4,
        }
    }
}

/// One attempt of a call, recorded when a server starts to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    pub chain: ChainId,
    /// The parent's attempt that made the call; zero for the caller.
    pub parent: u64,
    /// The position in the call tree: the root is 1, and child `i` of `p` is `4 * p + i`.
    pub position: u64,
    pub is_leaf: bool,
}

#[derive(Debug, Default)]
pub struct History {
    pub attempts: Vec<Attempt>,
    pub succeeded: u64,
    pub failed: u64,
}

/// Checks that in each chain the attempts beyond first tries, summed over its calls, are at most
/// the allowance, and that no position in the call tree ran more than `1 + allowance` times.
pub fn check(attempts: &[Attempt], allowance: u64) -> Result<(), String> {
    let mut calls: BTreeMap<(ChainId, u64, u64), u64> = BTreeMap::new();
    let mut positions: BTreeMap<(ChainId, u64), u64> = BTreeMap::new();
    for attempt in attempts {
        *calls
            .entry((attempt.chain, attempt.parent, attempt.position))
            .or_default() += 1;
        *positions
            .entry((attempt.chain, attempt.position))
            .or_default() += 1;
    }
    let mut retries: BTreeMap<ChainId, u64> = BTreeMap::new();
    for ((chain, ..), tries) in calls {
        *retries.entry(chain).or_default() += tries - 1;
    }
    if let Some((chain, n)) = retries.iter().find(|(_, n)| **n > allowance) {
        return Err(format!("chain {chain}: {n} retries, allowance {allowance}"));
    }
    if let Some(((chain, at), n)) = positions.iter().find(|(_, n)| **n > 1 + allowance) {
        return Err(format!(
            "chain {chain}: {n} attempts at {at}, allowance {allowance}"
        ));
    }
    Ok(())
}

const NODE_COUNT: u64 = 16;
const LEAF_CALL_TIMEOUT: Duration = Duration::from_millis(40);

enum TokenSource {
    None,
    Copied(u32),
    Split(Allowance),
    Shared,
}

/// Identifies one attempt of a child call, made by a running attempt.
#[derive(Clone, Copy)]
struct ReplyTo {
    parent: u64,
    call: usize,
    number: u32,
    loan: Option<LoanKey>,
}

struct Frame {
    chain: ChainId,
    position: u64,
    depth: u32,
    node: u64,
    tokens: TokenSource,
    reply_to: ReplyTo,
    calls: Vec<Call>,
    has_failed: bool,
}

#[derive(Default)]
struct Call {
    number: u32,
    retries: u32,
    is_over: bool,
    loan: Option<LoanKey>,
}

enum Event {
    Begin(Box<Frame>),
    Finish(u64),
    Answer(ReplyTo, Result<(), Reason>, u32),
    Timeout(ReplyTo),
    Attempt(u64, usize),
    Kill,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    frames: BTreeMap<u64, Frame>,
    /// The last number that was given to a chain, frame or event.
    next_id: u64,
    budgets: HashMap<u32, Budget>,
    shared: HashMap<ChainId, Allowance>,
    /// The number of times that the request of each chain was sent, this chain included.
    sent: HashMap<ChainId, u32>,
    history: History,
}

/// Runs a scenario to its end.
pub fn run(scenario: Scenario) -> History {
    let mut simulation = Simulation {
        rng: Rng::with_seed(scenario.seed),
        scenario,
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        frames: BTreeMap::new(),
        next_id: 1,
        budgets: HashMap::new(),
        shared: HashMap::new(),
        sent: HashMap::new(),
        history: History::default(),
    };
    for _ in 0..simulation.scenario.chains {
        simulation.send_request(0);
    }
    for _ in 0..simulation.scenario.kills {
        let at = Duration::from_micros(simulation.rng.u64(0..300_000));
        simulation.schedule(at, Event::Kill);
    }
    while let Some(Reverse((at, number))) = simulation.queue.pop() {
        simulation.now = at;
        let event = simulation
            .events
            .remove(&number)
            .expect("queued event is missing");
        simulation.handle(event);
    }
    simulation.history
}

impl Simulation {
    fn schedule(&mut self, span: Duration, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + span, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(200..3_000))
    }

    /// Sends a caller's request as a new chain; `sent` counts the earlier sends.
    fn send_request(&mut self, sent: u32) {
        self.next_id += 1;
        let chain = ChainId(self.next_id);
        self.sent.insert(chain, sent + 1);
        let tokens = match self.scenario.bound {
            Bound::Copied(n) | Bound::Split(n, _) => n,
            Bound::Shared(n) => {
                self.shared.insert(chain, Allowance::new(n));
                0
            }
            Bound::None | Bound::EachHop(_) => 0,
        };
        let reply_to = ReplyTo {
            parent: 0,
            call: 0,
            number: 0,
            loan: None,
        };
        let start_delay = Duration::from_micros(self.rng.u64(..20_000));
        self.begin(start_delay, chain, (1, 1), tokens, reply_to);
    }

    fn begin(
        &mut self,
        delay: Duration,
        chain: ChainId,
        (position, depth): (u64, u32),
        tokens: u32,
        reply_to: ReplyTo,
    ) {
        let frame = Frame {
            chain,
            position,
            depth,
            node: self.rng.u64(..NODE_COUNT),
            tokens: match self.scenario.bound {
                Bound::None | Bound::EachHop(_) => TokenSource::None,
                Bound::Shared(_) => TokenSource::Shared,
                Bound::Copied(_) => TokenSource::Copied(tokens),
                Bound::Split(..) => TokenSource::Split(Allowance::new(tokens)),
            },
            reply_to,
            calls: Vec::new(),
            has_failed: false,
        };
        self.schedule(delay, Event::Begin(Box::new(frame)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin(frame) => self.on_begin(*frame),
            Event::Finish(id) => self.finish(id),
            Event::Answer(to, result, returned) => self.on_answer(to, result, returned),
            Event::Timeout(to) => self.on_timeout(to),
            Event::Attempt(id, call) => self.attempt(id, call),
            Event::Kill => {
                let node = self.rng.u64(..NODE_COUNT);
                self.frames.retain(|_, frame| frame.node != node);
            }
        }
    }

    fn on_begin(&mut self, mut frame: Frame) {
        self.next_id += 1;
        let id = self.next_id;
        let is_leaf = frame.depth == self.scenario.depth;
        self.history.attempts.push(Attempt {
            chain: frame.chain,
            parent: frame.reply_to.parent,
            position: frame.position,
            is_leaf,
        });
        if is_leaf {
            frame.has_failed = self.rng.f64() < self.scenario.leaf_failure;
            self.frames.insert(id, frame);
            let work = self.delay();
            return self.schedule(work, Event::Finish(id));
        }
        let fan_out = self.scenario.fan_out as usize;
        frame.calls.resize_with(fan_out, Call::default);
        let service = frame.depth + 1;
        self.frames.insert(id, frame);
        for call in 0..fan_out {
            let now = self.now;
            self.budget(service).on_first_try(now);
            self.attempt(id, call);
        }
    }

    fn budget(&mut self, service: u32) -> &mut Budget {
        let opts = match self.scenario.budget {
            Some(ratio) => budget::Options {
                ratio,
                ..Default::default()
            },
            None => budget::Options {
                floor: u32::MAX,
                ..Default::default()
            },
        };
        self.budgets
            .entry(service)
            .or_insert_with(|| Budget::new(opts))
    }

    fn attempt(&mut self, id: u64, call: usize) {
        let Some(frame) = self.frames.get_mut(&id) else {
            return;
        };
        let (loan, tokens) = match (&mut frame.tokens, self.scenario.bound) {
            (TokenSource::Split(allowance), Bound::Split(_, lending)) => {
                let loan = allowance.lend(lending);
                (Some(loan.key), loan.tokens)
            }
            (TokenSource::Copied(tokens), _) => (None, *tokens),
            _ => (None, 0),
        };
        frame.calls[call].number += 1;
        frame.calls[call].loan = loan;
        let to = ReplyTo {
            parent: id,
            call,
            number: frame.calls[call].number,
            loan,
        };
        let position = (frame.position * 4 + call as u64, frame.depth + 1);
        let (chain, depth) = (frame.chain, frame.depth);
        let delay = self.delay();
        if self.rng.f64() >= self.scenario.loss {
            self.begin(delay, chain, position, tokens, to);
        }
        // A call times out later than its descendants.
        let timeout = LEAF_CALL_TIMEOUT * (self.scenario.depth - depth);
        self.schedule(timeout, Event::Timeout(to));
    }

    /// Ends an attempt whose children have ended, and sends its answer unless the answer is lost.
    fn finish(&mut self, id: u64) {
        let Some(frame) = self.frames.remove(&id) else {
            return;
        };
        let returned = match &frame.tokens {
            TokenSource::Split(allowance) => allowance.remaining(),
            _ => 0,
        };
        let result = if frame.has_failed {
            Err(Reason::ServerRefused)
        } else {
            Ok(())
        };
        if frame.reply_to.parent == 0 {
            return self.end_chain(frame.chain, result);
        }
        let copies = match self.rng.f64() {
            p if p < self.scenario.loss => 0,
            p if p < self.scenario.loss + self.scenario.duplication => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let mut delay = self.delay();
            if self.rng.f64() < self.scenario.loss {
                delay += LEAF_CALL_TIMEOUT;
            }
            self.schedule(delay, Event::Answer(frame.reply_to, result, returned));
        }
    }

    fn end_chain(&mut self, chain: ChainId, result: Result<(), Reason>) {
        match result {
            Ok(()) => self.history.succeeded += 1,
            Err(_) => self.history.failed += 1,
        }
        let sent = self.sent[&chain];
        if result.is_err() && sent <= self.scenario.resends {
            self.send_request(sent);
        }
    }

    fn on_answer(&mut self, to: ReplyTo, result: Result<(), Reason>, returned: u32) {
        let Some(frame) = self.frames.get_mut(&to.parent) else {
            return;
        };
        if let (TokenSource::Split(allowance), Some(loan)) = (&mut frame.tokens, to.loan) {
            allowance.settle(loan, returned);
        }
        let call = &mut frame.calls[to.call];
        if call.is_over || call.number != to.number {
            return;
        }
        match result {
            Ok(()) => self.call_over(to, false),
            Err(reason) => self.call_failed(to, reason, Verdict::MayHaveRun),
        }
    }

    fn on_timeout(&mut self, to: ReplyTo) {
        let Some(frame) = self.frames.get_mut(&to.parent) else {
            return;
        };
        let call = &mut frame.calls[to.call];
        if call.is_over || call.number != to.number {
            return;
        }
        if let (TokenSource::Split(allowance), Some(loan)) = (&mut frame.tokens, to.loan) {
            allowance.write_off(loan);
        }
        self.call_failed(to, Reason::Lost, Verdict::MayHaveRun);
    }

    fn call_failed(&mut self, to: ReplyTo, reason: Reason, verdict: Verdict) {
        match self.retry_wait(to, reason, verdict) {
            // The number changes immediately, so that a late copy of this answer is ignored.
            Some(wait) => {
                let frame = self
                    .frames
                    .get_mut(&to.parent)
                    .expect("frame of the calling attempt is missing");
                frame.calls[to.call].number += 1;
                frame.calls[to.call].retries += 1;
                self.schedule(wait, Event::Attempt(to.parent, to.call));
            }
            None => self.call_over(to, true),
        }
    }

    fn retry_wait(&mut self, to: ReplyTo, reason: Reason, verdict: Verdict) -> Option<Duration> {
        let (now, mut rng) = (self.now, self.rng.fork());
        let retries_per_hop = match self.scenario.bound {
            Bound::EachHop(n) => n,
            _ => 0,
        };
        let mut frame = self.frames.remove(&to.parent)?;
        let mut shared = self.shared.remove(&frame.chain);
        let retries = frame.calls[to.call].retries;
        let budget = self.budget(frame.depth + 1);
        let refusal = Refusal {
            verdict,
            ..Refusal::not_run(reason)
        };
        let failure = FailedAttempt {
            refusal,
            is_idempotent: true,
            retries,
            remaining: Duration::from_secs(60),
            expected_duration: Duration::ZERO,
            has_other_server: true,
        };
        let mut single_token = Allowance::new(1);
        let allowance = match &mut frame.tokens {
            TokenSource::Split(allowance) => Some(allowance),
            TokenSource::Copied(0) => None,
            TokenSource::Copied(tokens) => {
                *tokens -= 1;
                Some(&mut single_token)
            }
            TokenSource::Shared => shared.as_mut(),
            TokenSource::None => (retries < retries_per_hop).then_some(&mut single_token),
        };
        let retry =
            allowance.and_then(|allowance| may_retry(now, &failure, allowance, budget, &mut rng));
        self.shared
            .extend(shared.map(|allowance| (frame.chain, allowance)));
        self.frames.insert(to.parent, frame);
        retry.map(|retry| retry.wait)
    }

    fn call_over(&mut self, to: ReplyTo, has_failed: bool) {
        let frame = self
            .frames
            .get_mut(&to.parent)
            .expect("frame of the calling attempt is missing");
        frame.calls[to.call].is_over = true;
        frame.has_failed |= has_failed;
        if frame.calls.iter().all(|call| call.is_over) {
            self.finish(to.parent);
        }
    }
}
