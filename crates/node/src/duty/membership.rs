//! Who is in the fleet.

use std::{net::SocketAddr, time::SystemTime};

use cassiashunt_admit::{Level, Priority, Signal};
use cassiashunt_member::{
    Action, Event as MemberEvent, Load, Members, Phase, Reach, Record, msg,
    roster::{
        Action as RosterAction, Event as RosterEvent, Options as RosterOptions, RosterMaintainer,
    },
};
use cassiashunt_ring::Ring;
use cassiashunt_route::Presence;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Kind;
use prost::Message as _;

use super::{
    control::Place,
    net::Net,
    platform::{Answer, Request},
};
use crate::{fleet::Announced, shared::Shared};

/// Ticks between two looks at the other nodes' loads.
const LOAD_TICKS: u32 = 3;

/// The node's view of the fleet, and its part in the rosters.
pub(super) struct Membership {
    pub members: Members,
    roster: RosterMaintainer,
    net: Net,
    calls: Ring<Request>,
    ticks: u32,
}

impl Membership {
    pub(super) fn new(shared: &Shared, net: Net, calls: Ring<Request>) -> Self {
        let place = &shared.settings.node;
        let server = shared.settings.server.as_ref();
        let me = Record {
            id: shared.id,
            addr: shared.control.addr(),
            domain: place.failure_domain,
            service: server.map(|server| server.service),
            slots: server.map_or(0, |server| server.slots),
            phase: Phase::Joining,
            start: wall_clock_millis(),
        };
        let opts = RosterOptions {
            write_period: Duration::from_millis(shared.settings.times.roster_write_ms),
            read_period: Duration::from_millis(shared.settings.times.roster_read_ms),
            ..Default::default()
        };
        let others = place.other_failure_domains.clone();
        Self {
            members: Members::new(Default::default(), me, fastrand::Rng::new()),
            roster: RosterMaintainer::new(opts, place.failure_domain, others, fastrand::Rng::new()),
            net,
            calls,
            ticks: 0,
        }
    }

    /// Where a live node is reached.
    pub(super) fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.members.get(node).map(|member| member.record.addr)
    }

    pub(super) fn tick(&mut self, shared: &Shared) {
        self.tell_load(shared);
        self.on(shared, MemberEvent::Tick);
        self.on_roster(shared, RosterEvent::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(LOAD_TICKS) {
            self.learn_loads(shared);
        }
    }

    /// Takes in an event of the membership.
    pub(super) fn on(&mut self, shared: &Shared, event: MemberEvent) {
        let now = shared.clock.now();
        for action in self.members.on(now, event) {
            self.act(shared, action);
        }
    }

    pub(super) fn receive(&mut self, shared: &Shared, from: SocketAddr, payload: &[u8]) {
        if let Ok(msg) = msg::Message::decode(payload) {
            self.on(shared, MemberEvent::Receive { from, msg });
        }
    }

    /// Takes in the platform's answer about a roster.
    pub(super) fn on_answer(&mut self, shared: &Shared, answer: &Answer) {
        let event = match answer {
            Answer::Roster {
                domain,
                found: Some((revision, value)),
            } => RosterEvent::Found {
                domain: *domain,
                revision: *revision,
                value: value.clone(),
            },
            Answer::Roster {
                domain,
                found: None,
            } => RosterEvent::Absent { domain: *domain },
            Answer::RosterConflict { domain } => RosterEvent::Conflict { domain: *domain },
            Answer::RosterFailed { domain } => RosterEvent::Failed { domain: *domain },
            Answer::Heads { .. } | Answer::ReadFailed | Answer::Control { .. } => return,
        };
        self.on_roster(shared, event);
    }

    /// Makes the node's own server known to its request path.
    pub(super) fn announce_self(&self, shared: &Shared) {
        announce(shared, self.members.me(), true);
    }

    fn on_roster(&mut self, shared: &Shared, event: RosterEvent) {
        let now = shared.clock.now();
        for action in self.roster.on(now, &self.members, event) {
            match action {
                RosterAction::ReadRoster { domain } => self.call(Request::ReadRoster { domain }),
                RosterAction::CasRoster {
                    domain,
                    expect,
                    value,
                } => {
                    self.call(Request::CasRoster {
                        domain,
                        expect,
                        value,
                    });
                }
                RosterAction::Seeds(seeds) => self.on(shared, MemberEvent::Seeds(seeds)),
            }
        }
    }

    fn call(&self, req: Request) {
        if self.calls.push(req).is_err() {
            log::warn!(event = "platform-ring-full"; "the call is made later");
        }
    }

    fn act(&self, shared: &Shared, action: Action) {
        match action {
            Action::Send { to, msg } => self.net.send(to, None, Kind::Member, msg.encode_to_vec()),
            Action::Joined(id) | Action::Changed(id) => {
                if let Some(member) = self.members.get(id) {
                    let Record { addr, domain, .. } = member.record;
                    shared.control.set_place(id, Place { addr, domain });
                    announce(shared, &member.record, member.reach != Reach::Unreachable);
                }
            }
            Action::Left(id, why) => {
                log::info!(event = "node-left", node:% = id, why:? = why; "");
                shared.control.forget(id);
                shared.fleet.remove(id);
                shared.links.forget(id);
                shared.shed().on_owner_left(id);
            }
            Action::Attested(_) | Action::Refuted => {}
            Action::Evicted => log::error!(event = "node-evicted", node:% = shared.id; ""),
        }
    }

    fn tell_load(&mut self, shared: &Shared) {
        let Some(owner) = shared.owner.get() else {
            return;
        };
        let signal = owner.signal();
        let load = Load {
            threshold: signal.level.threshold.0,
            load: signal.load,
        };
        self.on(shared, MemberEvent::SetLoad(load));
    }

    fn learn_loads(&self, shared: &Shared) {
        let now = shared.clock.now();
        for member in self.members.iter() {
            let (Some(service), Some(report)) = (member.record.service, member.load) else {
                continue;
            };
            let level = Level {
                threshold: Priority(report.load.threshold),
                share: 0,
            };
            let signal = Signal {
                level,
                load: report.load.load,
            };
            if let Some(pool) = shared.fleet.pool(service) {
                pool.on_load(now, member.record.id, signal.load);
            }
            shared
                .shed()
                .on_gossip(now, service, member.record.id, signal, report.age(now));
        }
    }
}

/// Makes a server known to the request path.
fn announce(shared: &Shared, record: &Record, is_reachable: bool) {
    let Some(service) = record.service else {
        return;
    };
    let presence = match record.phase {
        _ if !is_reachable => Presence::Unreachable,
        phase if phase.takes_work() => Presence::Serving,
        _ => Presence::Draining,
    };
    let server = Announced {
        node: record.id,
        addr: record.addr,
        domain: record.domain,
        service,
        slots: record.slots,
        presence,
        is_cold: record.phase == Phase::Warming,
    };
    shared.fleet.upsert(shared.clock.now(), &server);
}

/// Orders processes at one address; no promise depends on it.
fn wall_clock_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
