//! Compares ways of limiting a workspace across a fleet, in virtual time:
//! `cargo run --release -p cassiashunt-limit --example compare`.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use cassiashunt_limit::{
    Attempt, Authority, Decision, Holder, InitialTokens, Key, Limit, authority, holder, msg,
};
use cassiashunt_types::{Epoch, NodeId, Time};
use prost::Message;

const STEP_MICROS: u64 = 250;
const ONE_WAY_MICROS: u64 = 500;
const POLL_MICROS: u64 = 10_000;
const PATIENCE_MICROS: u64 = 10_000;
const SECONDS: u64 = 60;

/// How requests are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scheme {
    /// Each node has an equal share of rate and burst.
    StaticShares,
    /// Each request asks the authority.
    AskEveryTime,
    /// Nodes draw grants ahead of need.
    Grants,
    /// Two authorities have half of each limit; a node asks the other one when the first refuses.
    Halves,
}

/// A workspace with its limit and its demand.
#[derive(Debug, Clone, Copy)]
struct Tenant {
    per_sec: u64,
    burst: u64,
    demand: f64,
    /// Share of its requests that come to one node.
    skew: f64,
}

/// A bucket that knows everything at once.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    per_sec: f64,
    burst: f64,
    level: f64,
    last: u64,
}

impl Bucket {
    fn new(per_sec: f64, burst: f64) -> Self {
        Self {
            per_sec,
            burst,
            level: burst,
            last: 0,
        }
    }

