//! Rosters in a fake of the platform.

mod common;

use std::collections::BTreeMap;

use cassiashunt_member::{
    Event as MemberEvent, Phase,
    roster::{Action, Entry, Event, Options, RosterMaintainer, Value},
};
use cassiashunt_types::prelude::*;
use common::{Net, addr, fast_options, for_seeds};

const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];

fn domains() -> Vec<FailureDomain> {
    DOMAINS
        .map(|name| name.parse().expect("an invalid name"))
        .into()
}

/// A fake store of compare-and-swap values, with lost answers and outages.
struct Platform {
    values: BTreeMap<FailureDomain, (Revision, Vec<u8>)>,
    is_down: bool,
    /// The probability that an answer is lost after the call took effect.
    answer_loss: f64,
    reads: u32,
    writes: u32,
    stale_writes: u32,
}

impl Platform {
    fn new() -> Self {
        Self {
            values: BTreeMap::new(),
            is_down: false,
            answer_loss: 0.0,
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
        if self.is_down || rng.f64() < self.answer_loss {
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
            Value::from_bytes(buf).expect("the stored value is not a roster")
        })
    }
}

/// A fleet whose nodes find each other by rosters only.
struct Fleet {
    net: Net,
    platform: Platform,
    maintainers: BTreeMap<NodeId, RosterMaintainer>,
    opts: Options,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            net: Net::new(seed, fast_options()),
            platform: Platform::new(),
            maintainers: BTreeMap::new(),
            opts: Options::default(),
        }
    }

    fn start(&mut self, port: u16) -> NodeId {
        let id = self.net.start(addr(port), &[]);
        let own = self.net.processes[&id].members.me().domain;
        let rng = fastrand::Rng::with_seed(id.0);
        self.maintainers
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
            let maintainer = self
                .maintainers
                .get_mut(&id)
                .expect("a node has no roster maintainer");
            for action in maintainer.on(now, members, event) {
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
        fleet.platform.answer_loss = 0.2;
        for port in 1..=7 {
            fleet.start(port);
        }
        fleet.converge(seed, Duration::from_secs(60));
    });
}

#[test]
fn nodes_that_start_during_a_platform_outage_find_each_other_after_it() {
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
fn a_fleet_joins_when_every_node_in_its_rosters_has_crashed() {
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
fn groups_partitioned_since_their_start_find_each_other_by_the_rosters() {
    for_seeds(10, |seed| {
        let mut fleet = Fleet::new(seed);
        for port in 1..=8 {
            let id = fleet.start(port);
            let side = u32::from(port > 4);
            fleet
                .net
                .processes
                .get_mut(&id)
                .expect("the process does not run")
                .side = side;
        }
        fleet.net.is_partitioned = true;
        fleet.run(Duration::from_secs(60));
        fleet.net.is_partitioned = false;
        fleet.converge(seed, Duration::from_secs(90));
    });
}

#[test]
fn stale_entries_are_removed() {
    let mut fleet = Fleet::new(8);
    for port in 1..=9 {
        fleet.start(port);
    }
    fleet.converge(8, Duration::from_secs(60));
    fleet.run(Duration::from_secs(30));
    let crashed = fleet.net.ids()[0];
    let domain = fleet.net.processes[&crashed].members.me().domain;
    let is_listed = |fleet: &Fleet| {
        let value = fleet.platform.roster(domain);
        value.entries.iter().any(|entry| entry.id == crashed)
    };
    assert!(is_listed(&fleet));
    fleet.net.crash(crashed);
    fleet.run(Duration::from_secs(120));
    assert!(!is_listed(&fleet));
}

#[test]
fn a_draining_node_is_removed_from_the_roster_at_the_next_write() {
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
fn platform_calls_match_the_formula_for_any_number_of_nodes() {
    const MEASURED_SECONDS: u32 = 300;
    for nodes in [6, 12, 36] {
        let mut fleet = Fleet::new(2);
        for port in 1..=nodes {
            fleet.start(port);
        }
        fleet.converge(2, Duration::from_secs(60));
        fleet.run(Duration::from_secs(20));
        (fleet.platform.reads, fleet.platform.writes) = (0, 0);
        fleet.run(Duration::from_secs(u64::from(MEASURED_SECONDS)));
        let rates = fleet.opts.rates(3, 0.0);
        let within = |counted: u32, rate: f64| {
            let ratio = f64::from(counted) / f64::from(MEASURED_SECONDS) / rate;
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
fn a_value_round_trips_and_invalid_bytes_are_rejected() {
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
