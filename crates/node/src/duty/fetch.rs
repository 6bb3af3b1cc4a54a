//! Fetches newer configuration from peers, and answers theirs.

use std::{
    sync::{Arc, mpsc::SyncSender},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use cassiashunt_control::Control;
use cassiashunt_ring::Ring;
use cassiashunt_table::{Head, LineId, Offer, commit::HeadReport};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Chunk, End, Fetch, ValueKind};

use super::event::Event;
use crate::{
    link::{Peer, chunks},
    owner::Reply,
    shared::Shared,
};

/// How long a peer may take for each piece.
const PATIENCE: Duration = Duration::from_secs(1);
/// The largest value that is fetched, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// A value to fetch and the peers that have it.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub kind: ValueKind,
    pub peers: Vec<Peer>,
}

/// Fetches until the ring is closed.
pub(super) fn run(shared: &Shared, ring: &Ring<Request>, tx: &SyncSender<Event>) {
    while let Ok(req) = ring.pop() {
        let take_from = |peer: &Peer| {
            let fetched = fetch(shared, *peer, req.kind, known_line(shared))?;
            take(shared, req.kind, &fetched)
        };
        let event = req.peers.iter().find_map(take_from);
        if let Some(event) = event
            && tx.send(event).is_err()
        {
            return;
        }
    }
}

/// The line of history that the table in force here goes on from.
fn known_line(shared: &Shared) -> Option<LineId> {
    shared.config.head().and_then(|head| head.line())
}

/// The table that a peer has in force.
pub(super) fn holding(shared: &Shared, peer: Peer) -> Option<HeadReport> {
    let fetched = fetch(shared, peer, ValueKind::Table, None)?;
    let head = Head::from_bytes(&fetched.value).ok()?;
    Some(HeadReport {
        head: Arc::new(head),
        accepted: fetched.accepted,
    })
}

/// A value as a peer has it.
struct Fetched {
    value: Bytes,
    /// With the table: the newest line that is known to have been accepted.
    accepted: Option<LineId>,
    /// With the table: whether only the records after the known line came.
    is_records: bool,
}

fn fetch(shared: &Shared, peer: Peer, kind: ValueKind, known: Option<LineId>) -> Option<Fetched> {
    let question = Fetch {
        kind: kind.into(),
        known_line: known.map(|line| line.0),
    };
    let mut call = shared.links.get(peer).ok()?.fetch(question).ok()?;
    let mut value = BytesMut::new();
    loop {
        match call.next(PATIENCE).ok()? {
            Body::Chunk(Chunk { data }) if value.len() + data.len() <= VALUE_BYTES => {
                value.extend_from_slice(&data);
            }
            Body::End(end) if end.body_len == value.len() as u64 => {
                call.finish();
                return Some(Fetched {
                    value: value.freeze(),
                    accepted: end.accepted_line.map(LineId),
                    is_records: end.is_records,
                });
            }
            _ => return None,
        }
    }
}

fn take(shared: &Shared, kind: ValueKind, fetched: &Fetched) -> Option<Event> {
    let value = &fetched.value;
    match kind {
        ValueKind::Table => {
            let offer = match fetched.is_records {
                true => shared
                    .config
                    .offer_records(&serde_json::from_slice::<Vec<_>>(value).ok()?)?,
                false => shared.config.offer(Head::from_bytes(value).ok()?),
            };
            if let Some(line) = fetched.accepted {
                shared.config.note_accepted(line);
            }
            match offer {
                Offer::Applied { revision } => Some(Event::Table(revision)),
                Offer::Forked { ours, theirs } => {
                    log::error!(event = "table-forked-refused", ours = ours.0, theirs = theirs.0; "");
                    None
                }
                Offer::Same | Offer::Older { .. } => None,
            }
        }
        ValueKind::Control => {
            let control: Control = serde_json::from_slice(value).ok()?;
            Some(Event::Control(control))
        }
    }
}

/// Answers a peer's question for a value.
pub(crate) fn answer(shared: &Shared, fetch: Fetch, reply: &Reply) {
    let head = shared.config.head();
    let known = fetch.known_line.map(LineId);
    let records = head
        .as_ref()
        .zip(known)
        .and_then(|(head, line)| records_after(head, line));
    let is_records = records.is_some() && fetch.kind == i32::from(ValueKind::Table);
    let value = match ValueKind::try_from(fetch.kind) {
        Ok(ValueKind::Table) => records.or_else(|| head.map(|head| head.to_bytes())),
        Ok(ValueKind::Control) => shared.control_bytes(),
        Err(_) => None,
    };
    let Some(value) = value.map(Bytes::from) else {
        return reply.refuse(Refusal::not_run(Reason::NotInTouch), None, 0);
    };
    let holding = shared.config.holding();
    let accepted = holding.and_then(|holding| holding.accepted);
    let end = End {
        body_len: value.len() as u64,
        accepted_line: accepted.map(|line| line.0),
        is_records,
        ..End::default()
    };
    let pieces = chunks(&value).map(Body::Chunk).chain([Body::End(end)]);
    for piece in pieces {
        if reply.send(piece).is_err() {
            return;
        }
    }
}

/// The encoded records after a line, where the head still holds all of them.
fn records_after(head: &Head, line: LineId) -> Option<Vec<u8>> {
    let records = head.records_after(line)?;
    Some(serde_json::to_vec(&records).expect("records are plain JSON"))
}
