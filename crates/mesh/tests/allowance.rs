//! Token buckets of a limit whose shares are delegated to a home.

use cassiashunt_mesh::{Allowance, AllowanceOptions, DELEGATION_TTL, Take, home_of, homes};
use cassiashunt_property::check;
use cassiashunt_types::prelude::*;

const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
const NODES: usize = 10;

fn at(millis: u64) -> Time {
    Time::from_millis(1_000 + millis)
}

fn options() -> AllowanceOptions {
    AllowanceOptions {
        rate: RATE,
        burst: BURST,
        share: 1.0 / NODES as f64,
    }
}

/// Nodes that delegate to node 0 while their link to it is up.
struct Fleet {
    nodes: Vec<Allowance>,
    is_linked: Vec<bool>,
    taken: Vec<Time>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            nodes: (0..NODES)
                .map(|_| Allowance::new(at(0), options()))
                .collect(),
            is_linked: vec![true; NODES],
            taken: Vec::new(),
        }
    }

    fn delegate(&mut self, now: Time) {
        for node in 1..NODES {
            let is_linked = self.is_linked[node];
            self.nodes[node].set_delegating(now, is_linked);
            if is_linked {
                self.nodes[0].on_delegated(now, &format!("node-{node}"), 1.0 / NODES as f64);
            }
        }
    }

    fn request(&mut self, now: Time, node: usize) -> bool {
        if self.nodes[node].take(now) == Take::Passed {
            self.taken.push(now);
            return true;
        }
        if node > 0 && self.is_linked[node] && self.nodes[0].give(now, 1) == 1 {
            self.taken.push(now);
            return true;
        }
        false
    }

    /// The maximum number of requests that passed within any `span`.
    fn max_within(&self, span: Duration) -> usize {
        let counts = self.taken.iter().map(|from| {
            let within = self
                .taken
                .iter()
                .filter(|it| **it >= *from && it.since(*from) < span);
            within.count()
        });
        counts.max().unwrap_or(0)
    }
}

#[test]
fn demand_at_a_few_nodes_gets_the_full_rate() {
    let mut fleet = Fleet::new();
    let mut passed = 0;
    for step in 0..1_000_u64 {
        let now = at(step * 10);
        if step % 30 == 0 {
            fleet.delegate(now);
        }
        // 36 requests per second, of 40 allowed, all at two nodes.
        let requests = u64::from(step % 25 < 9);
        for _ in 0..requests {
            passed += u64::from(fleet.request(now, 3 + (step % 2) as usize));
        }
    }
    assert!(passed >= 350, "{passed} of 360 within the rate passed");
}

#[test]
fn no_window_exceeds_rate_and_burst_while_links_fail_and_recover() {
    check(|u| {
        let mut fleet = Fleet::new();
        for step in 0..1_200_u64 {
            let now = at(step * 10);
            if step % 30 == 0 {
                if u.ratio(1, 6)? {
                    let node = u.int_in_range(1..=NODES - 1)?;
                    fleet.is_linked[node] = !fleet.is_linked[node];
                }
                fleet.delegate(now);
            }
            for node in 0..NODES {
                fleet.request(now, node);
            }
        }
        let window = Duration::from_secs(5);
        let max = fleet.max_within(window);
        // The operators' bound: a tenth above rate and burst, plus 20 requests.
        let bound = (RATE * 5.0 + BURST) * 1.1 + 20.0;
        assert!(max as f64 <= bound, "{max} in 5 s, {bound} allowed");
        Ok(())
    });
}

#[test]
fn a_delegation_expires_at_the_home() {
    let mut home = Allowance::new(
        at(0),
        AllowanceOptions {
            share: 0.0,
            ..options()
        },
    );
    home.on_delegated(at(0), "node-1", 0.5);
    let produced = home.give(at(10_000), 100);
    let max = RATE * 0.5 * DELEGATION_TTL.as_secs_f64();
    assert!(
        f64::from(produced) <= max + 1.0,
        "{produced} produced, {max} at most"
    );
}

#[test]
fn a_lower_limit_caps_what_is_held() {
    let mut node = Allowance::new(
        at(0),
        AllowanceOptions {
            share: 1.0,
            ..options()
        },
    );
    assert!(node.set_options(
        at(5_000),
        AllowanceOptions {
            rate: 2.0,
            burst: 2.0,
            share: 1.0
        }
    ));
    let passed = (0..50)
        .filter(|_| node.take(at(5_000)) == Take::Passed)
        .count();
    assert!(passed <= 2, "{passed}");
}

