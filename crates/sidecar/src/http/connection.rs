//! Reads and writes the messages of one HTTP/1.1 connection.

use std::{fmt, io, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::{
    Framing, RequestHead, ResponseHead, body_buffer::BodyBuffer, buffer_limit::BufferLimit,
    head::Malformed, receive_window::ReceiveWindow,
};
use crate::memory::Account;

/// Buffer space reserved for one read.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Bodies up to this length are sent in one write with their head.
const SMALL_BODY_BYTES: usize = 8 * 1024;
/// Heads of requests up to this length are read without being counted.
const SMALL_HEAD_BYTES: usize = 2 * 1024;
/// Bodies up to this length are read within the read buffer.
const READ_BODY_BYTES: usize = 4 * 1024;
/// The memory for each byte of a long head: the read buffer, which grows by doubling, and the copies of the
/// parsed fields.
const HEAD_COPIES: usize = 4;
/// Maximum length of a response's head.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of empty lines that are skipped before a message.
const MAX_EMPTY_LINES: usize = 8;
/// Maximum length of a chunk-size or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of bytes of pipelined requests that are read while one is being answered.
const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// How long to wait for the peer to close the connection after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same after an idle time: only a message that crosses the close can follow.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of trailer lines that are skipped.
const MAX_TRAILER_LINES: usize = 32;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection closed before the first byte of a message.
    Closed,
    /// The connection closed within a message.
    Truncated,
    /// The bytes are not a valid message; which part is not.
    Malformed(&'static str),
    /// The head is longer than the limit.
    HeadTooLong,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The bodies that are being read have reached the shared buffer limit.
    BufferLimitReached,
    /// The connection failed.
    Io(io::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("connection closed before a message"),
            Self::Truncated => f.write_str("connection closed within a message"),
            Self::Malformed(what) => write!(f, "malformed {what}"),
            Self::HeadTooLong => f.write_str("head too long"),
            Self::BodyTooLong => f.write_str("body too long"),
            Self::BufferLimitReached => f.write_str("shared buffer limit for bodies reached"),
            Self::Io(err) => err.fmt(f),
        }
    }
}

impl From<io::Error> for ReadError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

impl From<Malformed> for ReadError {
    fn from(err: Malformed) -> Self {
        Self::Malformed(err.0)
    }
}

/// A message to be sent. A long body is not copied behind its head.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    head: Vec<u8>,
    body: Bytes,
}

impl OutgoingMessage {
    pub(crate) fn new(mut head: Vec<u8>, mut body: Bytes) -> Self {
        if body.len() <= SMALL_BODY_BYTES {
            head.extend_from_slice(&body);
            body = Bytes::new();
        }
        Self { head, body }
    }

    /// The number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Bytes from this position on, up to the end of the head or of the body.
    fn from(&self, position: usize) -> &[u8] {
        match position.checked_sub(self.head.len()) {
            None => &self.head[position..],
            Some(position) => &self.body[position..],
        }
    }
}

