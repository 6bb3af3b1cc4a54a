//! Where an answer goes.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiashunt_ring::Ring;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Frame, Refused};

use crate::link::Queued;

/// How long an answer waits for room on its way back.
const PATIENCE: Duration = Duration::from_secs(5);

static NEXT: AtomicU64 = AtomicU64::new(1);

enum Out {
    Link {
        ring: Ring<Queued>,
        request: u64,
        /// Set where the outcome does not reach the ring.
        is_lost: Arc<AtomicBool>,
    },
    Local(Ring<Body>),
}

/// The way back to whoever asked.
pub(crate) struct Reply {
    id: RequestId,
    out: Out,
    is_cancelled: AtomicBool,
    /// Whether the last part of the answer was sent.
    is_ended: AtomicBool,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Nobody waits for the answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

impl Reply {
    /// Back over a connection; `is_lost` is set if the request ends without an outcome there.
    pub(crate) fn link(ring: Ring<Queued>, request: u64, is_lost: Arc<AtomicBool>) -> Self {
        Self::new(Out::Link {
            ring,
            request,
            is_lost,
        })
    }

    /// Back to a thread of this process.
    pub(crate) fn local(ring: Ring<Body>) -> Self {
        Self::new(Out::Local(ring))
    }

    fn new(out: Out) -> Self {
        let id = RequestId(NEXT.fetch_add(1, Ordering::Relaxed));
        Self {
            id,
            out,
            is_cancelled: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
        }
    }

    /// The request's number within this process.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    pub(crate) fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Release);
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Acquire)
    }

    /// Sends a part of the answer, waiting a while for room.
    pub(crate) fn send(&self, body: Body) -> Result<(), Gone> {
        let is_last = matches!(body, Body::End(_) | Body::Refused(_));
        let sent = match &self.out {
            Out::Link { ring, request, .. } => {
                let queued = Queued::now(Frame::new(*request, body));
                ring.push_within(queued, PATIENCE).is_ok()
            }
            Out::Local(ring) => ring.push_within(body, PATIENCE).is_ok(),
        };
        if !sent {
            return Err(Gone);
        }
        if is_last {
            self.is_ended.store(true, Ordering::Release);
        }
        Ok(())
    }

    /// Refuses the request; an asking side that has gone needs no refusal.
    pub(crate) fn refuse(&self, refusal: Refusal, signal: Option<u32>, unused_retries: u32) {
        let refused = Refused {
            signal,
            unused_retries,
            ..Refused::from(refusal)
        };
        let _ = self.send(Body::Refused(refused));
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let Out::Link { is_lost, .. } = &self.out
            && !self.is_ended.load(Ordering::Acquire)
            && !self.is_cancelled()
        {
            is_lost.store(true, Ordering::Release);
        }
    }
}
