//! A client that keeps its connection until the node closes it.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, ask, open};

use crate::{
    foreign::stated_fields,
    history::{Outcome, Sent},
};

/// One client of one node.
#[derive(Debug)]
pub(crate) struct Client {
    number: usize,
    node: SocketAddr,
    limit: Duration,
    kept: Option<TcpStream>,
    /// Whether it states fields that the system sets itself.
    is_stating: bool,
}

impl Client {
    /// A client of the node with this number and address, whose requests have so long.
    pub(crate) fn new(number: usize, node: SocketAddr, limit: Duration) -> Self {
        Self {
            number,
            node,
            limit,
            kept: None,
            is_stating: false,
        }
    }

    /// The same client, which states fields that the system sets itself, or not.
    pub(crate) fn stating(self, is_stating: bool) -> Self {
        Self { is_stating, ..self }
    }

    /// Gives up the connection that is kept, if any.
    pub(crate) fn close(&mut self) {
        self.kept = None;
    }

    /// Sends one request; nothing where the node takes no connection.
    pub(crate) fn send(&mut self, target: String, is_write: bool, key: String) -> Option<Sent> {
        let mut stream = match self.kept.take() {
            Some(stream) => stream,
            None => open(self.node).ok()?,
        };
        let request = Request {
            method: if is_write { "POST" } else { "GET" },
            target,
            key: Some(key.clone()),
            timeout_ms: u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX),
            body: if is_write {
                b"a deposit".to_vec()
            } else {
                Vec::new()
            },
            headers: match self.is_stating {
                true => stated_fields(),
                false => Vec::new(),
            },
            ..Request::default()
        };
        let began = Instant::now();
        let answer = ask(&mut stream, &request.encode());
        let ended = Instant::now();
        let outcome = match answer {
            Ok(answer) => {
                let closes = answer.header("connection").is_some_and(|it| it == "close");
                if !closes {
                    self.kept = Some(stream);
                }
                Outcome::Answered {
                    status: answer.status,
                    is_own: answer.status != 200
                        || answer.body == format!("answer to {}", request.attempt).into_bytes(),
                }
            }
            Err(err) if is_silence(&err) => Outcome::Silent,
            Err(_) => Outcome::Broken,
        };
        Some(Sent {
            attempt: request.attempt,
            node: self.number,
            target: request.target,
            is_write,
            key,
            began,
            limit: self.limit,
            ended,
            outcome,
        })
    }
}

fn is_silence(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
