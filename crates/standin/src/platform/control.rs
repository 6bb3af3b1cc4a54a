//! Telling the stand-in to fail, and reading how often it was called.

use cassiashunt_platform::{Calls, Faults, LeaseId, Memory};
use serde::de::DeserializeOwned;
use tiny_http::{Method, Request};
use ureq::{Agent, Body, http::Response};

use super::{
    answer::Answer,
    routes::{below, param, plain, read_value},
};

/// The path below which the stand-in is controlled.
pub const PATH: &str = "/control";
/// Reads (GET) or sets (POST) the faults, as JSON.
pub const FAULTS_PATH: &str = "/control/faults";
/// Reads the counts of calls, as JSON.
pub const CALLS_PATH: &str = "/control/calls";
/// Undoes the last writes, as many as the parameter `writes` says.
pub const ROLL_BACK_PATH: &str = "/control/roll-back";
/// Below it, a lease lapses early.
pub const EXPIRE_PATH: &str = "/control/expire";

pub(super) fn answer(memory: &Memory, req: &mut Request, path: &str, query: &str) -> Answer {
    let answer = match path {
        CALLS_PATH => Some(Answer::json(&memory.calls())),
        FAULTS_PATH if *req.method() == Method::Get => Some(Answer::json(&memory.faults())),
        FAULTS_PATH => set_faults(memory, req),
        ROLL_BACK_PATH => roll_back(memory, query),
        _ => expire(memory, path),
    };
    answer.unwrap_or_else(|| Answer::status(400))
}

fn set_faults(memory: &Memory, req: &mut Request) -> Option<Answer> {
    let body = read_value(req)?;
    let faults = serde_json::from_slice(&body).ok()?;
    memory.set_faults(faults);
    Some(Answer::status(200))
}

fn roll_back(memory: &Memory, query: &str) -> Option<Answer> {
    let writes = param(query, "writes")?.parse().ok()?;
    memory.roll_back(writes);
    Some(Answer::status(200))
}

fn expire(memory: &Memory, path: &str) -> Option<Answer> {
    let lease = below(path, EXPIRE_PATH)?.parse().ok()?;
    Some(plain(memory.expire(LeaseId(lease))))
}

/// A client of the control paths of a stand-in.
#[derive(Debug, Clone)]
pub struct Client {
    url: String,
    agent: Agent,
}

impl Client {
    /// A client of the stand-in at `http://address:port`.
    #[must_use]
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            agent: Agent::new_with_defaults(),
        }
    }

    /// The faults in force.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be reached.
    pub fn faults(&self) -> Result<Faults, ureq::Error> {
        self.read(FAULTS_PATH)
    }

    /// Puts these faults in force.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be reached.
    pub fn set_faults(&self, faults: Faults) -> Result<(), ureq::Error> {
        let body = serde_json::to_vec(&faults).expect("plain switches are JSON");
        self.post(FAULTS_PATH, &body)
    }

    /// Undoes the last `writes` writes.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be reached.
    pub fn roll_back(&self, writes: usize) -> Result<(), ureq::Error> {
        self.post(&format!("{ROLL_BACK_PATH}?writes={writes}"), &[])
    }

    /// Lets a lease lapse before its time.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be reached or the lease has lapsed.
    pub fn expire(&self, lease: LeaseId) -> Result<(), ureq::Error> {
        self.post(&format!("{EXPIRE_PATH}/{lease}"), &[])
    }

    /// The calls so far.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in cannot be reached.
    pub fn calls(&self) -> Result<Calls, ureq::Error> {
        self.read(CALLS_PATH)
    }

    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ureq::Error> {
        let mut answer = self.agent.get(format!("{}{path}", self.url)).call()?;
        let body = body(&mut answer)?;
        serde_json::from_slice(&body).map_err(|err| ureq::Error::Io(err.into()))
    }

    fn post(&self, path: &str, body: &[u8]) -> Result<(), ureq::Error> {
        let url = format!("{}{path}", self.url);
        self.agent.post(url).send(body).map(drop)
    }
}

fn body(answer: &mut Response<Body>) -> Result<Vec<u8>, ureq::Error> {
    answer.body_mut().read_to_vec()
}
