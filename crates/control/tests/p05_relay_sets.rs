//! P5 at the level of single steps: relay sets change while a change is being accepted.
//!
//! A random walk picks which node reads, receives or sends what next, so that every partition, delay
//! and order of messages is a possible walk. Once the change is accepted and the freshness bound has
//! passed, no node may be in touch without it, whichever control value it has and whichever reports
//! it receives.

use std::time::Duration;

use cassiashunt_control::{
    Acceptance, ChangeAction, Control, Domain, FreshnessTracker, Heads, Outcome, Relay, RelayEntry,
    edit, freshness, msg, relay,
};
use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

const WALK_COUNT: u64 = 40_000;
const STEPS_PER_WALK: usize = 120;
const IKEJA_NODES: usize = 5;
const NODES: usize = 7;
const MAX_RELAY_CHANGES: u32 = 3;
const FRESHNESS_BOUND: Duration = Duration::from_millis(2_100);

#[derive(Debug, Clone, Copy)]
enum Step {
    ApplyPlatform,
    ApplyPlatformControl,
    ApplyFromPeer,
    ReadHeads,
    ReceiveReports,
    Replace,
    Write,
    EntryReads,
    EntryLearnsControl,
    EntryQueries,
    Stop,
    HandOver,
    ToggleOutage,
}

impl Step {
    const ALL: [Self; 13] = [
        Self::ApplyPlatform,
        Self::ApplyPlatformControl,
        Self::ApplyFromPeer,
        Self::ReadHeads,
        Self::ReceiveReports,
        Self::Replace,
        Self::Write,
        Self::EntryReads,
        Self::EntryLearnsControl,
        Self::EntryQueries,
        Self::Stop,
        Self::HandOver,
        Self::ToggleOutage,
    ];

