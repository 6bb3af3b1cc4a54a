//! What goes wrong, and when.

use std::time::Duration;

use cassiashunt_standin::site::{Behaviour, Fault as StoreFault};

use crate::{foreign::Writing, proxy::Fault as LinkFault};

/// Which faults a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Planned stops and changes of the table only: nothing may be cut off.
    Planned,
    /// The same, and servers that fail or end under requests.
    Servers,
    /// All kinds.
    All,
    /// Planned stops of several manners, also together, of nodes with slow servers.
    Stops,
    /// The same with grace times of 2, 6 or 20 s, and clients that come to a stopping node until its
    /// process is gone, also on new connections.
    Cling,
    /// Planned stops of one node at a time while all load pauses, except that clients which hold its
    /// connections begin to send late in the grace time.
    Calm,
    /// Another writer beside stops, kills, pauses and failures of the store, and clients that state the
    /// fields that the system sets itself.
    Foreign,
}

/// The grace time of most mixes.
pub const GRACE: Duration = Duration::from_secs(6);
/// The grace times of [`Mix::Cling`] and [`Mix::Calm`].
const GRACES: [Duration; 3] = [Duration::from_secs(2), GRACE, Duration::from_secs(20)];

impl Mix {
    /// The mix that a seed has where none is asked for.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::Planned,
            1 => Self::Servers,
            _ => Self::All,
        }
    }

    /// The mix with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "planned" => Some(Self::Planned),
            "servers" => Some(Self::Servers),
            "all" => Some(Self::All),
            "stops" => Some(Self::Stops),
            "cling" => Some(Self::Cling),
            "calm" => Some(Self::Calm),
            "foreign" => Some(Self::Foreign),
            _ => None,
        }
    }

    /// How long nodes may take to stop with this seed.
    #[must_use]
    pub fn grace(self, seed: u64) -> Duration {
        match self {
            Self::Cling | Self::Calm => {
                GRACES[fastrand::Rng::with_seed(seed).usize(..GRACES.len())]
            }
            Self::Planned | Self::Servers | Self::All | Self::Stops | Self::Foreign => GRACE,
        }
    }

    /// Whether all its faults are planned, so that nothing may be cut off.
    #[must_use]
    pub fn is_planned(self) -> bool {
        self == Self::Planned || self.has_slow_servers()
    }

    /// Whether servers may take longer than is left of a stop.
    #[must_use]
    pub fn has_slow_servers(self) -> bool {
        matches!(self, Self::Stops | Self::Cling | Self::Calm)
    }

    fn kinds(self) -> &'static [Kind] {
        const KINDS: [Kind; 12] = [
            Kind::Stop,
            Kind::Keys,
            Kind::Table,
            Kind::Behaviour,
            Kind::Crash,
            Kind::Kill,
            Kind::Pause,
            Kind::Store,
            Kind::StoreOfOne,
            Kind::ServerLink,
            Kind::ClientLink,
            Kind::Compact,
        ];
        match self {
            Self::Planned => &KINDS[..3],
            Self::Servers => &KINDS[..5],
            Self::All => &KINDS,
            Self::Stops | Self::Cling => &[Kind::StopIn, Kind::SlowServer, Kind::SlowServer],
            Self::Calm => &[Kind::CalmStop],
            Self::Foreign => &[
                Kind::Stop,
                Kind::Kill,
                Kind::Pause,
                Kind::Store,
                Kind::StoreOfOne,
                Kind::Crash,
                Kind::Writer,
                Kind::Writer,
                Kind::Writer,
                Kind::Writer,
                Kind::Writer,
                Kind::Writer,
            ],
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Stop,
    Keys,
    Table,
    Behaviour,
    Crash,
    Kill,
    Pause,
    Store,
    StoreOfOne,
    ServerLink,
    ClientLink,
    Compact,
    StopIn,
    CalmStop,
    SlowServer,
    Writer,
}

/// Clients that hold connections of a node that is stopped in calm.
pub const HOLDERS: usize = 8;
/// When these begin to send, in hundredths of the grace time.
const HELD_PERCENT: std::ops::Range<u32> = 5..95;

/// How a node is asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// By one SIGTERM.
    Plain,
    /// By SIGTERM right after SIGHUP.
    AfterReload,
    /// By SIGTERM, and once more after so long.
    Twice(Duration),
    /// By SIGTERM; after so long it stands still for so long.
    Paused(Duration, Duration),
    /// By SIGTERM, while the store doesn't answer it.
    WithoutStore,
}

