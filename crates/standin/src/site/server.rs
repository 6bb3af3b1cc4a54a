//! An application server: it runs requests, calls others through its node, and misbehaves on
//! demand.

use std::{
    collections::VecDeque,
    io::{self, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, Weak},
    thread,
    time::{Duration, Instant},
};

use super::{
    client::{Request, ask, open},
    wire::{self, Message},
};

/// What the server does with a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers whole.
    #[default]
    Serve,
    /// Says that it did not run it.
    Shed,
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Answers with a shorter body than announced.
    Truncate,
    /// Answers without a signature.
    Unsigned,
    /// Sends an answer to another request before its own.
    StaleFirst,
    /// Sends bytes after its answer.
    Extra,
    /// Runs it for so long.
    Slow(Duration),
    /// Runs it for so long, and answers with a body of so many bytes.
    Long(Duration, usize),
    /// Answers before it has read the body, and keeps the connection.
    Early,
    /// Answers without a length and closes.
    Unframed,
    /// Answers without a length, and resets the connection within the body.
    UnframedReset,
    /// Runs it, and sends these bytes, and then others over and over until the caller closes.
    Endless {
        /// What comes once.
        first: Vec<u8>,
        /// What comes over and over.
        then: Vec<u8>,
        /// The pause between two pieces.
        pause: Duration,
    },
    /// Answers whole, and sends the same answer once more after so long, on the same connection.
    LateCopy(Duration),
    /// Says that it did not run it, in an answer without the attempt's id.
    ShedWithoutId,
    /// Sends these bytes, which may be an earlier answer once more, then runs it for so long and
    /// answers whole.
    After {
        /// What comes first.
        first: Vec<u8>,
        /// How long it runs.
        runs: Duration,
    },
    /// Answers whole, and sends these bytes after so long, on the same connection.
    Then {
        /// What comes later.
        late: Vec<u8>,
        /// How much later.
        after: Duration,
    },
    /// Runs it, sends only these bytes, and closes the connection.
    Cut {
        /// What is sent.
        sent: Vec<u8>,
        /// The bytes come one at a time.
        is_slow: bool,
        /// The connection is reset instead of closed in order.
        is_reset: bool,
    },
}

impl Behaviour {
    /// How long a request runs.
    fn span(&self) -> Duration {
        match self {
            Self::Slow(span) | Self::Long(span, _) => *span,
            _ => Duration::ZERO,
        }
    }

    /// Bytes without end after the head of an answer to a request; `head` has its end, or not.
    #[must_use]
    pub fn endless(head: &str, then: &[u8], pause: Duration) -> Self {
        Self::Endless {
            first: head.into(),
            then: then.into(),
            pause,
        }
    }
}

/// Stands for the id of the attempt in the bytes of [`Behaviour::Endless`] and [`Behaviour::Cut`].
pub const ATTEMPT: &str = "{attempt}";
/// How long a request is left unread after [`Server::send_before_reading`].
const READING_DELAY: Duration = Duration::from_millis(100);
/// The most that an endless answer sends, for callers that never close.
const ENDLESS_BYTES: usize = 2 << 30;

/// A request that the server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The id of the attempt.
    pub attempt: String,
    /// Its head's first line.
    pub first_line: String,
    /// Its fields.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// When it began.
    pub at: Instant,
    /// How long the server works on it.
    pub takes: Duration,
    /// Whether the caller's connection closed before the answer.
    pub is_abandoned: bool,
}

impl Run {
    /// The first value of a field.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        wire::header(&self.headers, name)
    }
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    /// What is done with the next requests; then they are served.
    next: VecDeque<Behaviour>,
    usual: Behaviour,
    /// Probes of its health get no answer.
    is_silent: bool,
    /// It says that it is cold until then.
    cold_until: Option<Instant>,
    /// Calls made through the node for each request: host and path.
    calls: Vec<(String, String)>,
    crash: Option<Crash>,
    /// The server has crashed and is away.
    is_away: bool,
    /// How often it started again.
    restarts: u64,
    /// Sent before the next request is read.
    early: Option<Vec<u8>>,
    /// Its connections, to be closed at a crash.
    open: Vec<Weak<TcpStream>>,
}

/// What makes the server end, and for how long.
#[derive(Debug, Clone)]
struct Crash {
    /// A part of the first line of the requests under which it ends.
    under: String,
    away: Duration,
    /// Its connections stay open, and nothing is heard on them.
    is_silent: bool,
}

