//! A request and the reading of its head.

use bytes::Bytes;

use crate::{Headers, ReadError, headers::Header};

/// A whole request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// The header lines.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
    /// Whether the caller wants to go on using the connection.
    pub keep_alive: bool,
}

impl Request {
    /// The target up to its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// How the body of a request is delimited (RFC 9112, section 6).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
}

/// A request head and its length in bytes.
pub(crate) struct Head {
    pub request: Request,
    pub framing: Framing,
    pub expect_continue: bool,
    pub len: usize,
}

/// Reads a head from the start of `buf`; `None` where it is not whole yet.
pub(crate) fn parse(buf: &[u8], max_headers: usize) -> Result<Option<Head>, ReadError> {
    let mut lines = vec![httparse::EMPTY_HEADER; max_headers];
    let mut parsed = httparse::Request::new(&mut lines);
    let len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed("head")),
    };
    let headers = headers(parsed.headers)?;
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = target(parsed.path.unwrap_or_default())?;
    let keep_alive = keep_alive(parsed.version, &headers);
    let framing = framing(&headers)?;
    let expect_continue = headers.has_token("expect", "100-continue");
    let request = Request {
        method,
        target,
        headers,
        body: Bytes::new(),
        keep_alive,
    };
    Ok(Some(Head {
        request,
        framing,
        expect_continue,
        len,
    }))
}

fn headers(lines: &[httparse::Header<'_>]) -> Result<Headers, ReadError> {
    let read = |line: &httparse::Header<'_>| {
        let value = std::str::from_utf8(line.value).ok()?;
        Some(Header {
            name: line.name.to_owned(),
            value: value.to_owned(),
        })
    };
    lines
        .iter()
        .map(read)
        .collect::<Option<_>>()
        .ok_or(ReadError::Malformed("header value"))
}

/// Origin form is taken as it is; absolute form loses scheme and authority (RFC 9112, 3.2.2).
fn target(path: &str) -> Result<String, ReadError> {
    if path.starts_with('/') {
        return Ok(path.to_owned());
    }
    let rest = path
        .strip_prefix("http://")
        .ok_or(ReadError::Malformed("target"))?;
    let start = rest.find('/').ok_or(ReadError::Malformed("target"))?;
    Ok(rest[start..].to_owned())
}

fn keep_alive(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

/// Both a length and chunks, or two different lengths, are refused: a sign of request smuggling.
fn framing(headers: &Headers) -> Result<Framing, ReadError> {
    let chunked = headers.has_token("transfer-encoding", "chunked");
    if headers.get("transfer-encoding").is_some() && !chunked {
        return Err(ReadError::Malformed("transfer encoding"));
    }
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(if chunked {
            Framing::Chunked
        } else {
            Framing::Length(0)
        });
    };
    if chunked || lengths.any(|other| other != first) {
        return Err(ReadError::Malformed("body length"));
    }
    let digits_only = first.bytes().all(|byte| byte.is_ascii_digit());
    let len = first.parse().ok().filter(|_| digits_only);
    len.map(Framing::Length)
        .ok_or(ReadError::Malformed("body length"))
}