    fn take(&mut self, now: u64) -> bool {
        self.level += self.per_sec * (now - self.last) as f64 / 1e6;
        self.level = self.level.min(self.burst);
        self.last = now;
        let has_one = self.level >= 1.0;
        self.level -= f64::from(u8::from(has_one));
        has_one
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    inside: u64,
    admitted: u64,
    refused_inside: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    counts: Vec<Count>,
    requests: u64,
    waited: u64,
    messages: u64,
    bytes: u64,
    authority_busy: Duration,
    authority_asks: u64,
    authority_bytes: u64,
}

struct Waiting {
    tenant: usize,
    arrived: u64,
    inside: bool,
}

enum Frame {
    Up(usize, usize, msg::HolderFrame),
    Down(usize, usize, msg::AuthorityFrame),
}

struct Fleet {
    scheme: Scheme,
    tenants: Vec<Tenant>,
    keys: Vec<Key>,
    ideal: Vec<Bucket>,
    shares: Vec<Vec<Bucket>>,
    authorities: Vec<Authority>,
    holders: Vec<Vec<Holder>>,
    waiting: Vec<Vec<Waiting>>,
    frames: VecDeque<(u64, Frame)>,
    outcome: Outcome,
    authority_down: std::ops::Range<u64>,
    rng: fastrand::Rng,
    now: u64,
}

impl Fleet {
    fn new(scheme: Scheme, nodes: usize, tenants: &[Tenant], seed: u64) -> Self {
        let parts = if scheme == Scheme::Halves { 2 } else { 1 };
        let keys: Vec<Key> = (0..tenants.len()).map(key).collect();
        let authorities = (0..parts).map(|_| authority_of(tenants, &keys, parts));
        let share = |t: &Tenant| {
            let count = nodes as f64;
            Bucket::new(t.per_sec as f64 / count, t.burst as f64 / count)
        };
        let whole = |t: &Tenant| Bucket::new(t.per_sec as f64, t.burst as f64);
        Self {
            scheme,
            authorities: authorities.collect(),
            ideal: tenants.iter().map(whole).collect(),
            shares: (0..nodes)
                .map(|_| tenants.iter().map(share).collect())
                .collect(),
            holders: (0..nodes)
                .map(|n| holders_of(n, parts as usize, scheme))
                .collect(),
            waiting: (0..nodes).map(|_| Vec::new()).collect(),
            frames: VecDeque::new(),
            outcome: Outcome {
                counts: vec![Count::default(); tenants.len()],
                ..Outcome::default()
            },
            authority_down: 0..0,
            rng: fastrand::Rng::with_seed(seed),
            tenants: tenants.to_vec(),
            keys,
            now: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let end = SECONDS * 1_000_000;
        while self.now < end {
            self.deliver();
            self.arrivals();
            self.give_up();
            self.poll_due();
            self.now += STEP_MICROS;
        }
        self.outcome
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn arrivals(&mut self) {
        for tenant in 0..self.tenants.len() {
            let Tenant { demand, skew, .. } = self.tenants[tenant];
            let chance = demand * STEP_MICROS as f64 / 1e6;
            let extra = self.rng.f64() < chance.fract();
            for _ in 0..chance as u64 + u64::from(extra) {
                let favourite = tenant % self.holders.len();
                let node = match self.rng.f64() < skew {
                    true => favourite,
                    false => self.rng.usize(0..self.holders.len()),
                };
                self.request(node, tenant);
            }
        }
    }

    fn request(&mut self, node: usize, tenant: usize) {
        let inside = self.ideal[tenant].take(self.now);
        self.outcome.requests += 1;
        self.outcome.counts[tenant].inside += u64::from(inside);
        if self.scheme == Scheme::StaticShares {
            let taken = self.shares[node][tenant].take(self.now);
            return self.done(tenant, inside, taken);
        }
        let waiting = Waiting {
            tenant,
            arrived: self.now,
            inside,
        };
        self.attempt(node, waiting, Attempt::First);
    }

    fn attempt(&mut self, node: usize, waiting: Waiting, attempt: Attempt) {
        let now = self.time();
        let key = self.keys[waiting.tenant];
        let first = node % self.holders[node].len();
        let mut decision = self.holders[node][first].try_take(now, &[key], 1, attempt);
        if self.holders[node].len() > 1 && matches!(decision, Decision::Refused(_)) {
            decision = self.holders[node][1 - first].try_take(now, &[key], 1, attempt);
        }
        match decision {
            Decision::Taken => self.done(waiting.tenant, waiting.inside, true),
            Decision::Refused(_) => self.done(waiting.tenant, waiting.inside, false),
            Decision::Wait => {
                self.waiting[node].push(waiting);
                if attempt == Attempt::First {
                    self.outcome.waited += 1;
                    self.poll(node);
                }
            }
        }
    }

    fn done(&mut self, tenant: usize, inside: bool, taken: bool) {
        let count = &mut self.outcome.counts[tenant];
        count.admitted += u64::from(taken);
        count.refused_inside += u64::from(inside && !taken);
    }

    fn give_up(&mut self) {
        for node in 0..self.waiting.len() {
            let limit = self.now.saturating_sub(PATIENCE_MICROS);
            let due = self.waiting[node].iter().position(|w| w.arrived < limit);
            if let Some(at) = due {
                let waiting = self.waiting[node].swap_remove(at);
                self.attempt(node, waiting, Attempt::Last);
            }
        }
    }

    fn poll_due(&mut self) {
        if self.scheme == Scheme::StaticShares {
            return;
        }
        for node in 0..self.holders.len() {
            let phase = node as u64 % (POLL_MICROS / STEP_MICROS) * STEP_MICROS;
            if self.now % POLL_MICROS == phase {
                self.poll(node);
            }
        }
    }

    fn poll(&mut self, node: usize) {
        let now = self.time();
        for part in 0..self.holders[node].len() {
            if let Some(frame) = self.holders[node][part].poll(now) {
                self.count(frame.encoded_len());
                self.push(Frame::Up(node, part, frame));
            }
        }
    }

    fn count(&mut self, bytes: usize) {
        self.outcome.messages += 1;
        self.outcome.bytes += bytes as u64;
    }

    fn push(&mut self, frame: Frame) {
        self.frames.push_back((self.now + ONE_WAY_MICROS, frame));
    }

    fn deliver(&mut self) {
        while self.frames.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, frame) = self.frames.pop_front().expect("it was seen just now");
            match frame {
                Frame::Up(node, part, frame) => self.at_authority(node, part, &frame),
                Frame::Down(node, part, frame) => self.at_holder(node, part, &frame),
            }
        }
    }

