//! Chains of calls in virtual time: lost, late and duplicated answers, nodes killed mid-chain.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use cassiashunt_route::retry::{
    Allowance, Budget, FailedAttempt, Lending, LoanKey, budget, may_retry,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// Who bounds the retries.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    /// Nobody retries.
    None,
    /// Every hop retries so often, whatever others do.
    EachHop(u32),
    /// Every attempt of a child gets a copy of what its parent has.
    Copied(u32),
    /// The allowance is split.
    Split(u32, Lending),
    /// Everybody spends from one store at once, as no real fleet can.
    Shared(u32),
}

#[derive(Debug, Clone)]
pub struct Scene {
    pub seed: u64,
    pub bound: Bound,
    /// The share of first tries that may be retried, where there is a budget.
    pub budget: Option<f64>,
    pub depth: u32,
    pub fan_out: u64,
    pub chains: u64,
    /// Times that a caller sends a failed request again.
    pub resends: u32,
    pub leaf_failure: f64,
    pub loss: f64,
    pub duplication: f64,
    /// Nodes killed over the run; they come back empty.
    pub kills: u32,
}

impl Default for Scene {
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

/// One attempt of a call, as the server that ran it saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    pub chain: ChainId,
    /// The attempt of the parent that made the call; zero for the caller.
    pub parent: u64,
    /// The place in the call tree: the root is 1, and child `i` of `p` is `4 * p + i`.
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
/// the allowance, and that no place in the call tree was run more than once beyond it.
pub fn check(attempts: &[Attempt], allowance: u64) -> Result<(), String> {
    let mut calls: BTreeMap<(ChainId, u64, u64), u64> = BTreeMap::new();
    let mut places: BTreeMap<(ChainId, u64), u64> = BTreeMap::new();
    for it in attempts {
        *calls.entry((it.chain, it.parent, it.position)).or_default() += 1;
        *places.entry((it.chain, it.position)).or_default() += 1;
    }
    let mut retries: BTreeMap<ChainId, u64> = BTreeMap::new();
    for ((chain, ..), tries) in calls {
        *retries.entry(chain).or_default() += tries - 1;
    }
    if let Some((chain, n)) = retries.iter().find(|(_, n)| **n > allowance) {
        return Err(format!("chain {chain}: {n} retries, allowance {allowance}"));
    }
    if let Some(((chain, at), n)) = places.iter().find(|(_, n)| **n > 1 + allowance) {
        return Err(format!(
            "chain {chain}: {n} attempts at {at}, allowance {allowance}"
        ));
    }
    Ok(())
}

const NODES: u64 = 16;
const TIMEOUT: Duration = Duration::from_millis(40);

enum Purse {
    None,
    Copied(u32),
    Split(Allowance),
    Shared,
}

/// Names one attempt of a child call of a running attempt.
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
    purse: Purse,
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

struct World {
    scene: Scene,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    frames: BTreeMap<u64, Frame>,
    /// The frames' next number and the events' next number.
    next: u64,
    budgets: HashMap<u32, Budget>,
    shared: HashMap<ChainId, Allowance>,
    /// Times that the caller of each chain has sent already.
    sent: HashMap<ChainId, u32>,
    history: History,
}

/// Runs a scene to its end.
pub fn run(scene: Scene) -> History {
    let mut world = World {
        rng: Rng::with_seed(scene.seed),
        scene,
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        frames: BTreeMap::new(),
        next: 1,
        budgets: HashMap::new(),
        shared: HashMap::new(),
        sent: HashMap::new(),
        history: History::default(),
    };
    for _ in 0..world.scene.chains {
        world.call(0);
    }
    for _ in 0..world.scene.kills {
        let at = Duration::from_micros(world.rng.u64(0..300_000));
        world.after(at, Event::Kill);
    }
    while let Some(Reverse((at, number))) = world.queue.pop() {
        world.now = at;
        let event = world
            .events
            .remove(&number)
            .expect("each event is queued once");
        world.on(event);
    }
    world.history
}

impl World {
    fn after(&mut self, span: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + span, self.next)));
        self.events.insert(self.next, event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(200..3_000))
    }

    /// A caller sends a request, as a chain of its own.
    fn call(&mut self, sent: u32) {
        self.next += 1;
        let chain = ChainId(self.next);
        self.sent.insert(chain, sent + 1);
        let tokens = match self.scene.bound {
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
        let spread = Duration::from_micros(self.rng.u64(..20_000));
        self.begin(spread, chain, (1, 1), tokens, reply_to);
    }

    fn begin(
        &mut self,
        after: Duration,
        chain: ChainId,
        (position, depth): (u64, u32),
        tokens: u32,
        reply_to: ReplyTo,
    ) {
        let frame = Frame {
            chain,
            position,
            depth,
            node: self.rng.u64(..NODES),
            purse: match self.scene.bound {
                Bound::None | Bound::EachHop(_) => Purse::None,
                Bound::Shared(_) => Purse::Shared,
                Bound::Copied(_) => Purse::Copied(tokens),
                Bound::Split(..) => Purse::Split(Allowance::new(tokens)),
            },
            reply_to,
            calls: Vec::new(),
            has_failed: false,
        };
        self.after(after, Event::Begin(Box::new(frame)));
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Begin(frame) => self.on_begin(*frame),
            Event::Finish(id) => self.finish(id),
            Event::Answer(to, result, returned) => self.on_answer(to, result, returned),
            Event::Timeout(to) => self.on_timeout(to),
            Event::Attempt(id, call) => self.attempt(id, call),
            Event::Kill => {
                let node = self.rng.u64(..NODES);
                self.frames.retain(|_, frame| frame.node != node);
            }
        }
    }

    fn on_begin(&mut self, mut frame: Frame) {
        self.next += 1;
        let id = self.next;
        let is_leaf = frame.depth == self.scene.depth;
        self.history.attempts.push(Attempt {
            chain: frame.chain,
            parent: frame.reply_to.parent,
            position: frame.position,
            is_leaf,
        });
        if is_leaf {
            frame.has_failed = self.rng.f64() < self.scene.leaf_failure;
            self.frames.insert(id, frame);
            let work = self.delay();
            return self.after(work, Event::Finish(id));
        }
        let fan_out = self.scene.fan_out as usize;
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
        let opts = match self.scene.budget {
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
        let (loan, tokens) = match (&mut frame.purse, self.scene.bound) {
            (Purse::Split(allowance), Bound::Split(_, lending)) => {
                let loan = allowance.lend(lending);
                (Some(loan.key), loan.tokens)
            }
            (Purse::Copied(tokens), _) => (None, *tokens),
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
        let place = (frame.position * 4 + call as u64, frame.depth + 1);
        let (chain, depth) = (frame.chain, frame.depth);
        let after = self.delay();
        if self.rng.f64() >= self.scene.loss {
            self.begin(after, chain, place, tokens, to);
        }
        // An upper call waits longer than the calls under it.
        let patience = TIMEOUT * (self.scene.depth - depth);
        self.after(patience, Event::Timeout(to));
    }

    /// The attempt's children are over: it answers, unless the answer is lost.
    fn finish(&mut self, id: u64) {
        let Some(frame) = self.frames.remove(&id) else {
            return;
        };
        let returned = match &frame.purse {
            Purse::Split(allowance) => allowance.remaining(),
            _ => 0,
        };
        let result = if frame.has_failed {
            Err(Reason::ServerRefused)
        } else {
            Ok(())
        };
        if frame.reply_to.parent == 0 {
            return self.end(frame.chain, result);
        }
        let copies = match self.rng.f64() {
            p if p < self.scene.loss => 0,
            p if p < self.scene.loss + self.scene.duplication => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let mut after = self.delay();
            if self.rng.f64() < self.scene.loss {
                after += TIMEOUT;
            }
            self.after(after, Event::Answer(frame.reply_to, result, returned));
        }
    }

    fn end(&mut self, chain: ChainId, result: Result<(), Reason>) {
        match result {
            Ok(()) => self.history.succeeded += 1,
            Err(_) => self.history.failed += 1,
        }
        let sent = self.sent[&chain];
        if result.is_err() && sent <= self.scene.resends {
            self.call(sent);
        }
    }

    fn on_answer(&mut self, to: ReplyTo, result: Result<(), Reason>, returned: u32) {
        let Some(frame) = self.frames.get_mut(&to.parent) else {
            return;
        };
        if let (Purse::Split(allowance), Some(loan)) = (&mut frame.purse, to.loan) {
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
        if let (Purse::Split(allowance), Some(loan)) = (&mut frame.purse, to.loan) {
            allowance.write_off(loan);
        }
        self.call_failed(to, Reason::Lost, Verdict::MayHaveRun);
    }

    fn call_failed(&mut self, to: ReplyTo, reason: Reason, verdict: Verdict) {
        match self.retry_wait(to, reason, verdict) {
            // The number goes up at once, so that a late copy of this answer counts for nothing.
            Some(wait) => {
                let frame = self
                    .frames
                    .get_mut(&to.parent)
                    .expect("the caller holds it");
                frame.calls[to.call].number += 1;
                frame.calls[to.call].retries += 1;
                self.after(wait, Event::Attempt(to.parent, to.call));
            }
            None => self.call_over(to, true),
        }
    }

    fn retry_wait(&mut self, to: ReplyTo, reason: Reason, verdict: Verdict) -> Option<Duration> {
        let (now, mut rng) = (self.now, self.rng.fork());
        let hop = match self.scene.bound {
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
        let mut free = Allowance::new(1);
        let allowance = match &mut frame.purse {
            Purse::Split(allowance) => Some(allowance),
            Purse::Copied(0) => None,
            Purse::Copied(tokens) => {
                *tokens -= 1;
                Some(&mut free)
            }
            Purse::Shared => shared.as_mut(),
            Purse::None => (retries < hop).then_some(&mut free),
        };
        let retry = allowance.and_then(|it| may_retry(now, &failure, it, budget, &mut rng));
        self.shared.extend(shared.map(|it| (frame.chain, it)));
        self.frames.insert(to.parent, frame);
        retry.map(|retry| retry.wait)
    }

    fn call_over(&mut self, to: ReplyTo, has_failed: bool) {
        let frame = self
            .frames
            .get_mut(&to.parent)
            .expect("the caller holds it");
        frame.calls[to.call].is_over = true;
        frame.has_failed |= has_failed;
        if frame.calls.iter().all(|call| call.is_over) {
            self.finish(to.parent);
        }
    }
}
