//! An answer and its writing.

use bytes::{BufMut, Bytes, BytesMut};

use crate::Headers;

/// Bytes set aside for an answer's head.
const HEAD_BYTES: usize = 512;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Header lines; length and connection are added in writing.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// An answer without headers or body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::default(),
            body: Bytes::new(),
        }
    }

    /// The body that is sent with this status.
    pub(crate) fn sent_body(&self) -> &[u8] {
        if is_bodiless(self.status) {
            &[]
        } else {
            &self.body
        }
    }

    /// The bytes of the head. The length is always told, so that a cut shows.
    pub(crate) fn encode_head(&self, keep_alive: bool) -> BytesMut {
        let mut buf = BytesMut::with_capacity(HEAD_BYTES);
        buf.put_slice(format!("HTTP/1.1 {} {}\r\n", self.status, phrase(self.status)).as_bytes());
        for line in &self.headers {
            buf.put_slice(line.name.as_bytes());
            buf.put_slice(b": ");
            buf.put_slice(line.value.as_bytes());
            buf.put_slice(b"\r\n");
        }
        if !is_bodiless(self.status) {
            buf.put_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        let connection: &[u8] = if keep_alive { b"keep-alive" } else { b"close" };
        buf.put_slice(b"Connection: ");
        buf.put_slice(connection);
        buf.put_slice(b"\r\n\r\n");
        buf
    }
}

fn is_bodiless(status: u16) -> bool {
    matches!(status, 100..=199 | 204 | 304)
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        499 => "Client Closed Request",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
