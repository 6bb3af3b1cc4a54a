//! P5 at the level of single steps: relay sets change while a change is accepted.
//!
//! A walk picks at random which node reads, hears or tells what next, so that every cut, delay and
//! order of messages is some walk. Once the change is accepted and the freshness bound has passed,
//! nobody may be in touch without it: neither by the newest control value nor by any earlier one,
//! and whatever reports he hears.

use std::time::Duration;

use cassiashunt_control::{
    Acceptance, ChangeAction, Control, Domain, FreshnessTracker, Heads, Outcome, Relay, RelayEntry,
    edit, freshness, msg, relay,
};
use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

const WALKS: u64 = 40_000;
const STEPS: usize = 120;
const IKEJA: usize = 5;
const NODES: usize = 7;
const CHANGES: u32 = 3;
const BOUND: Duration = Duration::from_millis(2_100);

#[derive(Debug, Clone, Copy)]
enum Step {
    Learn,
    LearnControl,
    LearnOfPeer,
    Read,
    Hear,
    Replace,
    Write,
    EntryReads,
    EntryLearns,
    EntryAsks,
    Stop,
    HandOver,
    Outage,
}

impl Step {
    const ALL: [Self; 13] = [
        Self::Learn,
        Self::LearnControl,
        Self::LearnOfPeer,
        Self::Read,
        Self::Hear,
        Self::Replace,
        Self::Write,
        Self::EntryReads,
        Self::EntryLearns,
        Self::EntryAsks,
        Self::Stop,
        Self::HandOver,
        Self::Outage,
    ];

    /// Each walk has weights of its own, so that some walks do much of one thing and none of
    /// another.
    fn draw_weights(rng: &mut fastrand::Rng) -> Vec<u32> {
        let usual = [2, 3, 1, 1, 8, 1, 2, 3, 1, 10, 0, 1, 0];
        let vary = |usual: u32| match rng.u32(0..4) {
            0 => usual * 2,
            1 => usual.div_ceil(2),
            2 => usual.min(1) + u32::from(rng.u32(0..8) == 0),
            _ => usual,
        };
        let mut weights: Vec<u32> = usual.into_iter().map(vary).collect();
        weights[Self::Hear as usize] += 1;
        weights
    }
}

struct Node {
    relay: Relay,
    control: Control,
    table: Revision,
}

struct Walk {
    weights: Vec<u32>,
    rng: fastrand::Rng,
    now: Time,
    nodes: Vec<Node>,
    platform: Control,
    table: Revision,
    platform_is_up: bool,
    changes: u32,
    accept: Option<Acceptance>,
    entry_control: Control,
    views: Vec<Control>,
    hand_overs: Vec<msg::HandOver>,
    accepted_at: Option<Time>,
    trace: Vec<String>,
}

fn name(domain: &str) -> FailureDomain {
    domain.parse().expect("a plain word is a name")
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 1)
}

fn first_control(rng: &mut fastrand::Rng) -> Control {
    let entry = |node| RelayEntry {
        node: id(node),
        since: Revision(1),
    };
    let domain = |name, relays: std::ops::Range<usize>| Domain {
        name,
        relays: relays.map(entry).collect(),
        previous: Vec::new(),
    };
    let relays = [1, 2, 3, 3, 3][rng.usize(0..5)];
    Control {
        revision: Revision(1),
        domains: vec![
            domain(name("ikeja"), 0..relays),
            domain(name("lekki"), IKEJA..IKEJA + 1),
        ],
        shards: Vec::new(),
    }
}

