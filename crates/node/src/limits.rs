//! The workspaces' rates and caps: this node's stock of tokens, and the shards that it is the
//! authority of.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError},
};

use cassiashunt_control::{Control, ShardKey, ShardKind};
use cassiashunt_limit::{
    Attempt, Authority, Decision, Holder, InitialTokens, Key, Limit, holder,
    msg::{AuthorityFrame, HandOver, HolderFrame},
};
use cassiashunt_table::{Lookup, RequestPolicy, Scope};
use cassiashunt_types::{Label, prelude::*};
use cassiashunt_wire::Kind;
use prost::{Message, Oneof};

use crate::{duty::Net, shared::Shared};

/// Shards of workspaces, each with an authority of its own.
pub(crate) const LIMIT_SHARDS: u64 = 8;

/// How long a request may wait for a grant.
const WAIT: Duration = Duration::from_millis(60);
/// How long a waiting request sleeps at most before it looks again.
const LOOK: Duration = Duration::from_millis(10);
/// Demand for this long is drawn ahead, so that few requests wait for a grant.
const DRAWN_AHEAD: Duration = Duration::from_millis(400);
/// Minutes end so long after an epoch began, and each minute after.
const MINUTE: Duration = Duration::from_secs(60);

/// A message between a holder and an authority.
#[derive(Clone, PartialEq, Message)]
struct LimitMessage {
    #[prost(uint64, tag = "1")]
    shard: u64,
    #[prost(oneof = "LimitBody", tags = "2, 3, 4")]
    body: Option<LimitBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum LimitBody {
    #[prost(message, tag = "2")]
    Holder(HolderFrame),
    #[prost(message, tag = "3")]
    Authority(AuthorityFrame),
    #[prost(message, tag = "4")]
    HandOver(HandOver),
}

/// This node's side of every shard.
pub(crate) struct Limits {
    shards: Vec<Shard>,
    net: OnceLock<Net>,
}

struct Shard {
    state: Mutex<State>,
    answered: Condvar,
}

struct State {
    holder: Holder,
    authority: Option<Authority>,
    keys: BTreeSet<Key>,
    /// The table that was in force when the authority's epoch began.
    at_start: Arc<Lookup>,
    /// The revision by which the authority's limits were set.
    revision: Revision,
    primary: Option<NodeId>,
    epoch: Epoch,
    /// What the authority that stopped handed over to this node.
    handed: Option<HandOver>,
}

impl Limits {
    pub(crate) fn new(me: NodeId) -> Self {
        let shard = |_| {
            let state = State {
                holder: Holder::new(me, holder_options()),
                authority: None,
                keys: BTreeSet::new(),
                at_start: Arc::default(),
                revision: Revision(0),
                primary: None,
                epoch: Epoch(0),
                handed: None,
            };
            Shard {
                state: Mutex::new(state),
                answered: Condvar::new(),
            }
        };
        Self {
            shards: (0..LIMIT_SHARDS).map(shard).collect(),
            net: OnceLock::new(),
        }
    }

    pub(crate) fn set_net(&self, net: Net) {
        if self.net.set(net).is_err() {
            log::error!(event = "limits-net-set-twice"; "");
        }
    }

