//! A client that keeps its connection until the node closes it.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Instant,
};

use cassiashunt_standin::site::{Request, ask, open};

use crate::history::{Outcome, Sent};

/// How long a client waits, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// One client of one node.
#[derive(Debug)]
pub(crate) struct Client {
    node: SocketAddr,
    kept: Option<TcpStream>,
}

impl Client {
    pub(crate) fn new(node: SocketAddr) -> Self {
        Self { node, kept: None }
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
            timeout_ms: TIMEOUT_MS,
            body: if is_write {
                b"a deposit".to_vec()
            } else {
                Vec::new()
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
            target: request.target,
            is_write,
            key,
            began,
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
