//! Compares schemes of distributed rate limiting in virtual time:
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
const ONE_WAY_DELAY_MICROS: u64 = 500;
const POLL_MICROS: u64 = 10_000;
const REQUEST_WAIT_MICROS: u64 = 10_000;
const RUN_SECONDS: u64 = 60;

/// A scheme of distributed rate limiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scheme {
    /// Each node enforces an equal share of rate and burst.
    StaticShares,
    /// Nodes request a token from the authority for each client request.
    RequestPerAdmission,
    /// Nodes prefetch grants for the expected demand.
    Grants,
    /// Two authorities have half of each limit. A node tries the other one if the first refuses.
    Split,
}

/// A workspace with its limit and demand.
#[derive(Debug, Clone, Copy)]
struct Tenant {
    per_sec: u64,
    burst: u64,
    demand: f64,
    /// Fraction of its requests that arrive at one node; the others are spread evenly.
    skew: f64,
}

/// A token bucket without delay between request and decision.
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
struct Counts {
    within_rate: u64,
    admitted: u64,
    refused_within_rate: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    counts: Vec<Counts>,
    requests: u64,
    waited: u64,
    messages: u64,
    bytes: u64,
    authority_busy: Duration,
    authority_requests: u64,
    authority_bytes: u64,
}

struct Waiting {
    tenant: usize,
    arrived: u64,
    within_rate: bool,
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
        let authority_count = if scheme == Scheme::Split { 2 } else { 1 };
        let keys: Vec<Key> = (0..tenants.len()).map(key).collect();
        let authorities =
            (0..authority_count).map(|_| authority_of(tenants, &keys, authority_count));
        let share = |t: &Tenant| {
            let node_count = nodes as f64;
            Bucket::new(t.per_sec as f64 / node_count, t.burst as f64 / node_count)
        };
        let full_bucket = |t: &Tenant| Bucket::new(t.per_sec as f64, t.burst as f64);
        Self {
            scheme,
            authorities: authorities.collect(),
            ideal: tenants.iter().map(full_bucket).collect(),
            shares: (0..nodes)
                .map(|_| tenants.iter().map(share).collect())
                .collect(),
            holders: (0..nodes)
                .map(|n| holders_of(n, authority_count as usize, scheme))
                .collect(),
            waiting: (0..nodes).map(|_| Vec::new()).collect(),
            frames: VecDeque::new(),
            outcome: Outcome {
                counts: vec![Counts::default(); tenants.len()],
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
        let end = RUN_SECONDS * 1_000_000;
        while self.now < end {
            self.deliver();
            self.add_arrivals();
            self.try_last_attempts();
            self.poll_due();
            self.now += STEP_MICROS;
        }
        self.outcome
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn add_arrivals(&mut self) {
        for tenant in 0..self.tenants.len() {
            let Tenant { demand, skew, .. } = self.tenants[tenant];
            let chance = demand * STEP_MICROS as f64 / 1e6;
            let extra = self.rng.f64() < chance.fract();
            for _ in 0..chance as u64 + u64::from(extra) {
                let hot_node = tenant % self.holders.len();
                let node = match self.rng.f64() < skew {
                    true => hot_node,
                    false => self.rng.usize(0..self.holders.len()),
                };
                self.request(node, tenant);
            }
        }
    }

    fn request(&mut self, node: usize, tenant: usize) {
        let within_rate = self.ideal[tenant].take(self.now);
        self.outcome.requests += 1;
        self.outcome.counts[tenant].within_rate += u64::from(within_rate);
        if self.scheme == Scheme::StaticShares {
            let taken = self.shares[node][tenant].take(self.now);
            return self.record(tenant, within_rate, taken);
        }
        let waiting = Waiting {
            tenant,
            arrived: self.now,
            within_rate,
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
            Decision::Taken => self.record(waiting.tenant, waiting.within_rate, true),
            Decision::Refused(_) => self.record(waiting.tenant, waiting.within_rate, false),
            Decision::Wait => {
                self.waiting[node].push(waiting);
                if attempt == Attempt::First {
                    self.outcome.waited += 1;
                    self.poll(node);
                }
            }
        }
    }

    fn record(&mut self, tenant: usize, within_rate: bool, taken: bool) {
        let count = &mut self.outcome.counts[tenant];
        count.admitted += u64::from(taken);
        count.refused_within_rate += u64::from(within_rate && !taken);
    }

    fn try_last_attempts(&mut self) {
        for node in 0..self.waiting.len() {
            let latest_arrival = self.now.saturating_sub(REQUEST_WAIT_MICROS);
            let due = self.waiting[node]
                .iter()
                .position(|w| w.arrived < latest_arrival);
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
        for authority in 0..self.holders[node].len() {
            if let Some(frame) = self.holders[node][authority].poll(now) {
                self.count_message(frame.encoded_len());
                self.push(Frame::Up(node, authority, frame));
            }
        }
    }

    fn count_message(&mut self, bytes: usize) {
        self.outcome.messages += 1;
        self.outcome.bytes += bytes as u64;
    }

    fn push(&mut self, frame: Frame) {
        self.frames
            .push_back((self.now + ONE_WAY_DELAY_MICROS, frame));
    }

    fn deliver(&mut self) {
        while self.frames.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, frame) = self
                .frames
                .pop_front()
                .expect("the queue has a front frame");
            match frame {
                Frame::Up(node, authority, frame) => {
                    self.handle_holder_frame(node, authority, &frame)
                }
                Frame::Down(node, authority, frame) => {
                    self.handle_authority_frame(node, authority, &frame)
                }
            }
        }
    }

    fn handle_holder_frame(&mut self, node: usize, authority: usize, frame: &msg::HolderFrame) {
        if authority == 0 && self.authority_down.contains(&self.now) {
            return;
        }
        let now = self.time();
        let started = Instant::now();
        let answer = self.authorities[authority].handle_frame(now, frame);
        self.outcome.authority_busy += started.elapsed();
        self.outcome.authority_requests += frame.token_requests.len() as u64;
        self.outcome.authority_bytes += frame.encoded_len() as u64;
        if let Some(answer) = answer {
            self.outcome.authority_bytes += answer.encoded_len() as u64;
            self.count_message(answer.encoded_len());
            self.push(Frame::Down(node, authority, answer));
        }
    }

    fn handle_authority_frame(
        &mut self,
        node: usize,
        authority: usize,
        frame: &msg::AuthorityFrame,
    ) {
        let now = self.time();
        self.holders[node][authority].handle_frame(now, frame);
        for waiting in std::mem::take(&mut self.waiting[node]) {
            self.attempt(node, waiting, Attempt::Retry);
        }
        self.poll(node);
    }

    /// Simulates the loss of the first authority: it answers no frames from `at`, in microseconds, until
    /// a successor acts after `outage`. The successor reuses the pools of the first authority.
    fn with_outage(mut self, at: u64, outage: Duration) -> Self {
        self.authority_down = at..at + outage.as_micros() as u64;
        self
    }
}

fn key(tenant: usize) -> Key {
    let name = format!("workspace-{tenant}");
    Key::workspace(name.parse().expect("the label is valid"))
}

fn authority_of(tenants: &[Tenant], keys: &[Key], authority_count: u64) -> Authority {
    let minute_ends = Time::from_millis(60_000);
    let mut authority = Authority::new(Epoch(1), minute_ends, authority::Options::default());
    for (tenant, key) in tenants.iter().zip(keys) {
        let limit = Limit::Rate {
            per_sec: tenant.per_sec / authority_count,
            burst: tenant.burst / authority_count,
        };
        authority.set_limit(Time::ZERO, *key, limit, InitialTokens::Full);
    }
    authority
}

fn holders_of(node: usize, authority_count: usize, scheme: Scheme) -> Vec<Holder> {
    let prefetch_span = match scheme {
        Scheme::RequestPerAdmission => Duration::ZERO,
        _ => holder::Options::default().prefetch_span,
    };
    let options = holder::Options {
        prefetch_span,
        ..holder::Options::default()
    };
    let mut holders: Vec<Holder> = (0..authority_count)
        .map(|_| Holder::new(NodeId(node as u64 + 1), options))
        .collect();
    holders
        .iter_mut()
        .for_each(|holder| holder.follow_epoch(Epoch(1)));
    holders
}

/// Eight workspaces, three large and five small. The last one sends four times its rate.
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

/// Percentage admitted of the requests that a single bucket would have admitted.
fn served(count: &Counts) -> f64 {
    100.0 * count.admitted.min(count.within_rate) as f64 / count.within_rate.max(1) as f64
}

/// Counts refusals within the rate only for workspaces whose demand is within it. For one with a
/// higher demand, it is random which requests a single bucket would have admitted.
fn report(label: &str, tenants: &[Tenant], outcome: &Outcome) {
    let both = || tenants.iter().zip(&outcome.counts);
    let within = || both().filter(|(t, _)| t.demand <= t.per_sec as f64);
    let within_rate: u64 = within().map(|(_, c)| c.within_rate).sum();
    let refused: u64 = within().map(|(_, c)| c.refused_within_rate).sum();
    let worst = within().map(|(_, c)| served(c)).fold(100.0, f64::min);
    let over = both().filter(|(t, _)| t.demand > t.per_sec as f64);
    let over = over.map(|(_, c)| served(c)).fold(100.0, f64::min);
    println!(
        "{label:<28} refused within rate {:>6.2}%  worst-served {worst:>6.2}%  over-limit one {over:>6.2}%  waited {:>5.1}%  messages {:>7.1}/s  bytes {:>8.0}/s",
        100.0 * refused as f64 / within_rate as f64,
        100.0 * outcome.waited as f64 / outcome.requests as f64,
        outcome.messages as f64 / RUN_SECONDS as f64,
        outcome.bytes as f64 / RUN_SECONDS as f64,
    );
}

fn schemes() {
    let all = [
        Scheme::StaticShares,
        Scheme::RequestPerAdmission,
        Scheme::Grants,
        Scheme::Split,
    ];
    for (name, skew) in [("even ingress", 0.0), ("skewed ingress (80%)", 0.8)] {
        for nodes in [13, 100] {
            println!("## {nodes} nodes, {name}, {RUN_SECONDS} s, seed 1");
            for scheme in all {
                let tenants = tenants(skew);
                let outcome = Fleet::new(scheme, nodes, &tenants, 1).run();
                report(&format!("{scheme:?}"), &tenants, &outcome);
            }
        }
    }
}

fn failover() {
    println!("## authority lost at 20 s, 13 nodes, skewed ingress (80%)");
    for (label, outage) in [("acts again after 5 s", 5), ("acts again after 8 s", 8)] {
        for scheme in [Scheme::Grants, Scheme::Split] {
            let tenants = tenants(0.8);
            let fleet = Fleet::new(scheme, 13, &tenants, 1);
            let fleet = fleet.with_outage(20_000_000, Duration::from_secs(outage));
            report(&format!("{scheme:?}, {label}"), &tenants, &fleet.run());
        }
    }
}

/// Measures the cost of one authority: eight workspaces with 1,250 requests per second in total.
fn authority_cost() {
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
            "{:<28} busy {:>6.3}% of a core  token requests {:>7.1}/s  {:>6.2} us per token request  {:>8.0} bytes/s in and out",
            "  the authority",
            100.0 * outcome.authority_busy.as_secs_f64() / RUN_SECONDS as f64,
            outcome.authority_requests as f64 / RUN_SECONDS as f64,
            outcome.authority_busy.as_secs_f64() * 1e6 / outcome.authority_requests as f64,
            outcome.authority_bytes as f64 / RUN_SECONDS as f64,
        );
    }
}

fn frame_sizes() {
    println!("## bytes");
    let mut authority = authority_of(&tenants(0.0), &[key(0)], 1);
    let mut holder = holders_of(0, 1, Scheme::Grants).remove(0);
    holder.try_take(Time::ZERO, &[key(0)], 1, Attempt::First);
    let request = holder
        .poll(Time::ZERO)
        .expect("a waiting request causes a frame");
    let answer = authority
        .handle_frame(Time::ZERO, &request)
        .expect("the frame contains a token request");
    println!(
        "frame with one token request {}, its answer {}",
        request.encoded_len(),
        answer.encoded_len()
    );
}

fn main() {
    schemes();
    failover();
    authority_cost();
    frame_sizes();
}