impl Walk {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let control = first_control(&mut rng);
        let weights = Step::draw_weights(&mut rng);
        let mut walk = Self {
            weights,
            rng,
            now: Time::from_millis(1),
            nodes: (0..NODES).map(new_node).collect(),
            platform: control.clone(),
            table: Revision(1),
            platform_is_up: true,
            changes: 0,
            accept: None,
            entry_control: control.clone(),
            views: vec![control],
            hand_overs: Vec::new(),
            accepted_at: None,
            trace: Vec::new(),
        };
        for node in 0..NODES {
            walk.learn(node);
            walk.read(node);
        }
        walk
    }

    /// Takes random steps; true if the observer was in touch when it must not be.
    fn run(&mut self) -> bool {
        for _ in 0..STEPS {
            self.now = self.now + Duration::from_millis(1);
            self.step();
            if self.note_accepted() {
                self.now = self.now + BOUND;
            }
            if self.accepted_at.is_some() && self.somebody_is_in_touch_without_the_change() {
                return true;
            }
        }
        false
    }

    fn somebody_is_in_touch_without_the_change(&self) -> bool {
        self.views.iter().any(|control| {
            let mut observer = FreshnessTracker::new(freshness::Options::default());
            observer.apply_control(control);
            observer.apply_table(Revision(1));
            let reports = self.nodes.iter().flat_map(|n| n.relay.reports(self.now));
            for report in reports {
                observer.on_report(self.now, self.now, &report);
            }
            let applied = Heads {
                table: Revision(1),
                control: control.revision,
            };
            observer.check(self.now, applied).is_ok()
        })
    }

    fn note_accepted(&mut self) -> bool {
        let outcome = self.accept.as_ref().map(Acceptance::outcome);
        let is_new = outcome == Some(Outcome::Accepted) && self.accepted_at.is_none();
        if is_new {
            self.accepted_at = Some(self.now);
            self.trace.push("accepted".into());
        }
        is_new
    }

    fn step(&mut self) {
        let node = self.rng.usize(0..NODES);
        let other = self.rng.usize(0..NODES);
        let step = self.draw_step();
        self.trace.push(format!("{step:?}: {node} {other}"));
        match step {
            Step::Learn => self.learn(node),
            Step::LearnControl => self.learn_control(node),
            Step::LearnOfPeer => self.learn_of_peer(node, other),
            Step::Read => self.read(node),
            Step::Hear => self.hear(node, other),
            Step::Replace => self.replace(node),
            Step::Write => self.write(),
            Step::EntryReads => self.entry_reads(),
            Step::EntryLearns => self.entry_learns_of(node),
            Step::EntryAsks => self.entry_asks(node),
            Step::Stop => self.stop(node, other),
            Step::HandOver => self.hand_over(),
            Step::Outage => self.platform_is_up = !self.platform_is_up,
        }
    }

    fn draw_step(&mut self) -> Step {
        let total: u32 = self.weights.iter().sum();
        let mut at = self.rng.u32(0..total);
        for (step, weight) in Step::ALL.iter().zip(&self.weights) {
            match at.checked_sub(*weight) {
                Some(rest) => at = rest,
                None => return *step,
            }
        }
        unreachable!("the draw is below the sum of the weights")
    }

    fn on(&mut self, node: usize, event: relay::Event) {
        for action in self.nodes[node].relay.on(self.now, event) {
            match action {
                relay::Action::PrunePrevious { domain, relay } => self.settle(node, domain, relay),
                relay::Action::HandOver(msg) => self.hand_overs.push(msg),
                relay::Action::ReadHeads | relay::Action::Reverted { .. } => {}
            }
        }
    }

    fn apply(&mut self, node: usize, control: &Control, table: Revision) {
        let me = &mut self.nodes[node];
        me.table = me.table.max(table);
        if control.revision > me.control.revision {
            me.control = control.clone();
        }
        let (control, table) = (me.control.clone(), me.table);
        self.on(node, relay::Event::Control(control));
        self.on(node, relay::Event::Table(table));
    }

    /// The node reads control value and table from the platform.
    fn learn(&mut self, node: usize) {
        if self.platform_is_up {
            let (control, table) = (self.platform.clone(), self.table);
            self.apply(node, &control, table);
        }
    }

    fn learn_control(&mut self, node: usize) {
        if self.platform_is_up {
            let control = self.platform.clone();
            self.apply(node, &control, Revision(1));
        }
    }

    fn read(&mut self, node: usize) {
        if self.platform_is_up && self.nodes[node].relay.is_relay() {
            let heads = Heads {
                table: self.table,
                control: self.platform.revision,
            };
            let asked = self.now;
            self.on(node, relay::Event::HeadsRead { asked, heads });
        }
    }

    fn hear(&mut self, node: usize, other: usize) {
        for report in self.nodes[other].relay.reports(self.now) {
            self.on(node, relay::Event::ReportReceived(report));
        }
    }

    fn learn_of_peer(&mut self, node: usize, other: usize) {
        let (control, table) = (self.nodes[other].control.clone(), self.nodes[other].table);
        self.apply(node, &control, table);
    }

    fn replace(&mut self, node: usize) {
        let domain = name("ikeja");
        let relays: Vec<NodeId> = self
            .platform
            .domain(domain)
            .map(|domain| domain.nodes().collect())
            .unwrap_or_default();
        let place = self.rng.usize(0..relays.len() + 1);
        if self.platform_is_up && self.changes < CHANGES {
            self.replace_by(relays.get(place).copied(), id(node % IKEJA));
        }
    }

    fn replace_by(&mut self, remove: Option<NodeId>, add: NodeId) {
        let replace = edit::Replace {
            domain: name("ikeja"),
            remove,
            add: Some(add),
        };
        if let Ok(next) = edit::replace(&self.platform, replace) {
            self.changes += 1;
            self.views.push(next.clone());
            self.platform = next;
            self.trace.push(format!("{replace:?}"));
        }
    }

    fn settle(&mut self, node: usize, domain: FailureDomain, relay: NodeId) {
        let base = &self.nodes[node].control;
        if self.platform_is_up
            && base.revision == self.platform.revision
            && let Ok(next) = edit::prune_previous(base, domain, relay)
        {
            self.views.push(next.clone());
            self.platform = next;
            self.trace.push(format!("settled by {relay}"));
        }
    }

    fn write(&mut self) {
        if self.platform_is_up && self.accept.is_none() {
            self.table = Revision(2);
            let mut accept = Acceptance::table(name("ikeja"), self.table, &self.entry_control);
            accept.on_durable(self.now);
            self.accept = Some(accept);
        }
    }

    fn entry_reads(&mut self) {
        if !self.platform_is_up {
            return;
        }
        self.entry_control = self.platform.clone();
        if let Some(accept) = &mut self.accept {
            accept.on_control_read(self.now, &self.platform);
        }
    }

    fn entry_learns_of(&mut self, node: usize) {
        let control = &self.nodes[node].control;
        if control.revision > self.entry_control.revision {
            self.entry_control = control.clone();
            if let Some(accept) = &mut self.accept {
                accept.on_control_known(self.now, control);
            }
        }
    }

    fn entry_asks(&mut self, node: usize) {
        let Some(accept) = &mut self.accept else {
            return;
        };
        for applied in self.nodes[node].relay.applied() {
            let asks = accept.on_relay_applied(&applied);
            assert!(asks.iter().all(|ask| *ask == ChangeAction::ReadControl));
        }
    }

    fn stop(&mut self, node: usize, to: usize) {
        if node != to {
            self.on(node, relay::Event::Stop { to: Some(id(to)) });
        }
    }

    fn hand_over(&mut self) {
        if self.hand_overs.is_empty() {
            return;
        }
        let at = self.rng.usize(0..self.hand_overs.len());
        let msg = self.hand_overs[at];
        let to = (msg.to - 1) as usize;
        self.on(to, relay::Event::HandedOver(msg));
    }
}

