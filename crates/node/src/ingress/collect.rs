//! Collects a whole answer before any of it goes to the caller.
//!
//! The caller thus gets a whole answer or a clean failure, and a slow caller holds up nobody.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use cassiashunt_ring::{PopError, Ring};
use cassiashunt_space::Space;
use cassiashunt_timer::Clock;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, End, Head};

use crate::{link::Call, owner::Reply};

/// Answers up to this length are collected in the heap.
const SHORT_ANSWER_BYTES: usize = 64 * 1024;
/// How often a waiting thread looks whether the answer is still wanted.
const LOOK: Duration = Duration::from_millis(50);

/// Bytes of answers that the node holds, within a bound.
#[derive(Debug)]
pub(crate) struct Held {
    bytes: AtomicUsize,
    most: usize,
}

impl Held {
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            most,
        })
    }

    /// Bytes held now.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }
}

/// One answer's part of what is held.
struct Part<'a> {
    held: &'a Held,
    bytes: usize,
}

impl Part<'_> {
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.held.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes <= self.held.most
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Where an answer comes from.
pub(super) enum Source {
    Link(Call),
    Local { ring: Ring<Body>, reply: Arc<Reply> },
}

impl Source {
    fn next(&self, patience: Duration) -> Result<Body, PopError> {
        match self {
            Self::Link(call) => call.next(patience),
            Self::Local { ring, .. } => ring.pop_within(patience),
        }
    }

    fn finish(&mut self) {
        if let Self::Link(call) = self {
            call.finish();
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Whole {
    pub head: Head,
    pub body: Bytes,
    pub end: End,
}

/// Why there is none.
#[derive(Debug, Clone)]
pub(super) struct Failure {
    pub refusal: Refusal,
    /// Retries that came back; `None` where they are lost.
    pub unused_retries: Option<u32>,
    /// The owner's signal, where it sent one.
    pub signal: Option<u32>,
    /// The encoded strike against the request, where the server died with it.
    pub strike: Vec<u8>,
    /// Whether the connection to the owner was lost.
    pub is_link_lost: bool,
}

impl Failure {
    /// A failure of which nothing more is known.
    pub(super) const fn lost(refusal: Refusal) -> Self {
        Self {
            refusal,
            unused_retries: None,
            signal: None,
            strike: Vec::new(),
            is_link_lost: false,
        }
    }

    /// Whether the owner takes no more work.
    pub(super) fn is_draining(&self) -> bool {
        self.refusal.reason == Reason::Draining
    }

    /// Whether the request ended with its connection, before its owner had it.
    pub(super) fn is_unread(&self) -> bool {
        self.is_link_lost && self.refusal.verdict == Verdict::NotRun
    }
}

/// When to stop waiting.
pub(super) struct Patience<'a> {
    pub clock: Clock,
    pub deadline: Time,
    /// Whether nobody wants the answer any more.
    pub is_unwanted: &'a dyn Fn() -> bool,
    pub held: &'a Held,
    /// The largest body, in bytes.
    pub most: usize,
}

/// The bytes of an answer so far.
#[derive(Debug)]
enum Collected {
    Short(Vec<u8>),
    Long(Space),
}

impl Default for Collected {
    fn default() -> Self {
        Self::Short(Vec::new())
    }
}

impl Collected {
    fn len(&self) -> usize {
        match self {
            Self::Short(bytes) => bytes.len(),
            Self::Long(space) => space.len(),
        }
    }

    /// Appends bytes; a long answer is resident only as far as it is filled, up to `most` bytes.
    fn extend(&mut self, bytes: &[u8], most: usize) -> io::Result<()> {
        match self {
            Self::Short(short) if short.len() + bytes.len() <= SHORT_ANSWER_BYTES => {
                short.extend_from_slice(bytes);
            }
            Self::Short(short) => {
                let mut space = Space::with_capacity(most)?;
                space.extend(short);
                space.extend(bytes);
                *self = Self::Long(space);
            }
            Self::Long(space) => space.extend(bytes),
        }
        Ok(())
    }

    fn into_bytes(self) -> Bytes {
        match self {
            Self::Short(bytes) => bytes.into(),
            Self::Long(space) => space.into_bytes(),
        }
    }
}

/// Collects the answer that comes out of `source`.
pub(super) fn whole(source: &mut Source, patience: &Patience<'_>) -> Result<Whole, Failure> {
    let mut head = None;
    let mut body = Collected::default();
    let mut part = Part {
        held: patience.held,
        bytes: 0,
    };
    loop {
        match next(source, patience)? {
            Body::Head(first) => head = Some(first),
            Body::Chunk(chunk) => {
                let fits = body.len() + chunk.data.len() <= patience.most;
                if !fits || !part.grow(chunk.data.len()) {
                    return Err(Failure::lost(Refusal::may_have_run(Reason::Full)));
                }
                body.extend(&chunk.data, patience.most)
                    .map_err(|_| Failure::lost(Refusal::may_have_run(Reason::Full)))?;
            }
            Body::End(end) => {
                source.finish();
                return assemble(head, body.into_bytes(), end);
            }
            Body::Refused(refused) => {
                source.finish();
                return Err(Failure {
                    refusal: Refusal::from(&refused),
                    unused_retries: Some(refused.unused_retries),
                    is_link_lost: refused.signal.is_none(),
                    signal: refused.signal,
                    strike: refused.strike,
                });
            }
            Body::Begin(_) | Body::Cancel(_) | Body::Fetch(_) | Body::GoAway(_) => {}
        }
    }
}

/// An answer is whole only when its parts add up.
fn assemble(head: Option<Head>, body: Bytes, end: End) -> Result<Whole, Failure> {
    match head {
        Some(head) if body.len() as u64 == end.body_len => Ok(Whole { head, body, end }),
        _ => Err(Failure::lost(Refusal::may_have_run(Reason::Lost))),
    }
}

fn next(source: &Source, patience: &Patience<'_>) -> Result<Body, Failure> {
    loop {
        let left = patience.deadline.since(patience.clock.now());
        if left.is_zero() {
            return Err(Failure::lost(Refusal::may_have_run(Reason::Deadline)));
        }
        match source.next(left.min(LOOK)) {
            Ok(body) => return Ok(body),
            Err(PopError::Closed) => {
                return Err(Failure {
                    is_link_lost: true,
                    ..Failure::lost(Refusal::may_have_run(Reason::Lost))
                });
            }
            Err(PopError::Timeout) if (patience.is_unwanted)() => {
                return Err(Failure::lost(Refusal::may_have_run(Reason::Cancelled)));
            }
            Err(PopError::Timeout) => {}
        }
    }
}
