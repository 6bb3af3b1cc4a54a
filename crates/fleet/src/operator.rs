//! An operator of a fleet, over the operators' interface of any node.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_table::{Binding, Change, Column, Edit, EditId, Endpoint, Head, RowKey, Verifier};
use cassiashunt_types::prelude::*;
use eyre::{Result, WrapErr, bail, eyre};
use serde::Deserialize;
use ureq::Agent;

/// How long an edit may take.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How often it is looked whether an edit is in force.
const LOOK: Duration = Duration::from_millis(20);

/// An operator who speaks to one node.
#[derive(Debug, Clone)]
pub struct Operator {
    base: String,
    credential: String,
    agent: Agent,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
enum EditAnswer {
    Accepted { revision: u64 },
    Conflict { detail: String },
    Refused { detail: String },
    Unknown { detail: String },
}

impl Operator {
    /// An operator who speaks to the node at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, token: &str) -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT));
        Self {
            base: format!("http://{addr}"),
            credential: format!("Bearer {token}"),
            agent: cfg.build().new_agent(),
        }
    }

    /// Reads a page of the operators' interface.
    ///
    /// # Errors
    ///
    /// Where the node does not answer.
    pub fn get(&self, path: &str) -> Result<String> {
        let req = self.agent.get(format!("{}{path}", self.base));
        let mut answer = req.header("Authorization", &self.credential).call()?;
        let body = answer.body_mut().with_config().limit(1 << 28);
        Ok(body.read_to_string()?)
    }

    /// The head in force at the node.
    ///
    /// # Errors
    ///
    /// Where the node does not answer.
    pub fn head(&self) -> Result<Head> {
        Ok(Head::from_bytes(self.get("/head")?.as_bytes())?)
    }

    /// Makes one edit of several changes and gives the revision from which on it holds.
    ///
    /// # Errors
    ///
    /// Where it was not accepted, or that is not known.
    pub fn edit(&self, changes: Vec<Change>) -> Result<Revision> {
        let edit = Edit {
            id: EditId::random(),
            who: "operator".into(),
            when: "now".into(),
            changes,
        };
        let req = self.agent.post(format!("{}/edits", self.base));
        let body = serde_json::to_vec(&edit)?;
        let sent = req
            .header("Authorization", &self.credential)
            .send(&body[..]);
        let text = sent?.body_mut().read_to_string()?;
        let answer = serde_json::from_str(&text).wrap_err_with(|| text.clone())?;
        match answer {
            EditAnswer::Accepted { revision } => Ok(Revision(revision)),
            EditAnswer::Conflict { detail }
            | EditAnswer::Refused { detail }
            | EditAnswer::Unknown { detail } => Err(eyre!(detail)),
        }
    }

    /// Waits until every live node has a revision in force.
    ///
    /// # Errors
    ///
    /// Where that takes longer than half a minute.
    pub fn wait_in_force(&self, revision: Revision) -> Result<()> {
        let until = Instant::now() + TIMEOUT;
        loop {
            let behind = self.get(&format!("/in-force?revision={}", revision.0))?;
            if behind.trim().is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                bail!("revision {} is not in force at {behind}", revision.0);
            }
            thread::sleep(LOOK);
        }
    }

    /// A change of one cell from what it holds now.
    ///
    /// # Errors
    ///
    /// Where a name or the value is wrong.
    pub fn cell(&self, row: &str, column: &str, value: &str) -> Result<Change> {
        let row: RowKey = row.parse()?;
        let column: Column = column.parse()?;
        let new = Some(column.parse(value)?);
        let old = self.head()?.table().get(&row, column);
        Ok(Change::Cell {
            row,
            column,
            old,
            new,
        })
    }
}

/// A change that binds an endpoint which is not bound yet.
///
/// # Errors
///
/// Where a name is wrong.
pub(crate) fn bind(endpoint: &str, route: Route, class: Class, service: Service) -> Result<Change> {
    let endpoint: Endpoint = endpoint.parse()?;
    let new = Some(Binding {
        route,
        class,
        service,
    });
    Ok(Change::Route {
        endpoint,
        old: None,
        new,
    })
}

/// A change that gives a workspace the key of this text.
pub(crate) fn give_key(workspace: Workspace, key: &str) -> Change {
    Change::GiveKey {
        workspace,
        verifier: Verifier::of(key),
    }
}
