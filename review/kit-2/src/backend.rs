//! A backend server that leaves as the pages say: its health path answers 503 from then on, and it
//! goes on serving until it exits.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cassiashunt_standin::site::{Request, ask};

/// How long a call to the node may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a server that crashed is away; "the backend is back after some seconds".
const AWAY: Duration = Duration::from_secs(2);
/// The part of the path of requests that crash each server that begins to run them.
pub const CRASHING: &str = "/crashing-";

/// A run: the id of the attempt, and when it began.
pub type Run = (String, Instant);

/// A backend server.
#[derive(Clone)]
pub struct Backend {
    id: String,
    service: &'static str,
    address: SocketAddr,
    born: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    /// How long it works on a request, in milliseconds.
    work_ms: Arc<AtomicU64>,
    is_leaving: Arc<AtomicBool>,
    is_paused: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
    is_away: Arc<AtomicBool>,
    /// Connections that are open.
    open: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Backend {
    /// Starts one of a service on a free port.
    pub fn start(id: &str, service: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr()?,
            born: Arc::new(AtomicU64::new(unix_ms())),
            sequence: Arc::default(),
            work_ms: Arc::default(),
            is_leaving: Arc::default(),
            is_paused: Arc::default(),
            is_gone: Arc::default(),
            is_away: Arc::default(),
            open: Arc::default(),
            runs: Arc::default(),
        };
        let accepting = backend.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(backend)
    }

    /// Takes connections in, over crashes.
    fn accept(&self, mut listener: TcpListener) {
        loop {
            for stream in listener.incoming().flatten() {
                if self.is_gone() {
                    return;
                }
                if self.is_away() {
                    break;
                }
                if let (Ok(clone), Ok(mut open)) = (stream.try_clone(), self.open.lock()) {
                    open.push(clone);
                }
                let serving = self.clone();
                thread::spawn(move || serving.serve(&stream));
            }
            drop(listener);
            thread::sleep(AWAY);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            // A new start under its id: its counts begin anew.
            self.born.store(unix_ms(), Ordering::Relaxed);
            self.sequence.store(0, Ordering::Relaxed);
            self.is_away.store(false, Ordering::Relaxed);
        }
    }

    /// Crashes: its connections end, new ones are refused, and it is back after some time.
    fn crash(&self) {
        self.is_away.store(true, Ordering::Relaxed);
        let open = self.open.lock().map(|mut it| std::mem::take(&mut *it));
        for stream in open.unwrap_or_default() {
            // One that is closed already needs no end.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Whether it has crashed and is not back.
    pub fn is_away(&self) -> bool {
        self.is_away.load(Ordering::Relaxed)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its service.
    pub fn service(&self) -> &'static str {
        self.service
    }

    /// It works so long on each request from now on.
    pub fn set_work(&self, work: Duration) {
        let millis = u64::try_from(work.as_millis()).unwrap_or(u64::MAX);
        self.work_ms.store(millis, Ordering::Relaxed);
    }

    /// What it began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().map(|it| it.clone()).unwrap_or_default()
    }

    /// Its reports are made and sent by the case from now on.
    pub fn pause_reports(&self) {
        self.is_paused.store(true, Ordering::Relaxed);
    }

    /// Whether its reports are sent as usual.
    pub fn is_reporting(&self) -> bool {
        !self.is_paused.load(Ordering::Relaxed) && !self.is_leaving()
    }

    /// Whether it has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Makes the next status report: its body.
    pub fn report(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (address, service) = (self.address, self.service);
        let born = self.born.load(Ordering::Relaxed);
        format!(
            r#"{{"address":"{address}","born":{born},"details":{{"service":"{service}","version":"v1","zone":"ikeja","slots":72}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_ms":0}}}}"#
        )
    }

    /// Sends a status report, and returns the status of the answer.
    pub fn send(&self, control: SocketAddr, report: &str) -> io::Result<u16> {
        self.call(control, "instances.heartbeat", report)
    }

    /// Announces that it leaves, and returns the status of the answer. It is not healthy any more.
    pub fn leave(&self, control: SocketAddr) -> io::Result<u16> {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.call(control, "instances.leave", "{}")
    }

    /// Exits.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }

    fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Relaxed)
    }

    fn call(&self, control: SocketAddr, call: &str, body: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&control, CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        let request = Request {
            method: "POST",
            target: format!("/-/rpc?call={call}&of={}", self.id),
            headers: vec![("Content-Type".into(), "application/json".into())],
            body: body.as_bytes().to_vec(),
            ..Request::default()
        };
        Ok(ask(&mut stream, &request.encode())?.status)
    }

    fn serve(&self, mut stream: &TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Some(head) = read_request(&mut reader) {
            if self.is_gone() {
                return;
            }
            if self.is_away() {
                return;
            }
            let answer = self.answer(&head);
            if head[0].contains(CRASHING) {
                return self.crash();
            }
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &[String]) -> String {
        let target = head[0].split(' ').nth(1).unwrap_or_default();
        if target == "/health" {
            let status = if self.is_leaving() { 503 } else { 200 };
            let id = &self.id;
            return format!(
                "HTTP/1.1 {status} Health\r\nX-Instance-Id: {id}\r\nX-Server-Load: 0,0,72\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let attempt = field(head, "x-attempt-id").unwrap_or_default();
        if field(head, "x-expected-instance").is_some_and(|it| it != self.id) {
            let id = &self.id;
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if let Ok(mut runs) = self.runs.lock() {
            runs.push((attempt.to_owned(), Instant::now()));
        }
        thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Relaxed)));
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s.{attempt}\r\nX-Server-Load: 1,0,72\r\nContent-Length: 2\r\n\r\nok"
        )
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// The lines of a request's head; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        head.push(line.to_owned());
    }
    let length = field(&head, "content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    (!head.is_empty()).then_some(head)
}

fn field<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let pairs = head.iter().filter_map(|line| line.split_once(':'));
    let mut found = pairs.filter(|(it, _)| it.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}
