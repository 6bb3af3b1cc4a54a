//! One caller's connection.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Buf, BytesMut};

use crate::{
    Answer, Budget, ReadError, Request,
    parts::Parts,
    request::{self, Framing, Head},
};

/// Bytes read from the socket at a time.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that are written at a time; each such write is progress.
const WRITE_BYTES: usize = 64 * 1024;
/// Bytes that are read and dropped after the last answer.
const LINGER_BYTES: usize = 1 << 20;
/// The longest chunk-size line, in bytes.
const CHUNK_LINE_BYTES: usize = 64;

/// What a connection accepts.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The most header lines.
    pub header_lines: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time from a request's first byte to its last.
    pub receive: Duration,
    /// The longest time that a reader may take no byte of an answer.
    pub send: Duration,
    /// How long a read waits before [`Incoming::Idle`] is told.
    pub poll: Duration,
    /// How long the other side has to close after the last answer.
    pub linger: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            header_lines: 64,
            body_bytes: 1 << 20,
            receive: Duration::from_secs(10),
            send: Duration::from_secs(30),
            poll: Duration::from_millis(200),
            linger: Duration::from_secs(1),
        }
    }
}

/// What came from the caller.
#[derive(Debug)]
pub enum Incoming {
    /// A whole request.
    Request(Request),
    /// Nothing within [`Limits::poll`].
    Idle,
    /// The caller has closed the connection between requests.
    Closed,
}

/// A caller's connection.
#[derive(Debug)]
pub struct Connection {
    stream: Arc<TcpStream>,
    buf: BytesMut,
    limits: Limits,
    started: Option<Instant>,
    budget: Arc<Budget>,
}

impl Connection {
    /// Takes a connection over.
    ///
    /// # Errors
    ///
    /// Where the socket's options cannot be set.
    pub fn new(stream: TcpStream, limits: Limits) -> io::Result<Self> {
        Self::with_budget(stream, limits, &Budget::new(usize::MAX))
    }