    fn at_authority(&mut self, node: usize, part: usize, frame: &msg::HolderFrame) {
        if part == 0 && self.authority_down.contains(&self.now) {
            return;
        }
        let now = self.time();
        let begun = Instant::now();
        let answer = self.authorities[part].handle_frame(now, frame);
        self.outcome.authority_busy += begun.elapsed();
        self.outcome.authority_asks += frame.token_requests.len() as u64;
        self.outcome.authority_bytes += frame.encoded_len() as u64;
        if let Some(answer) = answer {
            self.outcome.authority_bytes += answer.encoded_len() as u64;
            self.count(answer.encoded_len());
            self.push(Frame::Down(node, part, answer));
        }
    }

    fn at_holder(&mut self, node: usize, part: usize, frame: &msg::AuthorityFrame) {
        let now = self.time();
        self.holders[node][part].handle_frame(now, frame);
        for waiting in std::mem::take(&mut self.waiting[node]) {
            self.attempt(node, waiting, Attempt::Retry);
        }
        self.poll(node);
    }

    /// The authority dies; a successor that starts empty acts after `gone`.
    fn succeed_after(mut self, at: u64, gone: Duration) -> Self {
        self.authority_down = at..at + gone.as_micros() as u64;
        self
    }
}

fn key(tenant: usize) -> Key {
    let name = format!("workspace-{tenant}");
    Key::workspace(name.parse().expect("a short word is a name"))
}

fn authority_of(tenants: &[Tenant], keys: &[Key], parts: u64) -> Authority {
    let minute_ends = Time::from_millis(60_000);
    let mut authority = Authority::new(Epoch(1), minute_ends, authority::Options::default());
    for (tenant, key) in tenants.iter().zip(keys) {
        let limit = Limit::Rate {
            per_sec: tenant.per_sec / parts,
            burst: tenant.burst / parts,
        };
        authority.set_limit(Time::ZERO, *key, limit, InitialTokens::Full);
    }
    authority
}

fn holders_of(node: usize, parts: usize, scheme: Scheme) -> Vec<Holder> {
    let prefetch_span = match scheme {
        Scheme::AskEveryTime => Duration::ZERO,
        _ => holder::Options::default().prefetch_span,
    };
    let options = holder::Options {
        prefetch_span,
        ..holder::Options::default()
    };
    let mut holders: Vec<Holder> = (0..parts)
        .map(|_| Holder::new(NodeId(node as u64 + 1), options))
        .collect();
    holders
        .iter_mut()
        .for_each(|holder| holder.follow_epoch(Epoch(1)));
    holders
}

/// Eight workspaces: three large, five small; the last sends four times its rate.
fn tenants(skew: f64) -> Vec<Tenant> {
    let tenant = |per_sec, burst, load: f64| Tenant {
        per_sec,
        burst,
        demand: per_sec as f64 * load,
        skew,
    };
    vec![
        tenant(400, 200, 0.8),
        tenant(300, 150, 0.8),
        tenant(200, 100, 0.8),
        tenant(20, 20, 0.5),
        tenant(10, 10, 0.5),
        tenant(6, 6, 0.5),
        tenant(4, 4, 0.5),
        tenant(100, 50, 4.0),
    ]
}

/// Share of what a single bucket would have admitted that was admitted.
fn served(count: &Count) -> f64 {
    100.0 * count.admitted.min(count.inside) as f64 / count.inside.max(1) as f64
}

/// Counts refusals inside the rate over the workspaces whose demand is within it; of one that asks
/// for more, it is chance which requests a single bucket would have admitted.
fn report(label: &str, tenants: &[Tenant], outcome: &Outcome) {
    let both = || tenants.iter().zip(&outcome.counts);
    let within = || both().filter(|(t, _)| t.demand <= t.per_sec as f64);
    let inside: u64 = within().map(|(_, c)| c.inside).sum();
    let refused: u64 = within().map(|(_, c)| c.refused_inside).sum();
    let worst = within().map(|(_, c)| served(c)).fold(100.0, f64::min);
    let over = both().filter(|(t, _)| t.demand > t.per_sec as f64);
    let over = over.map(|(_, c)| served(c)).fold(100.0, f64::min);
    println!(
        "{label:<28} refused inside {:>6.2}%  worst-served {worst:>6.2}%  over-asking one {over:>6.2}%  waited {:>5.1}%  messages {:>7.1}/s  bytes {:>8.0}/s",
        100.0 * refused as f64 / inside as f64,
        100.0 * outcome.waited as f64 / outcome.requests as f64,
        outcome.messages as f64 / SECONDS as f64,
        outcome.bytes as f64 / SECONDS as f64,
    );
}

fn schemes() {
    let all = [
        Scheme::StaticShares,
        Scheme::AskEveryTime,
        Scheme::Grants,
        Scheme::Halves,
    ];
    for (name, skew) in [("even ingress", 0.0), ("skewed ingress (80%)", 0.8)] {
        for nodes in [13, 100] {
            println!("## {nodes} nodes, {name}, {SECONDS} s, seed 1");
            for scheme in all {
                let tenants = tenants(skew);
                let outcome = Fleet::new(scheme, nodes, &tenants, 1).run();
                report(&format!("{scheme:?}"), &tenants, &outcome);
            }
        }
    }
}

fn succession() {
    println!("## authority lost at 20 s, 13 nodes, skewed ingress (80%)");
    for (label, gone) in [("acts again after 5 s", 5), ("acts again after 8 s", 8)] {
        for scheme in [Scheme::Grants, Scheme::Halves] {
            let tenants = tenants(0.8);
            let fleet = Fleet::new(scheme, 13, &tenants, 1);
            let fleet = fleet.succeed_after(20_000_000, Duration::from_secs(gone));
            report(&format!("{scheme:?}, {label}"), &tenants, &fleet.run());
        }
    }
}

/// One authority's cost: eight workspaces with 1,250 requests a second together.
fn slopes() {
    println!("## one authority, 8 workspaces, 1,250 requests/s, even ingress");
    let tenant = |per_sec: u64, demand| Tenant {
        per_sec,
        burst: per_sec / 2,
        demand,
        skew: 0.0,
    };
    let tenants: Vec<Tenant> = [500, 300, 200, 100, 60, 40, 30, 20]
        .into_iter()
        .map(|demand| tenant(demand * 5 / 4, demand as f64))
        .collect();
    for nodes in [10, 100, 300, 1_000] {
        let outcome = Fleet::new(Scheme::Grants, nodes, &tenants, 1).run();
        report(&format!("{nodes} holders"), &tenants, &outcome);
        println!(
            "{:<28} busy {:>6.3}% of a core  asks {:>7.1}/s  {:>6.2} us an ask  {:>8.0} bytes/s in and out",
            "  the authority",
            100.0 * outcome.authority_busy.as_secs_f64() / SECONDS as f64,
            outcome.authority_asks as f64 / SECONDS as f64,
            outcome.authority_busy.as_secs_f64() * 1e6 / outcome.authority_asks as f64,
            outcome.authority_bytes as f64 / SECONDS as f64,
        );
    }
}

fn bytes() {
    println!("## bytes");
    let mut authority = authority_of(&tenants(0.0), &[key(0)], 1);
    let mut holder = holders_of(0, 1, Scheme::Grants).remove(0);
    holder.try_take(Time::ZERO, &[key(0)], 1, Attempt::First);
    let ask = holder.poll(Time::ZERO).expect("a request waits");
    let answer = authority
        .handle_frame(Time::ZERO, &ask)
        .expect("the frame requests tokens");
    println!(
        "frame with one ask {}, its answer {}",
        ask.encoded_len(),
        answer.encoded_len()
    );
}

fn main() {
    schemes();
    succession();
    slopes();
    bytes();
}
