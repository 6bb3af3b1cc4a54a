//! The operators' HTTP interface.

use std::{
    io::{self, Read},
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
};

use cassiashunt_platform::Platform;
use cassiashunt_table::{
    AUDIT_PREFIX, Block, Edit, Head, Record,
    commit::{Commit, Outcome},
    csv,
};
use cassiashunt_types::prelude::*;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, StatusCode};

use crate::{duty, shared::Shared};

/// Threads that answer operators.
const THREADS: usize = 4;
/// The largest edit, in bytes.
const EDIT_BYTES: u64 = 1 << 20;

/// The running interface.
pub(crate) struct Server {
    http: Option<Arc<tiny_http::Server>>,
    addr: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

/// What a node says of itself.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    node: String,
    failure_domain: String,
    phase: &'static str,
    server: Option<&'static str>,
    revision: u64,
    in_touch: bool,
    in_flight: usize,
    limit_shards_open: usize,
    home_shards_open: usize,
    links: usize,
    tickets: usize,
    held_bytes: usize,
    services: Vec<ServiceStatus>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceStatus {
    service: String,
    available: usize,
}

/// What became of an edit, for the asking program.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
enum EditAnswer {
    Accepted { revision: u64 },
    Conflict { detail: String },
    Refused { detail: String },
    Unknown { detail: String },
}

impl Server {
    /// Starts answering operators.
    pub(crate) fn start(shared: &Arc<Shared>) -> Result<Self, crate::StartError> {
        let addr = shared.settings.node.operators;
        let fail = |source| crate::StartError::Bind {
            key: "node.operators",
            addr,
            source,
        };
        let http = tiny_http::Server::http(addr)
            .map_err(io::Error::other)
            .map_err(fail)?;
        let http = Arc::new(http);
        let addr = http.server_addr().to_ip().unwrap_or(addr);
        let mut threads = Vec::new();
        for _ in 0..THREADS {
            let (http, shared) = (Arc::clone(&http), Arc::clone(shared));
            let serve = move || {
                while let Ok(req) = http.recv() {
                    answer(&shared, req);
                }
            };
            let builder = thread::Builder::new().name("operators".into());
            threads.push(builder.spawn(serve)?);
        }
        Ok(Self {
            http: Some(http),
            addr,
            threads,
        })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends the threads and closes the socket.
    pub(crate) fn stop(&mut self) {
        let Some(http) = self.http.take() else { return };
        for _ in 0..THREADS {
            http.unblock();
        }
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!(event = "thread-panicked"; "");
            }
        }
    }
}

/// An answer to an operator.
struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl Reply {
    fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("answers are plain JSON");
        Self {
            status,
            content_type: "application/json",
            body,
        }
    }

    fn text(status: u16, content_type: &'static str, text: impl Into<String>) -> Self {
        Self {
            status,
            content_type,
            body: text.into().into_bytes(),
        }
    }
}

fn answer(shared: &Arc<Shared>, mut req: Request) {
    let reply = if is_authorized(shared, &req) {
        route(shared, &mut req)
    } else {
        Reply::text(
            401,
            "text/plain",
            "give the operator token as a Bearer credential\n",
        )
    };
    let content_type = Header::from_bytes("Content-Type", reply.content_type)
        .expect("content types are plain ASCII");
    let response = Response::from_data(reply.body)
        .with_status_code(StatusCode(reply.status))
        .with_header(content_type);
    if let Err(err) = req.respond(response) {
        log::debug!(event = "operator-gone"; "{err}");
    }
}

fn is_authorized(shared: &Shared, req: &Request) -> bool {
    let expected = format!("Bearer {}", shared.settings.node.operator_token);
    let given = req
        .headers()
        .iter()
        .find(|line| line.field.equiv("Authorization"));
    given.is_some_and(|line| constant_time_eq(line.value.as_str().as_bytes(), expected.as_bytes()))
}

/// Compares without telling by its time where the first difference is.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differing = a
        .iter()
        .zip(b)
        .fold(0, |differing, (a, b)| differing | (a ^ b));
    a.len() == b.len() && differing == 0
}

fn route(shared: &Arc<Shared>, req: &mut Request) -> Reply {
    let path = req.url().split('?').next().unwrap_or_default().to_owned();
    match (req.method(), path.as_str()) {
        (Method::Get, "/status") => Reply::json(200, &status(shared)),
        (Method::Get, "/metrics") => metrics(shared),
        (Method::Get, "/head") => head(shared, |head| Reply {
            status: 200,
            content_type: "application/json",
            body: head.to_bytes(),
        }),
        (Method::Get, "/table") => head(shared, |head| {
            Reply::text(200, "text/csv", csv::write_rows(head.table()))
        }),
        (Method::Get, "/in-force") => in_force(shared, req.url()),
        (Method::Get, "/audit") => audit(shared),
        (Method::Get, "/routes") => head(shared, |head| {
            Reply::text(200, "text/csv", csv::write_routes(head.table()))
        }),
        (Method::Post, "/edits") => edit(shared, req),
        (Method::Post, "/drain") => {
            shared.ask_to_drain();
            Reply::text(202, "text/plain", "draining\n")
        }
        _ => Reply::text(404, "text/plain", "no such page\n"),
    }
}

