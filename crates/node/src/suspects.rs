//! Requests suspected of crashing backend servers: this node's strikes, permits and suspects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
};

use cassiashunt_suspect::{
    Crash, Decision, Fingerprint, Holder, Permits, Suspects as Strikes,
    holder::Action,
    message::{AskPermit, PermitAnswer, ReleasePermit, StrikeRecord, StrikeUpdate},
};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Kind;
use prost::{Message, Oneof};

use crate::{duty::Net, shared::Shared};

/// Peers that each round of news goes to.
const FANOUT: usize = 3;
/// Requests lost with a node that are remembered.
const MAX_LOST: usize = 1_024;

/// A message about suspected requests.
#[derive(Clone, PartialEq, Message)]
struct SuspectMessage {
    #[prost(oneof = "SuspectBody", tags = "1, 2, 3, 4, 5")]
    body: Option<SuspectBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum SuspectBody {
    #[prost(message, tag = "1")]
    News(StrikeUpdate),
    #[prost(message, tag = "2")]
    Ask(AskPermit),
    #[prost(message, tag = "3")]
    Answer(PermitAnswer),
    #[prost(message, tag = "4")]
    Release(ReleasePermit),
    /// The release of this number has come.
    #[prost(uint64, tag = "5")]
    Acknowledged(u64),
}

/// This node's part in containing requests that crash servers.
pub(crate) struct Suspects {
    me: NodeId,
    state: Mutex<State>,
    net: OnceLock<Net>,
}

struct State {
    strikes: Strikes,
    permits: Permits,
    holder: Holder,
    /// Deaths of the server beside this node.
    deaths: u32,
    live: Vec<NodeId>,
    /// Requests whose last attempt was lost with a node, and that were not served since.
    lost: HashMap<u64, NodeId>,
}

impl Suspects {
    pub(crate) fn new(now: Time, me: NodeId) -> Self {
        let state = State {
            strikes: Strikes::new(Default::default()),
            permits: Permits::new(now, me, Default::default()),
            holder: Holder::new(me, Default::default()),
            deaths: 0,
            live: Vec::new(),
            lost: HashMap::new(),
        };
        Self {
            me,
            state: Mutex::new(state),
            net: OnceLock::new(),
        }
    }

    pub(crate) fn set_net(&self, net: Net) {
        if self.net.set(net).is_err() {
            log::error!(event = "suspects-net-set-twice"; "");
        }
    }

    /// Whether a request with this fingerprint may run.
    pub(crate) fn check(&self, now: Time, fingerprint: u64) -> Decision {
        self.lock().strikes.check(now, Fingerprint(fingerprint))
    }

    /// Asks for the leave to run a request alone; the owner is told of the outcome.
    pub(crate) fn begin(&self, shared: &Shared, request: RequestId, fingerprint: u64) {
        let fingerprint = Fingerprint(fingerprint);
        let actions = {
            let mut state = self.lock();
            let coordinator = state.permits.coordinator(fingerprint);
            let now = shared.clock.now();
            state.holder.begin(now, request, fingerprint, coordinator)
        };
        self.act(shared, actions);
    }

    /// A request that had leave to run alone has ended, or will not run.
    pub(crate) fn ended(&self, shared: &Shared, request: RequestId, strike: Option<StrikeRecord>) {
        let now = shared.clock.now();
        let actions = self.lock().holder.done(now, request, strike);
        self.act(shared, actions);
    }

    /// The server beside this node died with these requests in flight.
    pub(crate) fn on_server_died(&self, now: Time, in_flight: &[u64]) {
        let in_flight: Vec<_> = in_flight.iter().copied().map(Fingerprint).collect();
        let mut state = self.lock();
        state.deaths += 1;
        let death = state.last_death(self.me);
        state.strikes.on_server_crash(now, death, &in_flight);
    }

    /// The strike of the server's last death against a request.
    pub(crate) fn last_strike(&self, now: Time, fingerprint: u64) -> Option<StrikeRecord> {
        let state = self.lock();
        let death = state.last_death(self.me);
        state.strikes.strike(now, Fingerprint(fingerprint), death)
    }

    /// A request of this node was in flight at a node that was lost.
    ///
    /// Nodes are lost for many reasons, and equal requests of one workspace share a fingerprint:
    /// only a second node in a row is held against the request.
    pub(crate) fn on_node_lost(&self, now: Time, node: NodeId, fingerprint: u64) {
        let mut state = self.lock();
        let before = state.lost.get(&fingerprint).copied();
        if before.is_some_and(|before| before != node) {
            let fingerprint = Fingerprint(fingerprint);
            state.strikes.on_node_lost(now, node, &[fingerprint]);
        }
        if state.lost.len() < MAX_LOST {
            state.lost.insert(fingerprint, node);
        }
    }