    /// Like [`Connection::new`], with a budget that connections share.
    ///
    /// # Errors
    ///
    /// Where the socket's options cannot be set.
    pub fn with_budget(
        stream: TcpStream,
        limits: Limits,
        budget: &Arc<Budget>,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limits.poll))?;
        stream.set_write_timeout(Some(limits.send))?;
        Ok(Self {
            stream: Arc::new(stream),
            buf: BytesMut::new(),
            limits,
            started: None,
            budget: Arc::clone(budget),
        })
    }

    /// Reads the next request.
    ///
    /// # Errors
    ///
    /// After an error only an answer and [`Connection::close`] may follow.
    pub fn read(&mut self) -> Result<Incoming, ReadError> {
        self.started = (!self.buf.is_empty()).then(Instant::now);
        let head = loop {
            if let Some(head) = self.parse_head()? {
                break head;
            }
            match self.fill()? {
                Fill::Bytes => {}
                Fill::Nothing if self.buf.is_empty() => return Ok(Incoming::Idle),
                Fill::Nothing => self.check_pace()?,
                Fill::End if self.buf.is_empty() => return Ok(Incoming::Closed),
                Fill::End => return Err(ReadError::CutOff),
            }
        };
        self.buf.advance(head.len);
        if head.expect_continue {
            (&*self.stream)
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(ReadError::Io)?;
        }
        let body = match head.framing {
            Framing::Length(len) => self.read_sized(len),
            Framing::Chunked => self.read_chunked(),
        };
        let body = body.inspect_err(|_| self.drop_body())?;
        Ok(Incoming::Request(Request {
            body: body.finish()?,
            ..head.request
        }))
    }

    /// Writes a whole answer; `keep_alive` is told to the caller.
    ///
    /// # Errors
    ///
    /// Where the caller is gone or reads too slowly; the connection is of no more use then.
    pub fn write(&mut self, answer: &Answer, keep_alive: bool, with_body: bool) -> io::Result<()> {
        let share = self.budget.share(&self.stream, Shutdown::Both);
        if !share.hold(answer.body.len()) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        let head = answer.encode_head(keep_alive);
        let body: &[u8] = if with_body { answer.sent_body() } else { &[] };
        if body.len() <= WRITE_BYTES {
            return (&*self.stream).write_all(&[&head, body].concat());
        }
        (&*self.stream).write_all(&head)?;
        for piece in body.chunks(WRITE_BYTES) {
            (&*self.stream).write_all(piece)?;
            share.hold(answer.body.len());
        }
        Ok(())
    }

    /// Gives up a request that can't be read.
    fn drop_body(&mut self) {
        self.buf = BytesMut::new();
    }

    /// Whether the caller has closed its side, as far as can be seen without reading on.
    #[must_use]
    pub fn is_closed_by_caller(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        let closed = match seen {
            Ok(len) => len == 0,
            Err(err) => !is_timeout(&err),
        };
        closed || restored.is_err()
    }

    /// Closes without cutting off an answer on its way: tells the end, then waits for the
    /// caller's end or [`Limits::linger`].
    pub fn close(self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let until = Instant::now() + self.limits.linger;
        let mut dropped = 0;
        let mut buf = [0; READ_BYTES];
        while Instant::now() < until && dropped < LINGER_BYTES {
            match (&*self.stream).read(&mut buf) {
                Ok(0) => return,
                Ok(len) => dropped += len,
                Err(err) if is_timeout(&err) => {}
                Err(_) => return,
            }
        }
    }

    fn parse_head(&self) -> Result<Option<Head>, ReadError> {
        let window = &self.buf[..self.buf.len().min(self.limits.head_bytes)];
        let head = request::parse(window, self.limits.header_lines)?;
        if head.is_none() && self.buf.len() >= self.limits.head_bytes {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(head)
    }

    fn read_sized(&mut self, len: usize) -> Result<Parts, ReadError> {
        if len > self.limits.body_bytes {
            return Err(ReadError::BodyTooLarge);
        }
        let mut body = Parts::new(&self.budget);
        self.read_into(&mut body, len)?;
        Ok(body)
    }

    fn read_chunked(&mut self) -> Result<Parts, ReadError> {
        let mut body = Parts::new(&self.budget);
        loop {
            let (line, len) = self.read_chunk_size()?;
            if len > self.limits.body_bytes - body.len() {
                return Err(ReadError::BodyTooLarge);
            }
            self.buf.advance(line);
            if len == 0 {
                self.read_trailer()?;
                return Ok(body);
            }
            let end = body.len() + len;
            self.read_into(&mut body, end)?;
            self.need(2)?;
            if self.buf.split_to(2) != b"\r\n"[..] {
                return Err(ReadError::Malformed("chunk"));
            }
        }
    }

    /// The length of the next chunk's size line and the size that it tells.
    fn read_chunk_size(&mut self) -> Result<(usize, usize), ReadError> {
        loop {
            match httparse::parse_chunk_size(&self.buf) {
                Ok(httparse::Status::Complete((line, len))) => {
                    let len = usize::try_from(len).map_err(|_| ReadError::BodyTooLarge)?;
                    return Ok((line, len));
                }
                Ok(httparse::Status::Partial) if self.buf.len() <= CHUNK_LINE_BYTES => {
                    self.need(self.buf.len() + 1)?;
                }
                _ => return Err(ReadError::Malformed("chunk size")),
            }
        }
    }

    /// Reads and drops the trailer section.
    fn read_trailer(&mut self) -> Result<(), ReadError> {
        let mut read = 0;
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buf.advance(2);
                    return Ok(());
                }
                Some(len) => {
                    self.buf.advance(len + 2);
                    read += len + 2;
                }
                None => self.need(self.buf.len() + 1)?,
            }
            if read + self.buf.len() > self.limits.head_bytes {
                return Err(ReadError::HeadTooLarge);
            }
        }
    }

    /// Reads until the body has `len` bytes.
    fn read_into(&mut self, body: &mut Parts, len: usize) -> Result<(), ReadError> {
        while body.len() < len {
            if self.buf.is_empty() {
                match self.need(1) {
                    Err(ReadError::CutOff) if body.is_closed() => return Err(ReadError::NoRoom),
                    read => read?,
                }
            }
            let more = (len - body.len()).min(self.buf.len());
            let share = || self.budget.share(&self.stream, Shutdown::Read);
            body.extend(&self.buf[..more], share)?;
            self.buf.advance(more);
        }
        Ok(())
    }

    /// Reads until `len` bytes are buffered.
    fn need(&mut self, len: usize) -> Result<(), ReadError> {
        while self.buf.len() < len {
            match self.fill()? {
                Fill::Bytes | Fill::Nothing => self.check_pace()?,
                Fill::End => return Err(ReadError::CutOff),
            }
        }
        Ok(())
    }

    fn check_pace(&self) -> Result<(), ReadError> {
        let slow = self
            .started
            .is_some_and(|started| started.elapsed() > self.limits.receive);
        if slow { Err(ReadError::Slow) } else { Ok(()) }
    }

    fn fill(&mut self) -> Result<Fill, ReadError> {
        let mut buf = [0; READ_BYTES];
        match (&*self.stream).read(&mut buf) {
            Ok(0) => Ok(Fill::End),
            Ok(len) => {
                self.started.get_or_insert_with(Instant::now);
                self.buf.extend_from_slice(&buf[..len]);
                Ok(Fill::Bytes)
            }
            Err(err) if is_timeout(&err) => Ok(Fill::Nothing),
            Err(err) if err.kind() == ErrorKind::ConnectionReset && self.buf.is_empty() => {
                Ok(Fill::End)
            }
            Err(err) => Err(ReadError::Io(err)),
        }
    }
}

enum Fill {
    Bytes,
    Nothing,
    End,
}

fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