#[test]
fn nodes_with_the_same_view_agree_on_homes() {
    let names = || (0..20).map(|at| format!("node-{at}"));
    let forward = homes(names());
    let reversed = homes(names().rev());
    assert_eq!(forward, reversed);
    assert_eq!(forward.len(), 3);
    let workspace: Workspace = "shop-1".parse().expect("a valid name");
    assert_eq!(home_of(&forward, workspace), home_of(&reversed, workspace));
}

/// A home, and nodes that request tokens from it for a quarter of a second of their demand in
/// advance.
struct Requesters {
    home: Allowance,
    nodes: Vec<Allowance>,
    requested: Vec<Time>,
}

impl Requesters {
    const TOKENS_PER_REQUEST: u32 = 12;
    const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

    fn new() -> Self {
        let rate = AllowanceOptions {
            rate: 100.0,
            burst: 100.0,
            share: 1.0 / NODES as f64,
        };
        let mut node = Allowance::new(at(0), rate);
        node.set_delegating(at(0), true);
        Self {
            home: Allowance::new(at(0), rate),
            nodes: vec![node; NODES - 1],
            requested: vec![at(0); NODES - 1],
        }
    }

    /// Sends one request to every node. Returns how many of them took a token and kept it.
    fn step(&mut self, now: Time, is_shed: bool) -> usize {
        let mut kept = 0;
        for at in 0..self.nodes.len() {
            let name = format!("node-{at}");
            self.home.on_delegated(now, &name, 1.0 / NODES as f64);
            let mut has_passed = self.nodes[at].take(now) == Take::Passed;
            if !has_passed && now.since(self.requested[at]) >= Self::REQUEST_INTERVAL {
                self.requested[at] = now;
                let given = self.home.give(now, Self::TOKENS_PER_REQUEST);
                self.nodes[at].receive(now, given);
                has_passed = self.nodes[at].take(now) == Take::Passed;
            }
            if has_passed && is_shed {
                self.nodes[at].refund(now);
            } else if has_passed {
                kept += 1;
            }
        }
        kept
    }
}

#[test]
fn tokens_held_by_nodes_count_against_the_burst() {
    // A workspace with high demand whose service first sheds all requests and then serves them again.
    // A shed request returns its token.
    let mut requesters = Requesters::new();
    for step in 0..300 {
        requesters.step(at(step * 20), true);
    }
    let mut taken = 0;
    for step in 300..550 {
        taken += requesters.step(at(step * 20), false);
    }
    // Rate and burst, plus one own token per node.
    let max = 100 * 5 + 100 + NODES;
    assert!(taken <= max, "{taken} in 5 s, {max} allowed");
    // The full rate is still available.
    assert!(taken >= 480, "{taken} in 5 s");
}

#[test]
fn a_node_that_learns_of_other_nodes_keeps_no_more_than_its_share() {
    // All nodes start at once, and each learns of the others some time after it has the table.
    let mut node = Allowance::new(
        at(0),
        AllowanceOptions {
            share: 1.0,
            ..options()
        },
    );
    node.set_options(at(3_000), options());
    let own = BURST / NODES as f64;
    assert!(node.tokens() <= own, "{} of {own}", node.tokens());
    node.set_delegating(at(3_000), true);
    let taken = (0..50).filter(|_| node.take(at(3_400)) == Take::Passed);
    assert!(
        taken.count() <= 1,
        "the node keeps at most one token besides those of the home"
    );
}

#[test]
fn delegating_to_a_home_that_has_just_started_refuses_nothing_within_the_rate() {
    let half_share = AllowanceOptions {
        share: 0.5,
        ..options()
    };
    let mut node = Allowance::new(at(0), half_share);
    node.take(at(1_000));
    let mut home = Allowance::new(at(1_000), half_share);
    node.set_delegating(at(1_000), true);
    home.on_delegated(at(1_000), "node", 0.5);
    for step in 0..40 {
        // Half of the rate, two requests at a time, from the start.
        let now = at(1_000 + step / 2 * 100);
        if node.take(now) == Take::Exhausted {
            let given = home.give(now, 1);
            node.receive(now, given);
            assert_eq!(node.take(now), Take::Passed, "request {step}");
        }
    }
}

#[test]
fn the_time_until_the_next_tokens_follows_the_share_that_produces_here() {
    let mut node = Allowance::new(at(0), options());
    // Four tokens a second.
    assert_eq!(node.time_until(1), Some(Duration::from_millis(250)));
    assert_eq!(node.time_until(2), Some(Duration::from_millis(500)));
    assert_eq!(node.time_until(5), None, "over the burst of its share");
    node.set_delegating(at(0), true);
    assert_eq!(node.time_until(1), None, "its share produces at the home");
}
