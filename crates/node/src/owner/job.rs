//! A request as its owner holds it.

use std::sync::Arc;

use bytes::Bytes;
use cassiashunt_types::{InvalidLabel, prelude::*};
use cassiashunt_wire::{Begin, HeaderLine};

use super::Reply;

/// A whole request with the way back to its asker.
#[derive(Debug)]
pub(crate) struct Job {
    pub chain: ChainId,
    pub depth: u32,
    pub workspace: Option<Workspace>,
    pub route: Route,
    pub class: Class,
    pub key: KeyId,
    pub revision: Revision,
    pub deadline: Time,
    pub retries: u32,
    pub method: String,
    pub target: String,
    pub headers: Vec<HeaderLine>,
    pub idempotency_key: String,
    /// Whether it is to run at most once.
    pub runs_once: bool,
    pub fingerprint: u64,
    /// The priority of the chain.
    pub priority: u8,
    /// Whether it runs, or is to run, beside no other.
    pub is_alone: bool,
    pub body: Bytes,
    pub reply: Arc<Reply>,
}

impl Job {
    /// Reads a request that came at `now`.
    pub(crate) fn read(
        now: Time,
        begin: Begin,
        body: Bytes,
        reply: Arc<Reply>,
    ) -> Result<Self, InvalidLabel> {
        let workspace = Some(begin.workspace.as_str()).filter(|name| !name.is_empty());
        Ok(Self {
            chain: ChainId(begin.chain),
            depth: begin.depth,
            workspace: workspace.map(str::parse).transpose()?,
            route: begin.route.parse()?,
            class: begin.class.parse()?,
            key: KeyId(begin.key),
            revision: Revision(begin.revision),
            deadline: now + Duration::from_micros(begin.remaining_us),
            retries: begin.retries,
            method: begin.method,
            target: begin.target,
            headers: begin.headers,
            idempotency_key: begin.idempotency_key,
            runs_once: begin.runs_once,
            fingerprint: begin.fingerprint,
            priority: u8::try_from(begin.priority).unwrap_or(u8::MAX),
            is_alone: begin.is_suspect,
            body,
            reply,
        })
    }
}
