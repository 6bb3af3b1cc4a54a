//! A small blocking HTTP/1.1 connection, for either end.
//!
//! `tiny_http` cannot close the connections that it holds, nor bound their number, and a server
//! that crashes on request must do both; `httparse` over a `TcpStream` is its nearest kin. The
//! load generator uses the same connection, because it has to tell a short body from a whole one.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

/// The most bytes of a request's or an answer's head.
const HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of a body.
const BODY_BYTES: usize = 64 * 1024 * 1024;
/// The most headers of a message.
const HEADERS: usize = 64;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// One header as it came.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Header {
    /// The name in the sender's casing.
    pub name: String,
    /// The value; bytes outside UTF-8 are replaced.
    pub value: String,
}

/// A request with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method in upper case.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The query without its question mark; empty where there is none.
    pub query: String,
    /// The headers in the order that they came.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// An answer with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers in the order that they came.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The value of the first header with this name, in any casing.
#[must_use]
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

impl Request {
    /// The value of the first header with this name, in any casing.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// The value of a parameter of the query.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

impl Answer {
    /// An answer with this status and body and no headers.
    #[must_use]
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
        }
    }

    /// The same answer with one more header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header {
            name: name.into(),
            value: value.into(),
        });
        self
    }

    /// The value of the first header with this name, in any casing.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Whether the sender closes the connection after this answer.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A stream with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    stream: Arc<TcpStream>,
    buf: Vec<u8>,
    deadline: Option<Instant>,
}

/// The length of a body as its head announces it.
enum Length {
    Bytes(usize),
    Chunked,
    UntilClose,
}