fn head(shared: &Shared, show: impl FnOnce(&Head) -> Reply) -> Reply {
    match shared.config.head() {
        Some(head) => show(&head),
        None => show(&Head::default()),
    }
}

/// The live nodes that do not have a revision in force yet, a line each.
fn in_force(shared: &Shared, url: &str) -> Reply {
    let revision = url
        .split_once("revision=")
        .and_then(|(_, text)| text.parse().ok());
    let Some(revision) = revision.map(Revision) else {
        return Reply::text(400, "text/plain", "say ?revision=N\n");
    };
    shared.control.ask_applied();
    let mut behind = shared.control.behind(revision);
    if shared.config.revision() < revision {
        behind.push(shared.id);
    }
    let lines: String = behind.iter().map(|node| format!("{node}\n")).collect();
    Reply::text(200, "text/plain", lines)
}

/// The whole audit trail: what the head still holds, after what has moved to values of its own.
fn audit(shared: &Shared) -> Reply {
    let kept = match shared.platform.list(AUDIT_PREFIX) {
        Ok(entries) => entries,
        Err(err) => return Reply::text(503, "text/plain", format!("{err}\n")),
    };
    let blocks = kept
        .iter()
        .filter_map(|entry| Block::parse(&entry.value).ok());
    let mut records: Vec<Record> = blocks.flatten().collect();
    if let Some(head) = shared.config.head() {
        records.extend(head.recent().cloned());
    }
    records.sort_by_key(|record| record.revision);
    records.dedup_by_key(|record| record.edit);
    Reply::json(200, &records)
}

fn metrics(shared: &Shared) -> Reply {
    match &shared.wiring.metrics {
        Some(handle) => Reply::text(200, "text/plain; version=0.0.4", render(handle)),
        None => Reply::text(404, "text/plain", "this process keeps no metrics\n"),
    }
}

fn render(handle: &PrometheusHandle) -> String {
    handle.run_upkeep();
    handle.render()
}

fn status(shared: &Shared) -> Status {
    let now = shared.clock.now();
    let owner = shared.owner.get();
    let service_status = |service: cassiashunt_types::Service| ServiceStatus {
        service: service.to_string(),
        available: shared
            .fleet
            .pool(service)
            .map_or(0, |pool| pool.available(now)),
    };
    Status {
        node: shared.id.to_string(),
        failure_domain: shared.settings.node.failure_domain.to_string(),
        phase: shared.lifecycle().phase().as_str(),
        server: owner.map(|owner| owner.health_name()),
        revision: shared.config.revision().0,
        in_touch: shared.control.check(now).is_ok(),
        in_flight: owner.map_or(0, |owner| owner.in_flight()),
        limit_shards_open: shared.limits.open(&shared.control),
        home_shards_open: shared.control.open_homes(),
        links: shared.links.len(),
        tickets: shared.tickets.len(),
        held_bytes: shared.held.bytes(),
        services: shared
            .fleet
            .services()
            .into_iter()
            .map(service_status)
            .collect(),
    }
}

fn edit(shared: &Arc<Shared>, req: &mut Request) -> Reply {
    let mut text = String::new();
    let read = req.as_reader().take(EDIT_BYTES).read_to_string(&mut text);
    let edit = match read.map(|_| serde_json::from_str::<Edit>(&text)) {
        Ok(Ok(edit)) => edit,
        Ok(Err(err)) => return Reply::text(400, "text/plain", format!("no edit: {err}\n")),
        Err(err) => return Reply::text(400, "text/plain", format!("unreadable: {err}\n")),
    };
    if shared.control.check(shared.clock.now()).is_err() {
        let detail = "this node is not in touch with the fleet; ask another".into();
        return Reply::json(503, &EditAnswer::Refused { detail });
    }
    log::info!(event = "edit-asked", edit:% = edit.id, who = edit.who.as_str(); "");
    let commit = Commit::start(edit, shared.config.head(), Default::default());
    let outcome = duty::commit(shared, commit);
    log::info!(event = "edit-ended"; "{outcome}");
    let detail = outcome.to_string();
    match outcome {
        Outcome::Accepted { revision, .. } => Reply::json(
            200,
            &EditAnswer::Accepted {
                revision: revision.0,
            },
        ),
        Outcome::Conflict(_) => Reply::json(409, &EditAnswer::Conflict { detail }),
        Outcome::Refused(_) => Reply::json(422, &EditAnswer::Refused { detail }),
        Outcome::StillUnknown => Reply::json(503, &EditAnswer::Unknown { detail }),
    }
}