    /// Takes what one request needs, waiting a few milliseconds for a grant where it must.
    ///
    /// # Errors
    ///
    /// Not run, with the time after which a token is to be expected.
    pub(crate) fn take(
        &self,
        shared: &Shared,
        workspace: Option<Workspace>,
        cell: &RequestPolicy,
        route: Route,
        class: Class,
        deadline: Time,
    ) -> Result<(), Refusal> {
        let Some(workspace) = workspace else {
            return Ok(());
        };
        if cell.minute.is_some_and(|minute| minute.limit == 0) {
            return Err(Refusal::not_run(Reason::NotAllowed));
        }
        let keys = keys(workspace, cell, route, class);
        if keys.is_empty() {
            return Ok(());
        }
        let id = shard_of(workspace);
        let shard = &self.shards[id];
        let until = deadline.min(shared.clock.now() + WAIT);
        let mut attempt = Attempt::First;
        let mut state = shard.lock();
        loop {
            let now = shared.clock.now();
            match state.holder.try_take(now, &keys, 1, attempt) {
                Decision::Taken => return Ok(()),
                Decision::Refused(refusal) => return Err(refusal),
                Decision::Wait => {}
            }
            self.flush(shared, id, &mut state);
            attempt = Attempt::Retry;
            if shared.clock.now() >= until {
                attempt = Attempt::Last;
                continue;
            }
            if state.holder.try_take(shared.clock.now(), &keys, 1, attempt) == Decision::Taken {
                return Ok(());
            }
            let waited = shard.answered.wait_timeout(state, LOOK);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Sends what the holders have to say.
    pub(crate) fn poll(&self, shared: &Shared) {
        for (id, shard) in self.shards.iter().enumerate() {
            let mut state = shard.lock();
            self.flush(shared, id, &mut state);
        }
    }

    /// Puts the holders of the shards by a control value in force.
    pub(crate) fn apply_control(&self, control: &Control) {
        for (id, shard) in self.shards.iter().enumerate() {
            let key = ShardKey {
                kind: ShardKind::Limit,
                id: ShardId(id as u64),
            };
            let Some(held) = control.shard(key) else {
                continue;
            };
            let mut state = shard.lock();
            state.primary = Some(held.primary);
            state.epoch = held.epoch;
            state.holder.follow_epoch(held.epoch);
            if state
                .authority
                .as_ref()
                .is_some_and(|authority| authority.epoch() != held.epoch)
            {
                state.authority = None;
            }
        }
    }

    /// Begins to act as a shard's authority.
    pub(crate) fn begin_epoch(&self, shared: &Shared, id: ShardId, epoch: Epoch) {
        let Some(shard) = self.shard(id) else {
            return;
        };
        let mut state = shard.lock();
        if state.epoch != epoch {
            return;
        }
        log::info!(event = "limit-authority", shard = id.0, epoch = epoch.0; "");
        let minute_ends = shared.clock.now() + MINUTE;
        state.authority = Some(Authority::new(epoch, minute_ends, Default::default()));
        state.keys.clear();
        state.at_start = shared.config.lookup();
    }

    /// Shards whose authority is not known to act: it is not live, or has just begun to claim.
    pub(crate) fn open(&self, control: &crate::duty::Control) -> usize {
        let is_open = |shard: &&Shard| !shard.lock().is_served(control);
        self.shards.iter().filter(is_open).count()
    }

    /// Whether the shard's authority under this epoch handed over to this node.
    pub(crate) fn is_handed(&self, id: ShardId, epoch: Epoch) -> bool {
        let shard = self.shard(id);
        shard.is_some_and(|shard| {
            let state = shard.lock();
            state
                .handed
                .as_ref()
                .is_some_and(|handed| handed.epoch == epoch.0)
        })
    }

    /// Whether this node acts as the shard's authority.
    pub(crate) fn is_authority(&self, id: ShardId) -> bool {
        let shard = self.shard(id);
        shard.is_some_and(|shard| shard.lock().authority.is_some())
    }

    /// Stops being an authority and gives each shard to its successor, for a planned stop.
    pub(crate) fn hand_over(&self, shared: &Shared, successor: impl Fn(ShardId) -> Option<NodeId>) {
        for (id, shard) in self.shards.iter().enumerate() {
            let authority = shard.lock().authority.take();
            let addr = successor(ShardId(id as u64)).and_then(|node| shared.control.addr_of(node));
            if let Some((authority, addr)) = authority.zip(addr) {
                let handed = authority.hand_over(shared.clock.now());
                self.send(addr, id, LimitBody::HandOver(handed));
            }
        }
    }

    /// Hands every unspent token back, for a planned stop.
    pub(crate) fn drain(&self, shared: &Shared) {
        for (id, shard) in self.shards.iter().enumerate() {
            let mut state = shard.lock();
            if let Some(frame) = state.holder.drain() {
                self.deliver(shared, id, &mut state, frame);
            }
        }
    }

    /// Takes in a message of another node.
    pub(crate) fn receive(&self, shared: &Shared, from: SocketAddr, payload: &[u8]) {
        let Ok(message) = LimitMessage::decode(payload) else {
            return;
        };
        let id = usize::try_from(message.shard).unwrap_or(usize::MAX);
        let Some(shard) = self.shards.get(id) else {
            return;
        };
        let mut state = shard.lock();
        match message.body {
            Some(LimitBody::Holder(frame)) => {
                if let Some(answer) = state.serve(shared, &frame) {
                    self.send(from, id, LimitBody::Authority(answer));
                }
            }
            Some(LimitBody::Authority(frame)) => {
                state.holder.handle_frame(shared.clock.now(), &frame);
                shard.answered.notify_all();
            }
            Some(LimitBody::HandOver(handed)) => {
                log::info!(event = "limit-handed-over", shard = message.shard; "");
                state.handed = Some(handed);
            }
            None => {}
        }
    }

    fn shard(&self, id: ShardId) -> Option<&Shard> {
        let id = usize::try_from(id.0).ok()?;
        self.shards.get(id)
    }

    fn flush(&self, shared: &Shared, id: usize, state: &mut State) {
        if let Some(frame) = state.holder.poll(shared.clock.now()) {
            self.deliver(shared, id, state, frame);
        }
    }

    /// Brings a frame to the shard's authority, which may be this node.
    fn deliver(&self, shared: &Shared, id: usize, state: &mut State, frame: HolderFrame) {
        let Some(primary) = state.primary else { return };
        if primary == shared.id {
            if let Some(answer) = state.serve(shared, &frame) {
                state.holder.handle_frame(shared.clock.now(), &answer);
                self.shards[id].answered.notify_all();
            }
        } else if let Some(addr) = shared.control.addr_of(primary) {
            self.send(addr, id, LimitBody::Holder(frame));
        }
    }

    fn send(&self, to: SocketAddr, id: usize, body: LimitBody) {
        let message = LimitMessage {
            shard: id as u64,
            body: Some(body),
        };
        if let Some(net) = self.net.get() {
            net.send(to, None, Kind::Limit, message.encode_to_vec());
        }
    }
}

impl Shard {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether the authority acts, as far as this node can tell.
    fn is_served(&self, control: &crate::duty::Control) -> bool {
        match self.primary {
            Some(primary) if primary == control.id() => self.authority.is_some(),
            Some(primary) => control.addr_of(primary).is_some(),
            None => false,
        }
    }

    /// Answers a holder as the shard's authority, while the node is in touch.
    fn serve(&mut self, shared: &Shared, frame: &HolderFrame) -> Option<AuthorityFrame> {
        let now = shared.clock.now();
        self.authority.as_ref()?;
        shared.control.check(now).ok()?;
        let lookup = shared.config.lookup();
        if lookup.revision() != self.revision {
            self.revision = lookup.revision();
            let known: Vec<Key> = self.keys.iter().copied().collect();
            self.set_limits(now, &lookup, known);
        }
        let asked = frame
            .token_requests
            .iter()
            .filter_map(|ask| ask.key.as_ref()?.key());
        let fresh: Vec<Key> = asked.filter(|key| !self.keys.contains(key)).collect();
        self.set_limits(now, &lookup, fresh);
        self.authority.as_mut()?.handle_frame(now, frame)
    }

    /// What a key begins with: what was handed over, or nothing, unless no earlier authority can
    /// have given its tokens. That is so in a shard's first epoch, and where the key had no limit
    /// when the epoch began.
    fn start(&self, key: &Key) -> InitialTokens {
        let is_follower = |handed: &&HandOver| Epoch(handed.epoch).next() == self.epoch;
        if let Some(handed) = self.handed.as_ref().filter(is_follower) {
            return handed.initial_tokens(key);
        }
        if self.epoch == Epoch(1) || limit(&self.at_start, key).is_none() {
            return InitialTokens::Full;
        }
        InitialTokens::Empty
    }

    fn set_limits(&mut self, now: Time, lookup: &Lookup, keys: Vec<Key>) {
        for key in keys {
            match limit(lookup, &key) {
                Some(limit) => {
                    let start = self.start(&key);
                    let Some(authority) = &mut self.authority else {
                        return;
                    };
                    authority.set_limit(now, key, limit, start);
                    self.keys.insert(key);
                }
                None => {
                    let Some(authority) = &mut self.authority else {
                        return;
                    };
                    authority.retain(|known| *known != key);
                    self.keys.remove(&key);
                }
            }
        }
    }
}

fn holder_options() -> holder::Options {
    holder::Options {
        prefetch_span: DRAWN_AHEAD,
        ..Default::default()
    }
}

/// What a request of this cell counts against.
fn keys(workspace: Workspace, cell: &RequestPolicy, route: Route, class: Class) -> Vec<Key> {
    let mut keys = Vec::new();
    if cell.limit.is_some() {
        keys.push(Key::workspace(workspace));
    }
    if let Some(minute) = cell.minute {
        let Scope {
            route: by_route,
            class: by_class,
        } = minute.scope;
        let route = if by_route { route } else { any().into() };
        let class = if by_class { class } else { any().into() };
        keys.push(Key::cell(workspace, route, class));
    }
    keys
}

/// The limit that the table sets for a key.
fn limit(lookup: &Lookup, key: &Key) -> Option<Limit> {
    match key.cell {
        None => {
            let cell = lookup.resolve(key.workspace, any().into(), any().into());
            let limit = cell.limit?;
            let per_sec = u64::from(limit.rate.milli()) / 1_000;
            Some(Limit::Rate {
                per_sec,
                burst: limit.burst.into(),
            })
        }
        Some(cell) => {
            let minute = lookup
                .resolve(key.workspace, cell.route, cell.class)
                .minute?;
            Some(Limit::Minute {
                cap: minute.limit.into(),
            })
        }
    }
}

/// The name under which requests of every route or class are counted together.
fn any() -> Label {
    "*".parse().expect("an asterisk is a label")
}

/// The shard that a workspace's limits belong to (FNV-1a).
fn shard_of(workspace: Workspace) -> usize {
    let bytes = workspace.as_str().bytes();
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    usize::try_from(hash % LIMIT_SHARDS).expect("there are few shards")
}