impl Connection {
    /// A connection over a stream that nothing was read from yet.
    ///
    /// # Errors
    ///
    /// Fails where the stream's options cannot be set.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> io::Result<Self> {
        let stream = stream.into();
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buf: Vec::new(),
            deadline: None,
        })
    }

    /// Sets the time at which reads and writes fail with [`io::ErrorKind::TimedOut`].
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Whether the peer has closed an idle connection, or sent what nobody asked for.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let peek = || {
            self.stream.set_nonblocking(true)?;
            let peeked = self.stream.peek(&mut [0]);
            self.stream.set_nonblocking(false)?;
            peeked
        };
        !self.buf.is_empty() || !peek().is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }

    /// The stream below.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads the next request; `None` where the peer closed the connection between two.
    ///
    /// # Errors
    ///
    /// Fails on a broken stream, a malformed message, or one over the limits.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some((mut req, used)) = parse_request(&self.buf)? {
                self.buf.drain(..used);
                let length = body_length(&req.headers)?.unwrap_or(Length::Bytes(0));
                req.body = self.read_body(&length)?;
                return Ok(Some(req));
            }
            if self.fill()? == 0 {
                return self.end_between_messages().map(|()| None);
            }
        }
    }

    /// Reads the next answer with its whole body.
    ///
    /// # Errors
    ///
    /// Fails on a broken stream, a body shorter than announced, a malformed message, or one over
    /// the limits.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        loop {
            if let Some((mut answer, used)) = parse_answer(&self.buf)? {
                self.buf.drain(..used);
                let length = answer_length(&answer)?;
                answer.body = self.read_body(&length)?;
                return Ok(answer);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes a whole message in one call.
    ///
    /// # Errors
    ///
    /// Fails on a broken stream.
    pub fn write(&mut self, message: &[u8]) -> io::Result<()> {
        if let Some(left) = self.time_left()? {
            self.stream.set_write_timeout(Some(left))?;
        }
        (&*self.stream).write_all(message).map_err(timed_out)
    }

    /// Writes an answer; its length is added.
    ///
    /// # Errors
    ///
    /// Fails on a broken stream.
    pub fn write_answer(&mut self, answer: &Answer) -> io::Result<()> {
        let mut buf = Vec::with_capacity(256 + answer.body.len());
        write!(
            buf,
            "HTTP/1.1 {} {}\r\n",
            answer.status,
            phrase(answer.status)
        )?;
        for header in &answer.headers {
            write!(buf, "{}: {}\r\n", header.name, header.value)?;
        }
        write!(buf, "Content-Length: {}\r\n\r\n", answer.body.len())?;
        buf.extend_from_slice(&answer.body);
        self.write(&buf)
    }

    fn end_between_messages(&self) -> io::Result<()> {
        if self.buf.is_empty() {
            return Ok(());
        }
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    fn time_left(&self) -> io::Result<Option<Duration>> {
        let Some(deadline) = self.deadline else {
            return Ok(None);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(Some(left))
    }

    fn fill(&mut self) -> io::Result<usize> {
        if let Some(left) = self.time_left()? {
            self.stream.set_read_timeout(Some(left))?;
        }
        let filled = self.buf.len();
        self.buf.resize(filled + READ_BYTES, 0);
        let read = (&*self.stream).read(&mut self.buf[filled..]);
        self.buf.truncate(filled + *read.as_ref().unwrap_or(&0));
        read.map_err(timed_out)
    }

    fn fill_to(&mut self, bytes: usize) -> io::Result<()> {
        if bytes > BODY_BYTES {
            return Err(invalid("the body is over the limit"));
        }
        while self.buf.len() < bytes {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        self.fill_to(bytes)?;
        let rest = self.buf.split_off(bytes);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn read_body(&mut self, length: &Length) -> io::Result<Vec<u8>> {
        match length {
            Length::Bytes(bytes) => self.take(*bytes),
            Length::Chunked => self.read_chunks(),
            Length::UntilClose => self.read_until_close(),
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let bytes = self.read_chunk_size()?;
            let chunk = self.take(bytes)?;
            body.extend_from_slice(&chunk);
            if body.len() > BODY_BYTES {
                return Err(invalid("the body is over the limit"));
            }
            if self.take(2)? != b"\r\n" {
                return Err(invalid("a chunk without its end"));
            }
            if bytes == 0 {
                return Ok(body);
            }
        }
    }

    fn read_chunk_size(&mut self) -> io::Result<usize> {
        loop {
            let parsed = httparse::parse_chunk_size(&self.buf);
            match parsed.map_err(|_| invalid("a malformed chunk size"))? {
                httparse::Status::Complete((used, bytes)) => {
                    self.buf.drain(..used);
                    return usize::try_from(bytes).map_err(|_| invalid("a chunk over the limit"));
                }
                httparse::Status::Partial if self.fill()? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                httparse::Status::Partial => {}
            }
        }
    }

    fn read_until_close(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? > 0 {
            if self.buf.len() > BODY_BYTES {
                return Err(invalid("the body is over the limit"));
            }
        }
        Ok(std::mem::take(&mut self.buf))
    }
}

fn parse_request(buf: &[u8]) -> io::Result<Option<(Request, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buf).map_err(|err| invalid(&err.to_string()))?;
    let httparse::Status::Complete(used) = status else {
        return check_head(buf).map(|()| None);
    };
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let req = Request {
        method: parsed.method.unwrap_or("GET").to_ascii_uppercase(),
        path: path.into(),
        query: query.into(),
        headers: owned(parsed.headers),
        body: Vec::new(),
    };
    Ok(Some((req, used)))
}

fn parse_answer(buf: &[u8]) -> io::Result<Option<(Answer, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(buf).map_err(|err| invalid(&err.to_string()))?;
    let httparse::Status::Complete(used) = status else {
        return check_head(buf).map(|()| None);
    };
    let answer = Answer {
        status: parsed.code.unwrap_or(0),
        headers: owned(parsed.headers),
        body: Vec::new(),
    };
    Ok(Some((answer, used)))
}

fn check_head(buf: &[u8]) -> io::Result<()> {
    if buf.len() > HEAD_BYTES {
        return Err(invalid("the head is over the limit"));
    }
    Ok(())
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<Header> {
    headers
        .iter()
        .map(|header| Header {
            name: header.name.into(),
            value: String::from_utf8_lossy(header.value).into_owned(),
        })
        .collect()
}

fn body_length(headers: &[Header]) -> io::Result<Option<Length>> {
    let chunked = header(headers, "transfer-encoding").is_some();
    if chunked {
        return Ok(Some(Length::Chunked));
    }
    let Some(value) = header(headers, "content-length") else {
        return Ok(None);
    };
    let bytes = value.trim().parse();
    bytes
        .map(|bytes| Some(Length::Bytes(bytes)))
        .map_err(|_| invalid("a malformed content length"))
}

fn answer_length(answer: &Answer) -> io::Result<Length> {
    if matches!(answer.status, 100..200 | 204 | 304) {
        return Ok(Length::Bytes(0));
    }
    Ok(body_length(&answer.headers)?.unwrap_or(Length::UntilClose))
}

/// A blocking socket tells its timeout as `WouldBlock` on some systems.
fn timed_out(err: io::Error) -> io::Error {
    match err.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => err,
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
