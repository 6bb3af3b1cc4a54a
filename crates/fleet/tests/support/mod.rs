//! A fleet of six nodes in three failure domains, its callers, and what they saw.
#![allow(dead_code)]

use std::{
    fmt::Write as _,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cassiashunt_fleet::{Fleet, Options, ServerOptions};
use cassiashunt_node::settings::Times;
use cassiashunt_standin::server::{self, Child, Endpoint, ServiceTime, Spread};

pub const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];
/// The key of workspace `ward-7`.
pub const KEY: &str = "cassia_0123456789abcdef0123456789abcdef";
/// The key of workspace `ward-8`.
pub const OTHER_KEY: &str = "cassia_fedcba9876543210fedcba9876543210";

/// Two services, `rota` and `stores`, with a server in each failure domain; `GET /sections` and
/// `POST /sign-off` of rota each call `GET /stock` of stores.
pub fn options() -> Options {
    let stock = Child {
        path: "/stock".into(),
        ..Child::default()
    };
    let rota = [
        endpoint("/sections", 5.0, vec![stock.clone()]),
        endpoint("/sign-off", 5.0, vec![stock]),
        endpoint("/photos", 1.0, Vec::new()),
    ];
    let stores = [endpoint("/stock", 2.0, Vec::new())];
    let mut servers = Vec::new();
    for (service, endpoints) in [("rota", rota.to_vec()), ("stores", stores.to_vec())] {
        for domain in DOMAINS {
            servers.push(ServerOptions {
                service: label(service),
                domain: label(domain),
                standin: server::Options {
                    slots: 16,
                    endpoints: endpoints.clone(),
                    capture: true,
                    ..Default::default()
                },
            });
        }
    }
    Options {
        domains: DOMAINS.map(label).to_vec(),
        servers,
        times: Times {
            roster_write_ms: 500,
            roster_read_ms: 500,
            drain_accept_ms: 500,
            ..Times::default()
        },
        ..Options::default()
    }
}

fn endpoint(path: &str, mean_ms: f64, children: Vec<Child>) -> Endpoint {
    Endpoint {
        path: path.into(),
        service_time: ServiceTime {
            mean_ms,
            spread: Spread::Fixed,
            ..Default::default()
        },
        children,
        ..Default::default()
    }
}

pub fn label<T: std::str::FromStr>(name: &str) -> T {
    name.parse().ok().expect("the tests' names are labels")
}

/// A running fleet with its table and keys.
pub fn start() -> Fleet {
    start_with(options())
}

pub fn start_with(opts: Options) -> Fleet {
    log_to_output();
    let fleet = Fleet::start(opts).expect("the fleet comes together");
    for (endpoint, route, class) in [
        ("GET /sections", "sections", "read"),
        ("POST /sign-off", "sign-off", "sign-off"),
        ("GET /photos", "photos", "read"),
    ] {
        fleet
            .bind(endpoint, route, class, "rota")
            .expect("accepted");
    }
    fleet
        .bind("GET /stock", "stock", "read", "stores")
        .expect("accepted");
    fleet
        .set("*,sign-off,*", "priority", "255")
        .expect("accepted");
    fleet.give_key("ward-7", KEY).expect("accepted");
    fleet.give_key("ward-8", OTHER_KEY).expect("accepted");
    fleet
}

/// Prints log events to the test's output, which is shown where the test fails.
fn log_to_output() {
    if log::set_logger(&OutputLogger).is_ok() {
        log::set_max_level(log::LevelFilter::Debug);
    }
}

struct OutputLogger;

impl log::Log for OutputLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target().starts_with("cassiashunt")
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = format!("{} {}", now_micros(), record.level());
        // Writing to a string doesn't fail.
        let _ = record.key_values().visit(&mut Fields(&mut line));
        println!("{line} {}", record.args());
    }

    fn flush(&self) {}
}

/// Appends the fields of an event to a line.
struct Fields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(|_| log::kv::Error::msg("not formatted"))
    }
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    pub status: u16,
    /// `not-run` or `may-have-run`, where the system answered itself.
    pub verdict: Option<String>,
    /// The reason code, where the system answered itself.
    pub code: Option<String>,
    pub retry_after: Option<String>,
    pub closes: bool,
    pub digest: Option<String>,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }

    pub fn is_not_run(&self) -> bool {
        self.verdict.as_deref() == Some("not-run")
    }
}

/// A caller with connections of its own.
#[derive(Clone)]
pub struct Caller {
    agent: ureq::Agent,
    key: String,
}