    /// A request with this fingerprint was served.
    pub(crate) fn on_served(&self, fingerprint: u64) {
        let mut state = self.lock();
        if !state.lost.is_empty() {
            state.lost.remove(&fingerprint);
        }
    }

    /// A run that began at `began` finished.
    pub(crate) fn on_finished(&self, fingerprint: u64, began: Time) {
        self.lock()
            .strikes
            .on_finished(Fingerprint(fingerprint), began);
    }

    /// Takes in an encoded strike that came with a refusal.
    pub(crate) fn merge(&self, now: Time, strike: &[u8]) {
        if let Ok(strike) = StrikeRecord::decode(strike) {
            self.lock().strikes.merge_record(now, &strike);
        }
    }

    /// Takes in the live nodes, this one included.
    pub(crate) fn on_members(&self, now: Time, mut live: Vec<NodeId>) {
        live.sort_unstable();
        let mut state = self.lock();
        if state.live != live {
            state.permits.on_members(now, &live);
            state.live = live;
        }
    }

    /// Spreads news and gives up questions without an answer.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.clock.now();
        let (news, actions, peers) = {
            let mut guard = self.lock();
            let state = &mut *guard;
            state.permits.tick(now, &mut state.strikes);
            let actions = state.holder.tick(now);
            let others = state.live.iter().copied().filter(|node| *node != self.me);
            let peers = fastrand::choose_multiple(others, FANOUT);
            (state.strikes.next_update(now), actions, peers)
        };
        self.act(shared, actions);
        if !news.strikes.is_empty() {
            for peer in peers {
                self.send(shared, peer, SuspectBody::News(news.clone()));
            }
        }
    }

    /// Takes in a message of another node.
    pub(crate) fn receive(&self, shared: &Shared, from: SocketAddr, payload: &[u8]) {
        let Ok(message) = SuspectMessage::decode(payload) else {
            return;
        };
        let now = shared.clock.now();
        match message.body {
            Some(SuspectBody::News(news)) => self.lock().strikes.merge(now, &news),
            Some(SuspectBody::Ask(ask)) => {
                let answer = self.answer(now, &ask);
                self.send_to(from, SuspectBody::Answer(answer));
            }
            Some(SuspectBody::Answer(answer)) => {
                let actions = self.lock().holder.on_answer(now, &answer);
                self.act(shared, actions);
            }
            Some(SuspectBody::Release(release)) => {
                self.take_back(now, &release);
                self.send_to(from, SuspectBody::Acknowledged(release.number));
            }
            Some(SuspectBody::Acknowledged(number)) => self.lock().holder.on_acknowledged(number),
            None => {}
        }
    }

    fn answer(&self, now: Time, ask: &AskPermit) -> PermitAnswer {
        let mut guard = self.lock();
        let State {
            strikes, permits, ..
        } = &mut *guard;
        let given = permits.ask(now, ask, strikes);
        let refusal = given.err().and_then(|refusal| refusal.retry_after);
        let retry_after = refusal.unwrap_or_default().as_millis();
        PermitAnswer {
            number: ask.number,
            is_given: given.is_ok(),
            retry_after_ms: u32::try_from(retry_after).unwrap_or(u32::MAX),
        }
    }

    fn take_back(&self, now: Time, release: &ReleasePermit) {
        let mut guard = self.lock();
        let State {
            strikes, permits, ..
        } = &mut *guard;
        permits.release(now, release, strikes);
    }

    fn act(&self, shared: &Shared, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ask(node, ask) => self.send(shared, node, SuspectBody::Ask(ask)),
                Action::Release(node, release) => {
                    self.send(shared, node, SuspectBody::Release(release));
                }
                Action::Run(request, until) => {
                    if let Some(owner) = shared.owner.get() {
                        owner.run_alone(request, until);
                    }
                }
                Action::Refuse(request, refusal) => {
                    if let Some(owner) = shared.owner.get() {
                        owner.refuse_parked(request, refusal);
                    }
                }
            }
        }
    }

    fn send(&self, shared: &Shared, to: NodeId, body: SuspectBody) {
        let addr = match to == self.me {
            true => Some(shared.control.addr()),
            false => shared.control.addr_of(to),
        };
        if let Some(addr) = addr {
            self.send_to(addr, body);
        }
    }

    fn send_to(&self, to: SocketAddr, body: SuspectBody) {
        let message = SuspectMessage { body: Some(body) };
        if let Some(net) = self.net.get() {
            net.send(to, None, Kind::Suspect, message.encode_to_vec());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn last_death(&self, me: NodeId) -> Crash {
        Crash {
            owner: me,
            number: self.deaths,
        }
    }
}
