//! Rosters in a small fake of the platform.

mod common;

use std::collections::BTreeMap;

use cassiashunt_member::{
    Event as MemberEvent, Phase,
    roster::{Action, Entry, Event, Options, RosterMaintainer, Value},
};
use cassiashunt_types::prelude::*;
use common::{Net, addr, fast, for_seeds};

const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];

fn domains() -> Vec<FailureDomain> {
    DOMAINS
        .map(|name| name.parse().expect("a short name"))
        .into()
}

/// Compare-and-swap values, with losses and outages.
struct Platform {
    values: BTreeMap<FailureDomain, (Revision, Vec<u8>)>,
    is_down: bool,
    /// The share of answers that are lost after the call took effect.
    lost_answers: f64,
    reads: u32,
    writes: u32,
    stale_writes: u32,
}

impl Platform {
    fn new() -> Self {
        Self {
            values: BTreeMap::new(),
            is_down: false,
            lost_answers: 0.0,
            reads: 0,
            writes: 0,
            stale_writes: 0,
        }
    }

    fn call(&mut self, rng: &mut fastrand::Rng, action: Action) -> Option<Event> {
        let (domain, answer) = match action {
            Action::ReadRoster { domain } => {
                self.reads += 1;
                (domain, self.read(domain))
            }
            Action::CasRoster {
                domain,
                expect,
                value,
            } => {
                self.writes += 1;
                (domain, self.cas(domain, expect, value))
            }
            Action::Seeds(_) => return None,
        };
        if self.is_down || rng.f64() < self.lost_answers {
            return Some(Event::Failed { domain });
        }
        answer
    }

    fn read(&self, domain: FailureDomain) -> Option<Event> {
        Some(match self.values.get(&domain) {
            Some((revision, value)) => Event::Found {
                domain,
                revision: *revision,
                value: value.clone(),
            },
            None => Event::Absent { domain },
        })
    }

    fn cas(
        &mut self,
        domain: FailureDomain,
        expect: Option<Revision>,
        value: Vec<u8>,
    ) -> Option<Event> {
        let known = self.values.get(&domain).map(|(revision, _)| *revision);
        if self.is_down {
            return None;
        }
        if known != expect {
            self.stale_writes += 1;
            return Some(Event::Conflict { domain });
        }
        let next = known.unwrap_or_default().next();
        self.values.insert(domain, (next, value));
        None
    }

    fn roster(&self, domain: FailureDomain) -> Value {
        let value = self.values.get(&domain);
        value.map_or_else(Value::default, |(_, buf)| {
            Value::from_bytes(buf).expect("nodes write rosters")
        })
    }
}

/// A fleet that finds itself by rosters alone.
struct Fleet {
    net: Net,
    platform: Platform,
    rosters: BTreeMap<NodeId, RosterMaintainer>,
    opts: Options,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            net: Net::new(seed, fast()),
            platform: Platform::new(),
            rosters: BTreeMap::new(),
            opts: Options::default(),
        }
    }

    fn start(&mut self, port: u16) -> NodeId {
        let id = self.net.start(addr(port), &[]);
        let own = self.net.processes[&id].members.me().domain;
        let rng = fastrand::Rng::with_seed(id.0);
        self.rosters
            .insert(id, RosterMaintainer::new(self.opts, own, domains(), rng));
        id
    }

    fn run(&mut self, span: Duration) {
        let end = self.net.now + span;
        while self.net.now < end {
            self.net.run(Duration::from_millis(100));
            for id in self.net.ids() {
                self.tick(id);
            }
        }
    }

    fn tick(&mut self, id: NodeId) {
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            let now = self.net.local(id);
            let members = &self.net.processes[&id].members;
            let roster = self.rosters.get_mut(&id).expect("each node has one");
            for action in roster.on(now, members, event) {
                if let Action::Seeds(seeds) = &action {
                    self.net.act(id, MemberEvent::Seeds(seeds.clone()));
                }
                events.extend(self.platform.call(&mut self.net.rng, action));
            }
        }
    }

    fn converge(&mut self, seed: u64, limit: Duration) {
        let end = self.net.now + limit;
        while self.net.now < end {
            if self.net.disagreement().is_none() {
                return;
            }
            self.run(Duration::from_millis(500));
        }
        panic!("seed {seed}: {:?}", self.net.disagreement());
    }
}