/// An application server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Errors
    ///
    /// Where no port is free.
    pub fn start(id: &str, node: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            inner: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener, node));
        Ok(server)
    }

    /// Takes connections in, over crashes.
    fn accept(&self, mut listener: TcpListener, node: SocketAddr) {
        loop {
            for stream in listener.incoming().flatten() {
                if self.is_away() && !self.is_crash_silent() {
                    break;
                }
                let stream = Arc::new(stream);
                self.lock().open.push(Arc::downgrade(&stream));
                let server = self.clone();
                thread::spawn(move || server.serve(&stream, node));
            }
            drop(listener);
            let away = self.lock().crash.as_ref().map(|it| it.away);
            thread::sleep(away.unwrap_or_default());
            listener = TcpListener::bind(self.address).expect("the port stays the server's");
            let mut inner = self.lock();
            inner.is_away = false;
            inner.restarts += 1;
        }
    }

    /// Ends under each request whose first line has this part in it, and starts again after a while.
    pub fn crash_under(&self, part: &str, away: Duration) {
        self.lock().crash = Some(Crash {
            under: part.into(),
            away,
            is_silent: false,
        });
    }

    /// The same, but like a machine that lost its power: its connections are not seen to end.
    pub fn fall_silent_under(&self, part: &str, away: Duration) {
        self.lock().crash = Some(Crash {
            under: part.into(),
            away,
            is_silent: true,
        });
    }

    fn is_crash_silent(&self) -> bool {
        self.lock().crash.as_ref().is_some_and(|it| it.is_silent)
    }

    /// Whether it has crashed and has not started again.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.lock().is_away
    }

    /// Closes all connections and refuses new ones, or lets them hang.
    fn crash(&self) {
        if self.is_crash_silent() {
            return self.hang();
        }
        let open = {
            let mut inner = self.lock();
            inner.is_away = true;
            std::mem::take(&mut inner.open)
        };
        for stream in open.iter().filter_map(Weak::upgrade) {
            // One that is closed already needs no end.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it does with the next request; each call adds one.
    pub fn do_next(&self, behaviour: Behaviour) {
        self.lock().next.push_back(behaviour);
    }

    /// Sends these bytes when the next request begins to arrive, and reads it a while later.
    pub fn send_before_reading(&self, early: &[u8]) {
        self.lock().early = Some(early.to_vec());
    }

    /// What it does with all others.
    pub fn set_usual(&self, behaviour: Behaviour) {
        self.lock().usual = behaviour;
    }

    /// Whether probes of its health get no answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }

    /// It says from now on that it is cold for so long.
    pub fn set_cold_for(&self, span: Duration) {
        self.lock().cold_until = Some(Instant::now() + span);
    }

    /// How many milliseconds longer it is cold.
    fn cold_ms(&self) -> u64 {
        let until = self.lock().cold_until;
        let left = until.map_or(Duration::ZERO, |it| {
            it.saturating_duration_since(Instant::now())
        });
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// What it calls for each request.
    pub fn set_calls(&self, calls: &[(&str, &str)]) {
        let calls = calls
            .iter()
            .map(|(host, path)| ((*host).into(), (*path).into()));
        self.lock().calls = calls.collect();
    }

    /// The requests that it began to run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Forgets the requests that it began to run.
    pub fn forget_runs(&self) {
        self.lock().runs.clear();
    }

    /// Sends a heartbeat to its node, and returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Where the node can't be reached.
    pub fn beat(
        &self,
        control: SocketAddr,
        service: &str,
        state: &str,
        sequence: u64,
    ) -> io::Result<u16> {
        let body = serde_json::json!({
            "address": self.address.to_string(),
            "born": 1 + self.lock().restarts,
            "details": {"service": service, "version": "v1", "zone": "east", "slots": 8},
            "status": {"state": state, "sequence": sequence, "warmup_left_ms": self.cold_ms()},
        });
        self.call_node(control, "instances.heartbeat", body.to_string().as_bytes())
    }

    /// Tells its node that it leaves, and returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Where the node can't be reached.
    pub fn leave(&self, control: SocketAddr) -> io::Result<u16> {
        self.call_node(control, "instances.leave", b"")
    }

    fn call_node(&self, control: SocketAddr, call: &str, body: &[u8]) -> io::Result<u16> {
        let request = Request {
            method: "POST",
            target: format!("/-/rpc?call={call}&of={}", self.id),
            body: body.to_vec(),
            ..Request::default()
        };
        Ok(ask(&mut open(control)?, &request.encode())?.status)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Says nothing for a while, and then starts again.
    fn hang(&self) {
        let away = {
            let mut inner = self.lock();
            inner.is_away = true;
            inner.crash.as_ref().map(|it| it.away)
        };
        thread::sleep(away.unwrap_or_default());
        let mut inner = self.lock();
        inner.is_away = false;
        inner.restarts += 1;
    }

    fn serve(&self, stream: &TcpStream, node: SocketAddr) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let start = self.lock().restarts;
        // The end of the connection or a reset ends the serving.
        while self.is_ready_to_read(stream)
            && let Ok(Some(message)) = wire::read(&mut reader)
        {
            while self.is_away() {
                thread::sleep(Duration::from_millis(10));
            }
            if self.lock().restarts != start {
                return;
            }
            if !self.answer(stream, &message, node) {
                return;
            }
        }
    }

    /// Waits for a request where bytes are to be sent before it is read.
    fn is_ready_to_read(&self, mut stream: &TcpStream) -> bool {
        if self.lock().early.is_none() {
            return true;
        }
        let is_open = matches!(stream.peek(&mut [0]), Ok(1));
        let Some(early) = self.lock().early.take() else {
            return is_open;
        };
        let is_sent = is_open && stream.write_all(&early).is_ok();
        thread::sleep(READING_DELAY);
        is_sent
    }

    /// Answers one request; tells whether the connection is kept.
    fn answer(&self, mut stream: &TcpStream, message: &Message, node: SocketAddr) -> bool {
        if message.word(1) == "/health" && self.lock().is_silent {
            return false;
        }
        if message.word(1) == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nX-Server-Load: 0,0,8\r\nX-Warmup-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.cold_ms()
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let attempt = message
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if message
            .header("x-expected-instance")
            .is_some_and(|it| it != self.id)
        {
            return stream.write_all(&refusal(421, Some(&attempt))).is_ok();
        }
        let behaviour = {
            let mut inner = self.lock();
            let usual = inner.usual.clone();
            inner.next.pop_front().unwrap_or(usual)
        };
        let refused = match behaviour {
            Behaviour::Shed => Some(refusal(503, Some(&attempt))),
            Behaviour::ShedWithoutId => Some(refusal(503, None)),
            _ => None,
        };
        if let Some(bytes) = refused {
            return stream.write_all(&bytes).is_ok();
        }
        let run = self.begin(message, &attempt, behaviour.span());
        if self.ends_under(message) {
            self.crash();
            return false;
        }
        if !self.make_calls(&attempt, node) {
            return stream
                .write_all(&reply(500, &attempt, b"call failed"))
                .is_ok();
        }
        let body = format!("answer to {attempt}");
        let whole = reply(200, &attempt, body.as_bytes());
        match behaviour {
            Behaviour::LoseAnswer => false,
            Behaviour::Truncate => {
                // The end of the connection is the fault; nobody reads an error of this write.
                let _ = stream.write_all(&whole[..whole.len() - 5]);
                false
            }
            Behaviour::Unsigned => {
                let text =
                    String::from_utf8_lossy(&whole).replace("X-Response-Signature: s\r\n", "");
                stream.write_all(text.as_bytes()).is_ok()
            }
            Behaviour::StaleFirst => {
                let stale = reply(200, "another-attempt", b"answer to another");
                stream.write_all(&[stale, whole].concat()).is_ok()
            }
            Behaviour::Extra => {
                let extra = reply(200, &attempt, b"once more");
                stream.write_all(&[whole, extra].concat()).is_ok()
            }
            Behaviour::Slow(span) => {
                if self.is_abandoned_within(stream, span) {
                    self.lock().runs[run].is_abandoned = true;
                    return false;
                }
                stream.write_all(&whole).is_ok()
            }
            Behaviour::Long(span, bytes) => {
                thread::sleep(span);
                let whole = reply(200, &attempt, &vec![b'a'; bytes]);
                stream.write_all(&whole).is_ok()
            }
            Behaviour::Unframed => {
                let _ = stream.write_all(&unframed(&attempt, &body));
                false
            }
            Behaviour::UnframedReset => {
                let _ = stream.write_all(&unframed(&attempt, &body[..4]));
                thread::sleep(Duration::from_millis(30));
                reset(stream);
                false
            }
            Behaviour::Endless { first, then, pause } => {
                let first = String::from_utf8_lossy(&first).replace(ATTEMPT, &attempt);
                send_without_end(stream, first.as_bytes(), &then, pause);
                self.lock().runs[run].is_abandoned = true;
                false
            }
            Behaviour::LateCopy(span) => {
                let Ok(mut copy) = stream.try_clone() else {
                    return false;
                };
                let late = whole.clone();
                thread::spawn(move || {
                    thread::sleep(span);
                    // The caller may have closed.
                    let _ = copy.write_all(&late);
                });
                stream.write_all(&whole).is_ok()
            }
            Behaviour::After { first, runs } => {
                if stream.write_all(&first).is_err() {
                    return false;
                }
                thread::sleep(runs);
                stream.write_all(&whole).is_ok()
            }
            Behaviour::Then { late, after } => {
                let Ok(mut copy) = stream.try_clone() else {
                    return false;
                };
                thread::spawn(move || {
                    thread::sleep(after);
                    // The caller may have closed.
                    let _ = copy.write_all(&late);
                });
                stream.write_all(&whole).is_ok()
            }
            Behaviour::Cut {
                sent,
                is_slow,
                is_reset,
            } => {
                let sent = String::from_utf8_lossy(&sent).replace(ATTEMPT, &attempt);
                let piece = if is_slow { 1 } else { sent.len().max(1) };
                for bytes in sent.as_bytes().chunks(piece) {
                    // The end of the connection is the fault; nobody reads an error of this write.
                    let _ = stream.write_all(bytes);
                    if is_slow {
                        thread::sleep(Duration::from_millis(1));
                    }
                }
                if is_reset {
                    thread::sleep(Duration::from_millis(30));
                    reset(stream);
                }
                false
            }
            Behaviour::Serve | Behaviour::Early | Behaviour::Shed | Behaviour::ShedWithoutId => {
                stream.write_all(&whole).is_ok()
            }
        }
    }

    fn begin(&self, message: &Message, attempt: &str, takes: Duration) -> usize {
        let mut inner = self.lock();
        inner.runs.push(Run {
            attempt: attempt.to_owned(),
            first_line: message.first_line.clone(),
            headers: message.headers.clone(),
            body: message.body.clone(),
            at: Instant::now(),
            takes,
            is_abandoned: false,
        });
        inner.runs.len() - 1
    }

    fn ends_under(&self, message: &Message) -> bool {
        let inner = self.lock();
        let crash = inner.crash.as_ref();
        crash.is_some_and(|it| message.first_line.contains(&it.under))
    }

    fn make_calls(&self, attempt: &str, node: SocketAddr) -> bool {
        let calls = self.lock().calls.clone();
        calls.into_iter().all(|(host, target)| {
            let request = Request {
                host,
                target,
                attempt: format!("{attempt}.{:08x}", fastrand::u32(..)),
                ..Request::default()
            };
            let answer = open(node).and_then(|mut stream| ask(&mut stream, &request.encode()));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Works for `span`, and tells whether the caller closed its connection meanwhile.
    fn is_abandoned_within(&self, mut stream: &TcpStream, span: Duration) -> bool {
        let until = Instant::now() + span;
        let mut byte = [0];
        while Instant::now() < until {
            if stream
                .set_read_timeout(Some(Duration::from_millis(20)))
                .is_err()
            {
                return true;
            }
            match stream.read(&mut byte) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(err)
                    if matches!(
                        err.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return true,
            }
        }
        stream.set_read_timeout(None).is_err()
    }
}

fn reply(status: u16, attempt: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Word\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Says that a request was not run; 421 says so by itself.
#[must_use]
pub fn refusal(status: u16, attempt: Option<&str>) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Word\r\nContent-Length: 0\r\n");
    if status != 421 {
        head.push_str("X-Not-Executed: 1\r\n");
    }
    if let Some(attempt) = attempt {
        head.push_str(&format!("X-Attempt-Id: {attempt}\r\n"));
    }
    head.push_str("\r\n");
    head.into_bytes()
}

fn unframed(attempt: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s\r\n\r\n{body}"
    );
    head.into_bytes()
}

/// Closes the connection by a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // Without the option the connection ends in order, and the test that asked for it fails.
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Sends until the caller closes.
fn send_without_end(mut stream: &TcpStream, first: &[u8], then: &[u8], pause: Duration) {
    if stream.write_all(first).is_err() {
        return;
    }
    let mut sent = 0;
    while sent < ENDLESS_BYTES && stream.write_all(then).is_ok() {
        sent += then.len();
        thread::sleep(pause);
    }
}
