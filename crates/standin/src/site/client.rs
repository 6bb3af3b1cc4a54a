//! A client: one request on a connection of its own or on a kept one.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use super::wire;

/// How long an answer may take before the test gives up.
const PATIENCE: Duration = Duration::from_secs(15);

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The host.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// The id of the attempt.
    pub attempt: String,
    /// The key, where there is one.
    pub key: Option<String>,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// Further fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            method: "GET",
            host: "shop.example".into(),
            target: "/".into(),
            attempt: format!("{:016x}", fastrand::u64(..)),
            key: None,
            timeout_ms: 3_000,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

impl Request {
    /// The request's bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Timeout-Ms: {}\r\n",
            self.method, self.target, self.host, self.attempt, self.timeout_ms
        );
        if let Some(key) = &self.key {
            text.push_str(&format!("X-Api-Key: {key}\r\n"));
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The first value of a field.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        wire::header(&self.headers, name)
    }
}

/// Opens a connection to a node.
///
/// # Errors
///
/// Where it is refused.
pub fn open(node: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Sends bytes on a connection and reads one answer.
///
/// # Errors
///
/// Where the connection ends before the answer is whole.
pub fn ask(stream: &mut TcpStream, request: &[u8]) -> io::Result<Answer> {
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let message = wire::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = message.word(1).parse().map_err(io::Error::other)?;
    Ok(Answer {
        status,
        headers: message.headers,
        body: message.body,
    })
}