/// One fault; nodes and servers by number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A node is asked to stop, and starts again after the fault's time.
    Stop(usize),
    /// The same, in a manner of its own.
    StopIn(usize, Manner),
    /// A node is asked to stop in calm, while servers work so long on each request. The clients that
    /// hold its connections begin to send at these hundredths of the grace time.
    CalmStop(usize, Duration, [u32; HOLDERS]),
    /// A node is killed, and starts again after the fault's time.
    Kill(usize),
    /// A node stands still.
    Pause(usize),
    /// A key is withdrawn, and another given.
    Keys,
    /// A table without other changes is put in force.
    Table,
    /// A server does this with all requests.
    Serve(usize, Behaviour),
    /// Somebody sends requests under which servers end.
    Crash,
    /// The store fails for all.
    Store(StoreFault),
    /// The store fails for one node.
    StoreOfOne(usize, StoreFault),
    /// The connections of a node to its server.
    ServerLink(usize, LinkFault),
    /// The connections of clients to a node.
    ClientLink(usize, LinkFault),
    /// The store forgets its history.
    Compact,
    /// Another writer writes about a node what it draws from a seed.
    Writer(usize, Writing, u64),
}

/// A fault at its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// From the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// How long a fault lasts, in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 200..2_500;

/// How long a slow server works on a request, in milliseconds.
const SLOW_MS: std::ops::Range<u64> = 50..4_500;

/// The faults of a seed over a time, for so many nodes.
#[must_use]
pub fn schedule(seed: u64, mix: Mix, nodes: usize, span: Duration) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = Duration::from_millis(rng.u64(PAUSE_MS));
    let mut planned = Vec::new();
    while at < span {
        let kinds = mix.kinds();
        let kind = kinds[rng.usize(..kinds.len())];
        planned.push(Planned {
            at,
            span: Duration::from_millis(rng.u64(SPAN_MS)),
            fault: draw(kind, nodes, &mut rng),
        });
        at += Duration::from_millis(rng.u64(PAUSE_MS));
    }
    planned
}

fn draw(kind: Kind, nodes: usize, rng: &mut fastrand::Rng) -> Fault {
    let node = rng.usize(..nodes);
    match kind {
        Kind::Stop => Fault::Stop(node),
        Kind::Kill => Fault::Kill(node),
        Kind::Pause => Fault::Pause(node),
        Kind::Keys => Fault::Keys,
        Kind::Table => Fault::Table,
        Kind::Behaviour => Fault::Serve(node, behaviour(rng)),
        Kind::Crash => Fault::Crash,
        Kind::Store => Fault::Store(store_fault(rng)),
        Kind::StoreOfOne => Fault::StoreOfOne(node, store_fault(rng)),
        Kind::ServerLink => Fault::ServerLink(node, link_fault(rng)),
        Kind::ClientLink => Fault::ClientLink(node, link_fault(rng)),
        Kind::Compact => Fault::Compact,
        Kind::StopIn => Fault::StopIn(node, manner(rng)),
        Kind::CalmStop => Fault::CalmStop(
            node,
            Duration::from_millis(rng.u64(SLOW_MS)),
            std::array::from_fn(|_| rng.u32(HELD_PERCENT)),
        ),
        Kind::Writer => {
            let writing = Writing::ALL[rng.usize(..Writing::ALL.len())];
            Fault::Writer(node, writing, rng.u64(..))
        }
        Kind::SlowServer => {
            let span = Duration::from_millis(rng.u64(SLOW_MS));
            Fault::Serve(node, Behaviour::Slow(span))
        }
    }
}

fn manner(rng: &mut fastrand::Rng) -> Manner {
    let mut drawn = |ms| Duration::from_millis(rng.u64(ms));
    let all = [
        Manner::Plain,
        Manner::AfterReload,
        Manner::Twice(drawn(0..3_000)),
        Manner::Paused(drawn(0..2_500), drawn(50..800)),
        Manner::WithoutStore,
    ];
    all[rng.usize(..all.len())]
}

fn behaviour(rng: &mut fastrand::Rng) -> Behaviour {
    let late = Duration::from_millis(rng.u64(5..300));
    let all = [
        Behaviour::Shed,
        Behaviour::LoseAnswer,
        Behaviour::Truncate,
        Behaviour::Unsigned,
        Behaviour::StaleFirst,
        Behaviour::Extra,
        Behaviour::Slow(late),
        Behaviour::Unframed,
        Behaviour::UnframedReset,
        Behaviour::LateCopy(late),
    ];
    all[rng.usize(..all.len())].clone()
}

fn store_fault(rng: &mut fastrand::Rng) -> StoreFault {
    let all = [
        StoreFault::Silent,
        StoreFault::Busy,
        StoreFault::LoseAnswers,
        StoreFault::Slow(Duration::from_millis(rng.u64(50..600))),
    ];
    all[rng.usize(..all.len())]
}

fn link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    let all = [
        LinkFault::Delay(Duration::from_millis(rng.u64(5..200))),
        LinkFault::Silent,
        LinkFault::OneWay,
        LinkFault::Reset,
    ];
    all[rng.usize(..all.len())]
}