/// A connection and its read buffer.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    /// `None` leaves the receive buffer to the kernel.
    window: Option<ReceiveWindow>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            window: None,
        }
    }

    /// A connection of a client, whose listener has the receive buffer of [`super::CLIENT_RECEIVE_BYTES`].
    pub(crate) fn from_client(stream: TcpStream) -> Self {
        Self {
            window: Some(ReceiveWindow::default()),
            ..Self::new(stream)
        }
    }

    /// Waits for the first byte of the next message.
    pub(crate) async fn wait_for_message(&mut self) -> Result<(), ReadError> {
        if self.buf.is_empty() && self.fill().await? == 0 {
            return Err(ReadError::Closed);
        }
        Ok(())
    }

    /// Reads the head of a request that is small; `None` for others, which are to be read with
    /// [`Connection::read_long_request_head`].
    pub(crate) async fn read_small_request_head(
        &mut self,
        max: usize,
    ) -> Result<Option<RequestHead>, ReadError> {
        let small = max.min(SMALL_HEAD_BYTES);
        match self.read_request_head(small).await {
            Err(ReadError::HeadTooLong) if small < max => Ok(None),
            read => read.map(Some),
        }
    }

    /// Reads the head of a request, which counts in an account. Returns the bytes that it counts for.
    pub(crate) async fn read_long_request_head(
        &mut self,
        max: usize,
        account: &mut Account,
    ) -> Result<(RequestHead, usize), ReadError> {
        let mut allowed = SMALL_HEAD_BYTES;
        loop {
            allowed = max.min(2 * allowed);
            let held = HEAD_COPIES * allowed;
            let counted = account.set_held(held);
            counted.map_err(|_| ReadError::BufferLimitReached)?;
            match self.read_request_head(allowed).await {
                Err(ReadError::HeadTooLong) if allowed < max => {}
                read => return read.map(|head| (head, held)),
            }
        }
    }

    /// Reads the head of a request.
    pub(crate) async fn read_request_head(&mut self, max: usize) -> Result<RequestHead, ReadError> {
        let end = self.head_end(max).await?;
        let head = self.buf.split_to(end);
        Ok(RequestHead::parse(&head)?)
    }

    /// Reads the head of an answer to a request with this method.
    pub(crate) async fn read_response_head(
        &mut self,
        method: &str,
    ) -> Result<ResponseHead, ReadError> {
        let end = self.head_end(MAX_RESPONSE_HEAD_BYTES).await?;
        let head = self.buf.split_to(end);
        Ok(ResponseHead::parse(&head, method)?)
    }

    /// Reads a complete body of at most `max` bytes.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        max: usize,
    ) -> Result<Bytes, ReadError> {
        self.read_body_within(framing, BufferLimit::unshared(max))
            .await
    }

    /// Reads a complete body within a buffer limit.
    pub(crate) async fn read_body_within(
        &mut self,
        framing: Framing,
        mut limit: BufferLimit<'_>,
    ) -> Result<Bytes, ReadError> {
        if let Some(body) = self.read_small_body(framing).await? {
            return Ok(body);
        }
        let body = self.read_long_body(framing, &mut limit).await?;
        Ok(limit.keep(body))
    }

    /// Reads a complete body that is known to be small; `None` for others, which are to be read with
    /// [`Connection::read_long_body`].
    pub(crate) async fn read_small_body(
        &mut self,
        framing: Framing,
    ) -> Result<Option<Bytes>, ReadError> {
        let Framing::Length(length) = framing else {
            return Ok(None);
        };
        if length > READ_BODY_BYTES {
            return Ok(None);
        }
        while self.buf.len() < length {
            if self.fill().await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
        Ok(Some(self.buf.split_to(length).freeze()))
    }

    /// Reads a complete body into a buffer of its own.
    pub(crate) async fn read_long_body(
        &mut self,
        framing: Framing,
        limit: &mut BufferLimit<'_>,
    ) -> Result<Bytes, ReadError> {
        let expected = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let mut body = BodyBuffer::new(expected);
        match framing {
            Framing::Length(length) => {
                limit.check(length)?;
                self.read_into(&mut body, length, limit).await?;
            }
            Framing::Chunked => self.read_chunks(&mut body, limit).await?,
            Framing::UntilClose => self.read_to_end(&mut body, limit).await?,
        }
        body.finish()
    }

    /// How many bytes the kernel may take in for a client beyond the usual.
    pub(crate) fn widened(&self) -> usize {
        self.window.as_ref().map_or(0, ReceiveWindow::widened)
    }

    /// Writes all bytes.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a message, and tells after each write how much of it is written.
    pub(crate) async fn write_message(
        &mut self,
        message: &OutgoingMessage,
        mut on_written: impl FnMut(usize),
    ) -> io::Result<()> {
        let mut written = 0;
        while written < message.len() {
            match self.stream.write(message.from(written)).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                count => written += count,
            }
            on_written(written);
        }
        Ok(())
    }

    /// Writes a request, from its byte at `written` on, while waiting for the head of its answer,
    /// since a server may answer before it has read the complete request. Also returns how many bytes
    /// of the request are written then.
    pub(crate) async fn exchange_head(
        &mut self,
        request: &OutgoingMessage,
        mut written: usize,
        method: &str,
    ) -> Result<(ResponseHead, usize), ReadError> {
        while written < request.len() {
            self.stream.writable().await?;
            match self.stream.try_write(request.from(written)) {
                Ok(count) => written += count,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    if self.has_leftover() {
                        break;
                    }
                    let is_answered = tokio::select! {
                        ready = self.stream.writable() => { ready?; false }
                        ready = self.stream.readable() => { ready?; true }
                    };
                    if is_answered && self.has_input()? {
                        break;
                    }
                }
                Err(err) => return Err(err.into()),
            }
        }
        let head = self.read_response_head(method).await?;
        Ok((head, written))
    }

    /// Resolves when the peer has closed the connection. Bytes received meanwhile are buffered.
    pub(crate) async fn wait_closed(&mut self) {
        loop {
            if self.buf.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether an idle connection is still open with nothing to read on it.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.buf.is_empty() && matches!(self.has_input(), Ok(false))
    }

    /// Whether unread bytes follow the last message.
    pub(crate) fn has_leftover(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Shuts the connection down gracefully: the peer can read the last answer before the drop.
    pub(crate) async fn finish(self) {
        self.finish_within(CLOSE_TIMEOUT).await;
    }

    /// Shuts an idle connection down gracefully.
    pub(crate) async fn finish_idle(self) {
        self.finish_within(IDLE_CLOSE_TIMEOUT).await;
    }

    /// Shuts the connection down, and drops it when the peer has closed its side or after `limit`.
    async fn finish_within(mut self, limit: Duration) {
        // An error means that the peer has disconnected already.
        let _ = self.stream.shutdown().await;
        // Dropping a socket with unread bytes resets the connection before the peer reads the
        // answer.
        let drained = async {
            loop {
                self.buf.clear();
                if matches!(self.fill().await, Ok(0) | Err(_)) {
                    return;
                }
            }
        };
        // A client that keeps sending is disconnected after the timeout.
        let _ = tokio::time::timeout(limit, drained).await;
    }

    /// Reads the available bytes without waiting; end of stream counts as input.
    fn has_input(&mut self) -> io::Result<bool> {
        self.buf.reserve(READ_BUFFER_BYTES);
        match self.stream.try_read_buf(&mut self.buf) {
            Ok(_) => Ok(true),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(err) => Err(err),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        // Waiting before the reservation leaves idle connections without a buffer.
        self.stream.readable().await?;
        self.buf.reserve(READ_BUFFER_BYTES);
        self.stream.read_buf(&mut self.buf).await
    }

    /// Reads on until the body has `length` bytes.
    async fn read_into(
        &mut self,
        body: &mut BodyBuffer,
        length: usize,
        limit: &mut BufferLimit<'_>,
    ) -> Result<(), ReadError> {
        while body.len() < length {
            limit.wait_for_closing().await;
            let left = length - body.len();
            let buffered = left.min(self.buf.len());
            if buffered > 0 {
                body.extend(&self.buf[..buffered], limit)?;
                self.buf.advance(buffered);
            } else if left <= READ_BUFFER_BYTES {
                // A chunk's end follows in the same read.
                if self.fill().await? == 0 {
                    return Err(ReadError::Truncated);
                }
            } else {
                self.stream.readable().await?;
                let space = body.space(left, limit)?;
                match self.stream.read(space).await? {
                    0 => return Err(ReadError::Truncated),
                    count => body.advance(count),
                }
            }
            limit.on_read(body.len());
            if let Some(window) = &mut self.window {
                window.widen(&self.stream, body.max_unread());
            }
        }
        Ok(())
    }

    async fn head_end(&mut self, max: usize) -> Result<usize, ReadError> {
        let mut searched = 0_usize;
        let mut empty_lines = 0;
        loop {
            // Skip empty lines before a message, as RFC 9112 section 2.2 asks.
            while searched == 0 && self.buf.starts_with(b"\r\n") {
                self.buf.advance(2);
                empty_lines += 1;
                if empty_lines > MAX_EMPTY_LINES {
                    return Err(ReadError::Malformed("empty lines"));
                }
            }
            let from = searched.saturating_sub(3);
            if let Some(at) = find(&self.buf[from..], b"\r\n\r\n") {
                let end = from + at + 4;
                return if end > max {
                    Err(ReadError::HeadTooLong)
                } else {
                    Ok(end)
                };
            }
            if find(&self.buf[from..], b"\n\n").is_some() {
                return Err(ReadError::Malformed("line end"));
            }
            searched = self.buf.len();
            if searched > max {
                return Err(ReadError::HeadTooLong);
            }
            if self.fill().await? == 0 {
                return Err(if self.buf.is_empty() {
                    ReadError::Closed
                } else {
                    ReadError::Truncated
                });
            }
        }
    }

    async fn read_chunks(
        &mut self,
        body: &mut BodyBuffer,
        limit: &mut BufferLimit<'_>,
    ) -> Result<(), ReadError> {
        loop {
            let line = self.read_line().await?;
            let size = chunk_size(&line)?;
            if size == 0 {
                return self.skip_trailers().await;
            }
            let length = body.len() + size;
            limit.check(length)?;
            self.read_into(body, length, limit).await?;
            while self.buf.len() < 2 {
                if self.fill().await? == 0 {
                    return Err(ReadError::Truncated);
                }
            }
            if !self.buf.starts_with(b"\r\n") {
                return Err(ReadError::Malformed("end of a chunk"));
            }
            self.buf.advance(2);
        }
    }

    async fn skip_trailers(&mut self) -> Result<(), ReadError> {
        for _ in 0..MAX_TRAILER_LINES {
            if self.read_line().await?.is_empty() {
                return Ok(());
            }
        }
        Err(ReadError::Malformed("trailers"))
    }

    /// Reads a line and strips its line end.
    async fn read_line(&mut self) -> Result<BytesMut, ReadError> {
        loop {
            if let Some(at) = find(&self.buf, b"\n") {
                if at == 0 || self.buf[at - 1] != b'\r' || at > MAX_CHUNK_LINE_BYTES {
                    return Err(ReadError::Malformed("line of a chunk"));
                }
                let mut line = self.buf.split_to(at + 1);
                line.truncate(at - 1);
                return Ok(line);
            }
            if self.buf.len() > MAX_CHUNK_LINE_BYTES {
                return Err(ReadError::Malformed("line of a chunk"));
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    /// Reads until the connection closes. A reset is an error, so that a truncated body is not
    /// taken for a complete one.
    async fn read_to_end(
        &mut self,
        body: &mut BodyBuffer,
        limit: &mut BufferLimit<'_>,
    ) -> Result<(), ReadError> {
        loop {
            body.extend(&self.buf, limit)?;
            self.buf.clear();
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    let mut windows = haystack.windows(needle.len());
    windows.position(|window| window == needle)
}

/// Parses a chunk-size line; extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, ReadError> {
    let malformed = ReadError::Malformed("size of a chunk");
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex || digits.len() > 8 {
        return Err(malformed);
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    usize::from_str_radix(text, 16).map_err(|_| malformed)
}
