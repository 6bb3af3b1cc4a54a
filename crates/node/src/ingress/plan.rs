//! What a request is, who asks, and what the table says about it.

use std::sync::Arc;

use bytes::Bytes;
use cassiashunt_http::Request;
use cassiashunt_table::{Binding, KeyState, Lookup, RequestPolicy, Verifier};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::HeaderLine;
use sha2::{Digest, Sha256};

use super::strip::{self, Presented};
use crate::{headers, shared::Shared, ticket::Parent};

/// The longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_BYTES: usize = 128;

/// A request that has been read, checked and stripped of its key.
pub(super) struct Plan {
    pub binding: Binding,
    pub class: Class,
    pub cell: RequestPolicy,
    /// The highest priority along the chain so far.
    pub priority: u8,
    pub is_idempotent: bool,
    pub workspace: Option<Workspace>,
    pub key: KeyId,
    pub revision: Revision,
    pub chain: ChainId,
    pub depth: u32,
    pub deadline: Time,
    pub parent: Option<Arc<Parent>>,
    pub idempotency_key: String,
    pub fingerprint: u64,
    pub method: String,
    pub target: String,
    pub headers: Vec<HeaderLine>,
    pub body: Bytes,
}

/// In whose name a request runs.
struct Identity {
    workspace: Option<Workspace>,
    key: KeyId,
    parent: Option<Arc<Parent>>,
}

/// Reads `req` by the table in force.
///
/// # Errors
///
/// Not run, with the reason.
pub(super) fn read(shared: &Shared, mut req: Request) -> Result<Plan, Refusal> {
    let now = shared.clock.now();
    let ticket = req.headers.get(headers::TICKET).map(str::to_owned);
    let asked = req.headers.get(headers::TIMEOUT).map(str::to_owned);
    let key = strip::take_key(&mut req)?;
    let lookup = shared.config.lookup();
    if lookup.revision() == Revision(0) {
        return Err(Refusal::not_run(Reason::NotInTouch).retry_after(Duration::from_secs(1)));
    }
    let binding = lookup.bind(&req.method, req.path());
    let binding = binding.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
    let identity = identify(shared, &lookup, &binding, ticket, key)?;
    let parent = identity.parent.as_deref();
    let class = parent.map_or(binding.class, |parent| parent.class);
    let cell = resolve(&lookup, identity.workspace, binding.route, class);
    let own_cell = resolve(&lookup, identity.workspace, binding.route, binding.class);
    let is_idempotent = own_cell.idempotent || is_safe(&req.method);
    let idempotency_key = idempotency_key(&req)?;
    if !is_idempotent && parent.is_none() && idempotency_key.is_empty() {
        return Err(Refusal::not_run(Reason::KeyRequired));
    }
    let priority = parent
        .map_or(0, |parent| parent.priority)
        .max(cell.priority);
    let deadline = deadline(now, asked.as_deref(), &cell, parent)?;
    let fingerprint = fingerprint(identity.workspace, &req);
    Ok(Plan {
        chain: parent.map_or_else(ChainId::random, |parent| parent.chain),
        depth: parent.map_or(0, |parent| parent.depth + 1),
        workspace: identity.workspace,
        key: identity.key,
        revision: lookup.revision(),
        headers: forwarded(&req),
        parent: identity.parent,
        method: req.method,
        target: req.target,
        body: req.body,
        binding,
        priority,
        class,
        cell,
        is_idempotent,
        deadline,
        idempotency_key,
        fingerprint,
    })
}

fn identify(
    shared: &Shared,
    lookup: &Lookup,
    binding: &Binding,
    ticket: Option<String>,
    key: Option<Presented>,
) -> Result<Identity, Refusal> {
    if let Some(ticket) = ticket {
        return by_ticket(shared, &ticket);
    }
    let is_open = lookup.resolve_anonymous(binding.route, binding.class).open;
    match by_key(lookup, key) {
        Err(_) if is_open => Ok(Identity {
            workspace: None,
            key: KeyId(0),
            parent: None,
        }),
        found => found,
    }
}

fn by_ticket(shared: &Shared, ticket: &str) -> Result<Identity, Refusal> {
    let bad_ticket = Refusal::not_run(Reason::BadTicket);
    let ticket = ticket.parse().map_err(|_| bad_ticket)?;
    let parent = shared.tickets.find(ticket).ok_or(bad_ticket)?;
    Ok(Identity {
        workspace: parent.workspace,
        key: parent.key,
        parent: Some(parent),
    })
}

fn by_key(lookup: &Lookup, key: Option<Presented>) -> Result<Identity, Refusal> {
    let bad_key = Refusal::not_run(Reason::BadKey);
    let key = key.ok_or(bad_key)?;
    let entry = lookup.key(&Verifier::of(key.expose())).ok_or(bad_key)?;
    if entry.state == KeyState::Withdrawn {
        return Err(Refusal::not_run(Reason::KeyWithdrawn));
    }
    Ok(Identity {
        workspace: Some(entry.workspace),
        key: entry.id,
        parent: None,
    })
}

/// The cell of a request, also of one without a workspace.
pub(crate) fn resolve(
    lookup: &Lookup,
    workspace: Option<Workspace>,
    route: Route,
    class: Class,
) -> RequestPolicy {
    match workspace {
        Some(workspace) => lookup.resolve(workspace, route, class),
        None => lookup.resolve_anonymous(route, class),
    }
}

/// Methods that are idempotent because they change nothing (RFC 9110, section 9.2.1).
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

fn idempotency_key(req: &Request) -> Result<String, Refusal> {
    let bad_request = Refusal::not_run(Reason::BadRequest);
    let mut keys = req.headers.all(headers::IDEMPOTENCY_KEY);
    let key = keys.next().unwrap_or_default();
    if keys.next().is_some() || key.len() > IDEMPOTENCY_KEY_BYTES {
        return Err(bad_request);
    }
    Ok(key.to_owned())
}

/// The earliest of what the caller, the table and the parent allow.
fn deadline(
    now: Time,
    asked: Option<&str>,
    cell: &RequestPolicy,
    parent: Option<&Parent>,
) -> Result<Time, Refusal> {
    let bad_request = Refusal::not_run(Reason::BadRequest);
    let asked = asked.map(str::parse).transpose().map_err(|_| bad_request)?;
    let asked = asked.map_or(cell.deadline, Duration::from_millis);
    let own = now + asked.min(cell.deadline);
    let deadline = parent.map_or(own, |parent| own.min(parent.deadline));
    if deadline <= now {
        Err(Refusal::not_run(Reason::Deadline))
    } else {
        Ok(deadline)
    }
}

/// Names equal requests of one workspace.
fn fingerprint(workspace: Option<Workspace>, req: &Request) -> u64 {
    let workspace = workspace
        .as_ref()
        .map_or("", |workspace| workspace.as_str());
    let mut hash = Sha256::new();
    for part in [
        workspace.as_bytes(),
        req.method.as_bytes(),
        req.target.as_bytes(),
        &req.body,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    u64::from_be_bytes(*digest.first_chunk().expect("a digest has 32 bytes"))
}

fn forwarded(req: &Request) -> Vec<HeaderLine> {
    let travels = |name: &str| {
        let options = req.headers.all("connection");
        let options = options.flat_map(|value| value.split(','));
        !headers::is_for_connection(name, options) && !headers::is_idempotency_key(name)
    };
    let lines = req.headers.iter().filter(|line| travels(&line.name));
    lines
        .map(|line| HeaderLine {
            name: line.name.clone(),
            value: line.value.clone(),
        })
        .collect()
}