#[test]
fn nodes_that_start_together_find_each_other() {
    for_seeds(40, |seed| {
        let mut fleet = Fleet::new(seed);
        fleet.platform.lost_answers = 0.2;
        for port in 1..=7 {
            fleet.start(port);
        }
        fleet.converge(seed, Duration::from_secs(60));
    });
}

#[test]
fn nodes_that_start_in_an_outage_find_each_other_after_it() {
    for_seeds(20, |seed| {
        let mut fleet = Fleet::new(seed);
        fleet.platform.is_down = true;
        for port in 1..=5 {
            fleet.start(port);
        }
        fleet.run(Duration::from_secs(10));
        fleet.platform.is_down = false;
        fleet.converge(seed, Duration::from_secs(60));
    });
}

#[test]
fn a_fleet_whose_whole_roster_is_dead_starts_anew() {
    let mut fleet = Fleet::new(3);
    for port in 1..=5 {
        fleet.start(port);
    }
    fleet.converge(3, Duration::from_secs(60));
    fleet.run(Duration::from_secs(30));
    for id in fleet.net.ids() {
        fleet.net.crash(id);
    }
    for port in 11..=15 {
        fleet.start(port);
    }
    fleet.converge(3, Duration::from_secs(120));
}

#[test]
fn groups_that_never_met_meet_by_the_rosters() {
    for_seeds(10, |seed| {
        let mut fleet = Fleet::new(seed);
        for port in 1..=8 {
            let id = fleet.start(port);
            let side = u32::from(port > 4);
            fleet.net.processes.get_mut(&id).expect("it runs").side = side;
        }
        fleet.net.cut = true;
        fleet.run(Duration::from_secs(60));
        fleet.net.cut = false;
        fleet.converge(seed, Duration::from_secs(90));
    });
}

#[test]
fn stale_entries_are_pruned() {
    let mut fleet = Fleet::new(8);
    for port in 1..=9 {
        fleet.start(port);
    }
    fleet.converge(8, Duration::from_secs(60));
    fleet.run(Duration::from_secs(30));
    let dead = fleet.net.ids()[0];
    let domain = fleet.net.processes[&dead].members.me().domain;
    let lists = |fleet: &Fleet| {
        let value = fleet.platform.roster(domain);
        value.entries.iter().any(|entry| entry.id == dead)
    };
    assert!(lists(&fleet));
    fleet.net.crash(dead);
    fleet.run(Duration::from_secs(120));
    assert!(!lists(&fleet));
}

#[test]
fn a_draining_node_is_off_the_roster_after_the_next_write() {
    let mut fleet = Fleet::new(8);
    for port in 1..=9 {
        fleet.start(port);
    }
    fleet.converge(8, Duration::from_secs(60));
    let id = fleet.net.ids()[0];
    let domain = fleet.net.processes[&id].members.me().domain;
    fleet.net.act(id, MemberEvent::SetPhase(Phase::Draining));
    fleet.run(Duration::from_secs(25));
    let value = fleet.platform.roster(domain);
    assert!(value.entries.iter().all(|entry| entry.id != id));
}

#[test]
fn calls_follow_the_formula_and_do_not_grow_with_the_fleet() {
    const SECONDS: u32 = 300;
    for nodes in [6, 12, 36] {
        let mut fleet = Fleet::new(2);
        for port in 1..=nodes {
            fleet.start(port);
        }
        fleet.converge(2, Duration::from_secs(60));
        fleet.run(Duration::from_secs(20));
        (fleet.platform.reads, fleet.platform.writes) = (0, 0);
        fleet.run(Duration::from_secs(u64::from(SECONDS)));
        let rates = fleet.opts.rates(3, 0.0);
        let within = |counted: u32, rate: f64| {
            let ratio = f64::from(counted) / f64::from(SECONDS) / rate;
            (0.9..=1.1).contains(&ratio)
        };
        let Platform { reads, writes, .. } = fleet.platform;
        assert!(
            within(writes, rates.writes),
            "{nodes} nodes: {writes} writes"
        );
        assert!(within(reads, rates.reads), "{nodes} nodes: {reads} reads");
        assert_eq!(fleet.platform.stale_writes, 0);
    }
}

#[test]
fn a_value_survives_the_platform_and_others_are_refused() {
    let value = Value {
        round: 7,
        entries: vec![Entry {
            id: NodeId(9),
            addr: addr(4),
            round: 6,
        }],
    };
    assert_eq!(Value::from_bytes(&value.to_bytes()), Ok(value));
    assert!(Value::from_bytes(b"not a roster").is_err());
}