impl Caller {
    pub fn new(key: &str) -> Self {
        let cfg = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(20)));
        Self {
            agent: cfg.build().new_agent(),
            key: key.into(),
        }
    }

    pub fn get(&self, addr: SocketAddr, target: &str) -> Result<Seen, String> {
        self.send(addr, "GET", target, &[])
    }

    /// Sends a request; an error is a connection that was cut or an answer that was not whole.
    pub fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
    ) -> Result<Seen, String> {
        let uri = format!("http://{addr}{target}");
        let mut req = ureq::http::Request::builder().method(method).uri(uri);
        if !self.key.is_empty() {
            req = req.header("Authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let sent = match method {
            "GET" => self.agent.run(req.body(()).expect("well formed")),
            _ => self.agent.run(req.body("the body").expect("well formed")),
        };
        let mut answer = sent.map_err(|err| err.to_string())?;
        let header = |name| {
            let value = answer.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let mut seen = Seen {
            status: answer.status().as_u16(),
            verdict: header("cassiashunt-verdict"),
            code: None,
            retry_after: header("retry-after"),
            closes: header("connection").as_deref() == Some("close"),
            digest: header("standin-digest"),
            body: Vec::new(),
        };
        let mut body = Vec::new();
        let read = answer.body_mut().as_reader().read_to_end(&mut body);
        read.map_err(|err| err.to_string())?;
        if seen.verdict.is_some() {
            let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            seen.code = problem["code"].as_str().map(str::to_owned);
        }
        seen.body = body;
        Ok(seen)
    }
}

/// Waits until `holds` does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !holds() {
        assert!(Instant::now() < until, "not within 30 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Every run of the fleet's servers.
pub fn runs(fleet: &Fleet) -> Vec<server::Record> {
    fleet
        .members
        .iter()
        .flat_map(|member| member.server.runs())
        .collect()
}

pub fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .members
        .iter()
        .map(|member| member.addresses.callers)
        .collect()
}

/// A way to the platform that can be shut: a relay of bytes on loopback.
pub struct Gate {
    listener: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    is_shut: Arc<AtomicBool>,
}

impl Gate {
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let addr = listener.local_addr().expect("the listener is bound");
        let target = Arc::new(Mutex::new(None));
        let is_shut = Arc::new(AtomicBool::new(false));
        let (to, shut) = (Arc::clone(&target), Arc::clone(&is_shut));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target: Option<SocketAddr> = *to.lock().expect("no holder panics");
                if let Some(target) = target {
                    pass(stream, target, &shut);
                }
            }
        });
        Self {
            listener: addr,
            target,
            is_shut,
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.listener)
    }

    pub fn shut(&self) {
        self.is_shut.store(true, Ordering::Release);
    }

    pub fn reopen(&self) {
        self.is_shut.store(false, Ordering::Release);
    }
}

/// Passes bytes both ways until the gate is shut.
fn pass(stream: TcpStream, target: SocketAddr, is_shut: &Arc<AtomicBool>) {
    if is_shut.load(Ordering::Acquire) {
        return;
    }
    let Ok(other) = TcpStream::connect(target) else {
        return;
    };
    let pairs = [
        (stream.try_clone(), other.try_clone()),
        (Ok(other), Ok(stream)),
    ];
    for (from, to) in pairs {
        let (Ok(mut from), Ok(mut to)) = (from, to) else {
            return;
        };
        let is_shut = Arc::clone(is_shut);
        std::thread::spawn(move || {
            let mut buf = [0; 16 * 1024];
            while let Ok(len) = from.read(&mut buf) {
                if len == 0 || is_shut.load(Ordering::Acquire) || to.write_all(&buf[..len]).is_err()
                {
                    break;
                }
            }
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
        });
    }
}

/// Starts a fleet some of whose nodes reach the platform through a gate.
pub fn start_with_gate(opts: Options, gate: &Gate) -> Fleet {
    let target = Arc::clone(&gate.target);
    start_with(Options {
        on_platform: Some(Box::new(move |addr| {
            *target.lock().expect("no holder panics") = Some(addr);
        })),
        ..opts
    })
}

/// Ends callers that look at its flag, also where the test fails.
pub struct Done<'a>(pub &'a AtomicBool);

impl Drop for Done<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Microseconds since 1970, by the clock of the servers' records.
pub fn now_micros() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let micros = since.expect("the clock is past 1970").as_micros();
    u64::try_from(micros).expect("the clock is before the year 500000")
}

/// How often each name occurs.
pub fn counts(
    names: impl IntoIterator<Item = String>,
) -> std::collections::BTreeMap<String, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts
}