    /// Each walk draws its own weights, so that some walks take one step often and another never.
    fn draw_weights(rng: &mut fastrand::Rng) -> Vec<u32> {
        let base = [2, 3, 1, 1, 8, 1, 2, 3, 1, 10, 0, 1, 0];
        let vary = |base: u32| match rng.u32(0..4) {
            0 => base * 2,
            1 => base.div_ceil(2),
            2 => base.min(1) + u32::from(rng.u32(0..8) == 0),
            _ => base,
        };
        let mut weights: Vec<u32> = base.into_iter().map(vary).collect();
        weights[Self::ReceiveReports as usize] += 1;
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
    acceptance: Option<Acceptance>,
    entry_control: Control,
    control_values: Vec<Control>,
    hand_overs: Vec<msg::HandOver>,
    accepted_at: Option<Time>,
    trace: Vec<String>,
}

fn name(domain: &str) -> FailureDomain {
    domain.parse().expect("a lower-case word is a valid label")
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
            domain(name("lekki"), IKEJA_NODES..IKEJA_NODES + 1),
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
            acceptance: None,
            entry_control: control.clone(),
            control_values: vec![control],
            hand_overs: Vec::new(),
            accepted_at: None,
            trace: Vec::new(),
        };
        for node in 0..NODES {
            walk.apply_platform(node);
            walk.read_heads(node);
        }
        walk
    }

    /// Takes random steps; true if a node without the accepted change was in touch after the bound.
    fn run(&mut self) -> bool {
        for _ in 0..STEPS_PER_WALK {
            self.now = self.now + Duration::from_millis(1);
            self.step();
            if self.record_accepted() {
                self.now = self.now + FRESHNESS_BOUND;
            }
            if self.accepted_at.is_some() && self.is_any_node_in_touch_without_the_change() {
                return true;
            }
        }
        false
    }

    fn is_any_node_in_touch_without_the_change(&self) -> bool {
        self.control_values.iter().any(|control| {
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

    fn record_accepted(&mut self) -> bool {
        let outcome = self.acceptance.as_ref().map(Acceptance::outcome);
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
            Step::ApplyPlatform => self.apply_platform(node),
            Step::ApplyPlatformControl => self.apply_platform_control(node),
            Step::ApplyFromPeer => self.apply_from_peer(node, other),
            Step::ReadHeads => self.read_heads(node),
            Step::ReceiveReports => self.receive_reports(node, other),
            Step::Replace => self.replace(node),
            Step::Write => self.write(),
            Step::EntryReads => self.entry_reads(),
            Step::EntryLearnsControl => self.entry_learns_control(node),
            Step::EntryQueries => self.entry_queries(node),
            Step::Stop => self.stop(node, other),
            Step::HandOver => self.hand_over(),
            Step::ToggleOutage => self.platform_is_up = !self.platform_is_up,
        }
    }

    fn draw_step(&mut self) -> Step {
        let total: u32 = self.weights.iter().sum();
        let mut at = self.rng.u32(0..total);
        for (step, weight) in Step::ALL.iter().zip(&self.weights) {
            match at.checked_sub(*weight) {
                Some(remaining) => at = remaining,
                None => return *step,
            }
        }
        unreachable!("the drawn value is below the sum of the weights")
    }

    fn on(&mut self, node: usize, event: relay::Event) {
        for action in self.nodes[node].relay.on(self.now, event) {
            match action {
                relay::Action::PrunePrevious { domain, relay } => {
                    self.prune_previous(node, domain, relay)
                }
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

    /// The node reads and applies the control value and the table of the platform.
    fn apply_platform(&mut self, node: usize) {
        if self.platform_is_up {
            let (control, table) = (self.platform.clone(), self.table);
            self.apply(node, &control, table);
        }
    }

    fn apply_platform_control(&mut self, node: usize) {
        if self.platform_is_up {
            let control = self.platform.clone();
            self.apply(node, &control, Revision(1));
        }
    }

    fn read_heads(&mut self, node: usize) {
        if self.platform_is_up && self.nodes[node].relay.is_relay() {
            let heads = Heads {
                table: self.table,
                control: self.platform.revision,
            };
            let asked = self.now;
            self.on(node, relay::Event::HeadsRead { asked, heads });
        }
    }

    fn receive_reports(&mut self, node: usize, other: usize) {
        for report in self.nodes[other].relay.reports(self.now) {
            self.on(node, relay::Event::ReportReceived(report));
        }
    }

    fn apply_from_peer(&mut self, node: usize, other: usize) {
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
        let index = self.rng.usize(0..relays.len() + 1);
        if self.platform_is_up && self.changes < MAX_RELAY_CHANGES {
            self.replace_by(relays.get(index).copied(), id(node % IKEJA_NODES));
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
            self.control_values.push(next.clone());
            self.platform = next;
            self.trace.push(format!("{replace:?}"));
        }
    }

    fn prune_previous(&mut self, node: usize, domain: FailureDomain, relay: NodeId) {
        let base = &self.nodes[node].control;
        if self.platform_is_up
            && base.revision == self.platform.revision
            && let Ok(next) = edit::prune_previous(base, domain, relay)
        {
            self.control_values.push(next.clone());
            self.platform = next;
            self.trace.push(format!("previous sets pruned by {relay}"));
        }
    }

    fn write(&mut self) {
        if self.platform_is_up && self.acceptance.is_none() {
            self.table = Revision(2);
            let mut acceptance = Acceptance::table(name("ikeja"), self.table, &self.entry_control);
            acceptance.on_durable(self.now);
            self.acceptance = Some(acceptance);
        }
    }

    fn entry_reads(&mut self) {
        if !self.platform_is_up {
            return;
        }
        self.entry_control = self.platform.clone();
        if let Some(acceptance) = &mut self.acceptance {
            acceptance.on_control_read(self.now, &self.platform);
        }
    }

    fn entry_learns_control(&mut self, node: usize) {
        let control = &self.nodes[node].control;
        if control.revision > self.entry_control.revision {
            self.entry_control = control.clone();
            if let Some(acceptance) = &mut self.acceptance {
                acceptance.on_control_known(self.now, control);
            }
        }
    }

    fn entry_queries(&mut self, node: usize) {
        let Some(acceptance) = &mut self.acceptance else {
            return;
        };
        for applied in self.nodes[node].relay.applied() {
            let actions = acceptance.on_relay_applied(&applied);
            assert!(
                actions
                    .iter()
                    .all(|action| *action == ChangeAction::ReadControl)
            );
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
fn p05_no_node_without_an_accepted_change_is_in_touch_under_relay_changes() {
    let mut accepted = 0;
    let mut changed = 0;
    for seed in 0..WALK_COUNT {
        let mut walk = Walk::new(seed);
        let is_broken = walk.run();
        assert!(!is_broken, "seed {seed}: {:#?}", walk.trace);
        accepted += u64::from(walk.accepted_at.is_some());
        changed += u64::from(walk.accepted_at.is_some() && walk.changes > 0);
    }
    println!("{accepted} accepted, {changed} of them with a change of relays");
    assert!(accepted > WALK_COUNT / 20 && changed > WALK_COUNT / 50);
}

/// Three relays in ikeja, 0 to 2, and one in lekki; only the steps of the test are taken.
fn scripted() -> Walk {
    let with_three = (0..).find(|seed| {
        let walk = Walk::new(*seed);
        walk.platform.domain(name("ikeja")).map(|d| d.relays.len()) == Some(3)
    });
    Walk::new(with_three.expect("no seed draws three relays"))
}

impl Walk {
    fn all_apply_platform_control(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.apply_platform_control(*node);
        }
    }

    fn receive_reports_from(&mut self, node: usize, others: &[usize]) {
        for other in others {
            self.receive_reports(node, *other);
        }
    }

    /// Applies the change at these nodes and records their answers.
    fn apply_change_at(&mut self, nodes: &[usize]) -> Outcome {
        for node in nodes {
            self.now = self.now + Duration::from_millis(1);
            let control = self.nodes[*node].control.clone();
            self.apply(*node, &control, Revision(2));
            self.entry_queries(*node);
        }
        self.record_accepted();
        let acceptance = self
            .acceptance
            .as_ref()
            .expect("the test did not write the change");
        acceptance.outcome()
    }

    fn check_after_the_bound(&mut self) {
        self.now = self.now + FRESHNESS_BOUND;
        assert!(!self.is_any_node_in_touch_without_the_change());
    }
}

#[test]
fn p05_a_relay_that_knows_a_newer_set_does_not_vouch_for_the_old_one() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_apply_platform_control(&[0, 1, 3]);
    walk.receive_reports_from(3, &[0, 1]);
    walk.entry_reads();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.apply_change_at(&[3, 1]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_an_answer_that_names_a_newer_relay_set_does_not_count_for_the_old_one() {
    let mut walk = scripted();
    walk.write();
    walk.entry_reads();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_apply_platform_control(&[0, 1, 3]);
    walk.receive_reports_from(3, &[0, 1]);
    assert_eq!(walk.apply_change_at(&[0, 2]), Outcome::Pending);
    walk.now = walk.now + FRESHNESS_BOUND;
    assert!(walk.is_any_node_in_touch_without_the_change());
    walk.entry_reads();
    assert_eq!(walk.apply_change_at(&[0, 3]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_set_that_was_replaced_before_the_change_does_not_accept_it() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_apply_platform_control(&[3, IKEJA_NODES]);
    walk.receive_reports(3, IKEJA_NODES);
    walk.read_heads(3);
    walk.write();
    assert_eq!(walk.apply_change_at(&[1, 2]), Outcome::Pending);
    walk.entry_reads();
    assert_eq!(walk.apply_change_at(&[0, 1]), Outcome::Accepted);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_new_relay_whose_previous_sets_were_pruned_reads_the_platform_before_it_vouches() {
    let mut walk = scripted();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.apply_change_at(&[1, 2]), Outcome::Accepted);
    walk.replace_by(Some(id(2)), id(3));
    walk.replace_by(Some(id(1)), id(4));
    walk.all_apply_platform_control(&[0, 1, 4]);
    walk.receive_reports_from(4, &[0, 1]);
    let previous_sets = walk
        .platform
        .domain(name("ikeja"))
        .map(|d| d.previous.len());
    assert_eq!(previous_sets, Some(0));
    walk.all_apply_platform_control(&[0, 3]);
    walk.check_after_the_bound();
}

#[test]
fn p05_a_relay_that_is_added_again_starts_its_role_over() {
    let mut walk = scripted();
    walk.replace_by(Some(id(2)), id(3));
    walk.all_apply_platform_control(&[0, 1, 3]);
    walk.receive_reports_from(3, &[0, 1]);
    walk.entry_reads();
    walk.write();
    walk.entry_reads();
    assert_eq!(walk.apply_change_at(&[3, 1]), Outcome::Accepted);
    walk.replace_by(Some(id(3)), id(2));
    walk.all_apply_platform_control(&[0, 2]);
    walk.check_after_the_bound();
}
