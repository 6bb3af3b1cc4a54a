//! A client of a node's operators' interface.

use std::{net::SocketAddr, time::Duration};

use cassiashunt_table::{Edit, Head};
use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;
use ureq::Agent;

use crate::exit::Exit;

/// How long a node may take to answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A node's answer to an edit.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum EditAnswer {
    /// Accepted for good.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// A cell held something else.
    Conflict {
        /// What it held.
        detail: String,
    },
    /// Not applied.
    Refused {
        /// Why.
        detail: String,
    },
    /// Perhaps applied.
    Unknown {
        /// What to do.
        detail: String,
    },
}

/// A client of one node.
pub struct Client {
    base: String,
    credential: String,
    agent: Agent,
}

impl Client {
    /// A client of `node`, or of the one that the environment names.
    ///
    /// # Errors
    ///
    /// Where no node or no operator token is named.
    pub fn new(node: Option<SocketAddr>) -> Result<Self> {
        let node = match node {
            Some(node) => node.to_string(),
            None => std::env::var("CASSIASHUNT_NODE").map_err(|_| {
                Exit::Usage.err("name a node's operators' address by --node or CASSIASHUNT_NODE")
            })?,
        };
        let token = std::env::var("CASSIASHUNT_TOKEN")
            .map_err(|_| Exit::Usage.err("set CASSIASHUNT_TOKEN to the nodes' operator-token"))?;
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT));
        Ok(Self {
            base: format!("http://{node}"),
            credential: format!("Bearer {token}"),
            agent: cfg.build().new_agent(),
        })
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Where the node cannot be reached or does not know the page.
    pub fn get(&self, path: &str) -> Result<Vec<u8>> {
        let req = self.agent.get(format!("{}{path}", self.base));
        let mut answer = req
            .header("Authorization", &self.credential)
            .call()
            .wrap_err_with(|| {
                format!("no answer from the node at {}; is it running?", self.base)
            })?;
        let status = answer.status().as_u16();
        let body = answer
            .body_mut()
            .with_config()
            .limit(1 << 28)
            .read_to_vec()?;
        if status == 200 {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body);
        Err(eyre!("the node answered {status}: {}", text.trim()))
    }

    /// The head in force at the node.
    ///
    /// # Errors
    ///
    /// Where the node cannot be reached.
    pub fn head(&self) -> Result<Head> {
        Ok(Head::from_bytes(&self.get("/head")?)?)
    }

    /// Sends a body and gives status and answer.
    ///
    /// # Errors
    ///
    /// Where the node cannot be reached.
    pub fn post(&self, path: &str, body: &[u8]) -> Result<(u16, Vec<u8>)> {
        let req = self.agent.post(format!("{}{path}", self.base));
        let sent = req.header("Authorization", &self.credential).send(body);
        let mut answer =
            sent.wrap_err_with(|| format!("no answer from the node at {}", self.base))?;
        let status = answer.status().as_u16();
        Ok((status, answer.body_mut().read_to_vec()?))
    }

    /// Sends an edit.
    ///
    /// # Errors
    ///
    /// Where the node cannot be reached; whether the edit was applied is then unknown.
    pub fn edit(&self, edit: &Edit) -> Result<EditAnswer> {
        let body = serde_json::to_vec(edit)?;
        let (status, answer) = self.post("/edits", &body).map_err(|err| {
            Exit::Unknown.err(format!(
                "{err:#}; look for edit {} in the audit trail",
                edit.id
            ))
        })?;
        serde_json::from_slice(&answer).map_err(|_| {
            let text = String::from_utf8_lossy(&answer);
            eyre!("the node answered {status}: {}", text.trim())
        })
    }
}