fn new_node(node: usize) -> Node {
    Node {
        relay: Relay::new(id(node), relay::Options::default()),
        control: Control::default(),
        table: Revision(1),
    }
}

#[test]
fn p05_nobody_without_an_accepted_change_is_in_touch_however_relay_sets_change() {
    let mut accepted = 0;
    let mut changed = 0;
    for seed in 0..WALKS {
        let mut walk = Walk::new(seed);
        let is_broken = walk.run();
        assert!(!is_broken, "seed {seed}: {:#?}", walk.trace);
        accepted += u64::from(walk.accepted_at.is_some());
        changed += u64::from(walk.accepted_at.is_some() && walk.changes > 0);
    }
    println!("{accepted} accepted, {changed} of them with a change of relays");
    assert!(accepted > WALKS / 20 && changed > WALKS / 50);
}

/// Three relays in ikeja, 0 to 2, and one in lekki; nothing happens but what the test says.
fn scripted() -> Walk {
    let with_three = (0..).find(|seed| {
        let walk = Walk::new(*seed);
        walk.platform.domain(name("ikeja")).map(|d| d.relays.len()) == Some(3)
    });
    Walk::new(with_three.expect("some seed draws three relays"))
}

impl Walk {
    fn all_learn_control(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.learn_control(*node);
        }
    }

    fn hear_all(&mut self, node: usize, others: &[usize]) {
        for other in others {
            self.hear(node, *other);
        }
    }

    /// Writes the change and gathers the answers of these relays, which learn of it.
    fn spread_to(&mut self, nodes: &[usize]) -> Outcome {
        for node in nodes {
            self.now = self.now + Duration::from_millis(1);
            let control = self.nodes[*node].control.clone();
            self.apply(*node, &control, Revision(2));
            self.entry_asks(*node);
        }
        self.note_accepted();
        let accept = self.accept.as_ref().expect("the test wrote the change");
        accept.outcome()
    }

    fn check_after_the_bound(&mut self) {
        self.now = self.now + BOUND;
        assert!(!self.somebody_is_in_touch_without_the_change());
    }
}

