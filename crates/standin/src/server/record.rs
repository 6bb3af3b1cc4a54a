//! What a stand-in ran, for the checks over whole histories.

use std::{
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use super::http::{Header, Request};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is still running.
    Running,
    /// It finished and was answered.
    Done,
    /// It failed, by its own draw or by a child call.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// The server crashed under it.
    Crashed,
}

/// One request that began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// The `Standin-Id` header, or the server's own number of the run.
    pub id: String,
    /// The `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// The `Cassiashunt-Workspace` header.
    pub workspace: Option<String>,
    /// The `Cassiashunt-Class` header.
    pub class: Option<String>,
    /// The `Cassiashunt-Chain` header.
    pub chain: Option<String>,
    /// The method of the request.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// When it began, in microseconds since 1970.
    pub began_micros: u64,
    /// When it ended, in microseconds since 1970; 0 while it runs.
    pub ended_micros: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The query, where headers are captured.
    pub query: Option<String>,
    /// All headers, where they are captured.
    pub headers: Vec<Header>,
}

impl Record {
    pub(super) fn begin(id: &str, req: &Request, capture: bool) -> Self {
        let copy = |name| req.header(name).map(str::to_owned);
        Self {
            id: id.into(),
            idempotency_key: copy("Idempotency-Key"),
            workspace: copy("Cassiashunt-Workspace"),
            class: copy("Cassiashunt-Class"),
            chain: copy("Cassiashunt-Chain"),
            method: req.method.clone(),
            path: req.path.clone(),
            began_micros: unix_micros(),
            ended_micros: 0,
            outcome: Outcome::Running,
            query: capture.then(|| req.query.clone()),
            headers: if capture {
                req.headers.clone()
            } else {
                Vec::new()
            },
        }
    }

    pub(super) fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        self.ended_micros = unix_micros();
    }
}

/// A place that several servers share, where each leaves its recorded runs when it stops for good.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    records: Arc<Mutex<Vec<Record>>>,
}

impl Journal {
    /// Takes all runs that were left so far.
    #[must_use]
    pub fn take(&self) -> Vec<Record> {
        std::mem::take(&mut self.records.lock().expect("no holder of this lock panics"))
    }

    pub(super) fn leave(&self, records: Vec<Record>) {
        self.records
            .lock()
            .expect("no holder of this lock panics")
            .extend(records);
    }
}

impl PartialEq for Journal {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.records, &other.records)
    }
}

/// Microseconds since 1970 by this machine's clock.
pub(super) fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since.expect("the clock is past 1970").as_micros();
    u64::try_from(micros).expect("the clock is before the year 500000")
}

/// Counts since the server's start; they outlast a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Stats {
    /// Requests that run now.
    pub running: usize,
    /// Requests that wait for a slot now.
    pub waiting: usize,
    /// Connections that are held now.
    pub connections: usize,
    /// The most requests that ran at once.
    pub peak_running: usize,
    /// Connections that were taken.
    pub accepted: u64,
    /// Connections that were closed at once because there were too many.
    pub over_connections: u64,
    /// Requests that began to run.
    pub began: u64,
    /// Requests that were answered whole.
    pub done: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that the server shed before they ran.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests whose deadline passed, before or while they ran.
    pub deadline: u64,
    /// Child calls that were sent, further tries among them.
    pub child_calls: u64,
    /// Crashes.
    pub crashes: u64,
    /// Runs that were not recorded for want of room.
    pub unrecorded: u64,
}
