//! Requests that run at most once: this node's attempts at running them.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

use cassiashunt_control::{Control, ShardKind};
use cassiashunt_once::{Attempt, Client, Decision, Key, Outcome, Outgoing, Request, msg::Message};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Head, HeaderLine, Kind};
use prost::Message as _;

use crate::{duty::Net, shared::Shared};

/// How long a waiting request sleeps at most before it looks again.
const LOOK: Duration = Duration::from_millis(20);
/// How long a request waits for its home; it holds a slot of the server meanwhile.
const PATIENCE: Duration = Duration::from_millis(500);
/// The largest answer that is kept, in bytes; with its message it fits a datagram of 64 KiB.
const KEPT_BYTES: usize = 48 * 1024;

/// An answer as it is kept for repeats.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct KeptAnswer {
    #[prost(message, optional, tag = "1")]
    pub head: Option<Head>,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
}

/// What came of asking for the leave to run.
pub(crate) enum Leave {
    /// Hand the request to the server now.
    Run(Attempt),
    /// An earlier request with the same key got this answer.
    Answered(KeptAnswer),
}

/// A run's answer while it goes back to its asker.
#[derive(Debug, Default)]
pub(crate) struct Copy {
    head: Option<Head>,
    body: Vec<u8>,
    is_too_large: bool,
}

impl Copy {
    pub(crate) fn set_head(&mut self, status: u32, headers: &[HeaderLine]) {
        self.head = Some(Head {
            status,
            headers: headers.to_vec(),
        });
    }

    pub(crate) fn push(&mut self, data: &[u8]) {
        self.is_too_large |= self.body.len() + data.len() > KEPT_BYTES;
        if !self.is_too_large {
            self.body.extend_from_slice(data);
        }
    }

    /// The outcome of a run that was answered.
    pub(crate) fn outcome(self) -> Outcome {
        let kept = KeptAnswer {
            head: self.head,
            body: self.body.into(),
        };
        let bytes = kept.encode_to_vec();
        if self.is_too_large || bytes.len() > KEPT_BYTES {
            return Outcome::TooLarge;
        }
        Outcome::Answered(Arc::from(bytes))
    }
}

/// This node's attempts.
pub(crate) struct Once {
    client: Mutex<Client>,
    answered: Condvar,
    net: OnceLock<Net>,
}

impl Once {
    pub(crate) fn new(me: NodeId) -> Self {
        Self {
            client: Mutex::new(Client::new(me, Default::default())),
            answered: Condvar::new(),
            net: OnceLock::new(),
        }
    }

    pub(crate) fn set_net(&self, net: Net) {
        if self.net.set(net).is_err() {
            log::error!(event = "once-net-set-twice"; "");
        }
    }

    /// Asks for the leave to run a request and waits for it.
    ///
    /// # Errors
    ///
    /// The final refusal, where it is not to run.
    pub(crate) fn leave(
        &self,
        shared: &Shared,
        key: Key,
        fingerprint: u64,
        deadline: Time,
    ) -> Result<Leave, Refusal> {
        let req = Request {
            key,
            fingerprint,
            deadline,
        };
        let attempt = self.lock().begin(req)?;
        let until = shared.clock.now() + PATIENCE;
        loop {
            let now = shared.clock.now();
            if let Err(refusal) = shared.control.check(now) {
                self.lock().give_up(now, attempt, refusal.reason);
                return Err(refusal);
            }
            if now >= until {
                return Err(self.lock().give_up(now, attempt, Reason::NotInTouch));
            }
            let mut client = self.lock();
            let mut decision = client.hand_over(now, attempt);
            let sends = match decision {
                Decision::Wait => client.poll(now),
                _ => Vec::new(),
            };
            if !sends.is_empty() {
                drop(client);
                sends.into_iter().for_each(|send| self.send(shared, send));
                client = self.lock();
                decision = client.hand_over(shared.clock.now(), attempt);
            }
            match decision {
                Decision::Run => return Ok(Leave::Run(attempt)),
                Decision::Answered(bytes) => return kept(&bytes).map(Leave::Answered),
                Decision::Refused(refusal) => return Err(refusal),
                // A wake-up without news only looks again.
                Decision::Wait => drop(self.answered.wait_timeout(client, LOOK)),
            }
        }
    }

    /// A run that had leave has ended.
    pub(crate) fn finish(&self, shared: &Shared, attempt: Attempt, outcome: Outcome) {
        self.lock().finish(shared.clock.now(), attempt, outcome);
        self.flush(shared);
    }

    /// Sends what is to be sent.
    pub(crate) fn flush(&self, shared: &Shared) {
        let sends = self.lock().poll(shared.clock.now());
        for send in sends {
            self.send(shared, send);
        }
    }

    /// Takes in a home's answer.
    pub(crate) fn receive(&self, now: Time, msg: &Message) {
        self.lock().handle_message(now, msg);
        self.answered.notify_all();
    }

    /// Follows the homes that a control value names.
    pub(crate) fn apply_control(&self, control: &Control) {
        let mut client = self.lock();
        for shard in &control.shards {
            if shard.key.kind == ShardKind::Home {
                client.follow_home(shard.key.id, shard.epoch, shard.primary);
            }
        }
    }

    /// Brings a message to its node, which may be this one.
    pub(crate) fn send(&self, shared: &Shared, send: Outgoing) {
        let addr = match send.to == shared.id {
            true => Some(shared.control.addr()),
            false => shared.control.addr_of(send.to),
        };
        if let (Some(addr), Some(net)) = (addr, self.net.get()) {
            net.send(addr, None, Kind::Once, send.msg.encode_to_vec());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kept(bytes: &[u8]) -> Result<KeptAnswer, Refusal> {
    KeptAnswer::decode(bytes).map_err(|_| Refusal::may_have_run(Reason::Repeated))
}