#[test]
fn p05_a_relay_that_knows_a_newer_set_does_not_vouch_for_the_old_one() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_learn_control(&[0, 1, 3]);
    walk.hear_all(3, &[0, 1]);
    walk.entry_reads();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.spread_to(&[3, 1]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_an_answer_that_names_a_newer_relay_set_does_not_count_for_the_old_one() {
    let mut walk = scripted();
    walk.write();
    walk.entry_reads();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_learn_control(&[0, 1, 3]);
    walk.hear_all(3, &[0, 1]);
    assert_eq!(walk.spread_to(&[0, 2]), Outcome::Pending);
    walk.now = walk.now + BOUND;
    assert!(walk.somebody_is_in_touch_without_the_change());
    walk.entry_reads();
    assert_eq!(walk.spread_to(&[0, 3]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_set_that_was_replaced_before_the_change_does_not_accept_it() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_learn_control(&[3, IKEJA]);
    walk.hear(3, IKEJA);
    walk.read(3);
    walk.write();
    assert_eq!(walk.spread_to(&[1, 2]), Outcome::Pending);
    walk.entry_reads();
    assert_eq!(walk.spread_to(&[0, 1]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_newcomer_whose_predecessors_are_settled_reads_the_platform_before_it_vouches() {
    let mut walk = scripted();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.spread_to(&[1, 2]), Outcome::Accepted);
    walk.replace_by(Some(id(2)), id(3));
    walk.replace_by(Some(id(1)), id(4));
    walk.all_learn_control(&[0, 1, 4]);
    walk.hear_all(4, &[0, 1]);
    let settled = walk
        .platform
        .domain(name("ikeja"))
        .map(|d| d.previous.len());
    assert_eq!(settled, Some(0));
    walk.all_learn_control(&[0, 3]);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_relay_that_comes_back_joins_anew() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_learn_control(&[0, 1, 3]);
    walk.hear_all(3, &[0, 1]);
    walk.entry_reads();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.spread_to(&[3, 1]), Outcome::Accepted);
    walk.replace_by(Some(id(3)), id(2));
    walk.all_learn_control(&[0, 2]);
    walk.check_after_the_bound();
}
