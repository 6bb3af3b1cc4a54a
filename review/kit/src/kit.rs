//! A small deployment: the store, backend servers and nodes, as the deploy file starts them.

use std::{
    fmt::Display,
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Addresses, Request, Server, Store, ask, open};

/// The host of all routes.
pub const HOST: &str = "mesh.example";
/// The time between two heartbeats of a server (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long to wait for the deployment to serve, before the case can't run.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Stands for the address of a node's metrics until it is known.
const METRICS_ADDRESS: &str = "127.0.0.1:9464";
/// The slots that each server tells.
const SLOTS: u32 = 72;

/// Why a case could not run, or that its rule was broken.
pub enum End {
    Held,
    Broken,
    NotRun(String),
}

impl<E: Display> From<E> for End {
    fn from(err: E) -> Self {
        Self::NotRun(err.to_string())
    }
}

/// What was sent, answered and run, as lines with the time since the case began.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: impl Display) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        // A record that can't be written shows at the end of the run: the file is short.
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A node's process, which ends with its value.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A machine: a backend server, and the node beside it.
pub struct Machine {
    pub name: String,
    pub service: String,
    pub server: Server,
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub heartbeats: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
    log: PathBuf,
    /// The Unix millisecond of the server's start.
    pub born: u128,
    /// The number of the server's last status report; it sends no more where `is_leaving` is set.
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    pub process: Mutex<Process>,
}

impl Machine {
    pub fn pid(&self) -> u32 {
        lock(&self.process).0.id()
    }

    /// Sends a signal to the node's process.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let pid = self.pid().to_string();
        Command::new("kill").args([name, &pid]).status().map(drop)
    }

    /// Ends the process with SIGKILL and starts it again after the platform's short delay.
    pub fn kill_and_restart(&self, delay: Duration) -> std::io::Result<()> {
        let mut process = lock(&self.process);
        // It may have ended already.
        let _ = process.0.kill();
        process.0.wait()?;
        thread::sleep(delay);
        *process = Process(start(&self.settings, &self.log)?);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = Request {
            target: "/-/ready".into(),
            ..Request::default()
        };
        let answer = open(self.ready).and_then(|mut it| ask(&mut it, &request.encode()));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Ends the server's status reports, and returns the number of the last one.
    pub fn stop_reports(&self) -> u64 {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.sequence.load(Ordering::Relaxed)
    }

    /// What the node has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The process's resident memory in KiB; `None` where it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// The figures of the settings that a case chooses.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub revoke_ms: u64,
}

pub struct Site {
    pub store: Store,
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for machine in &self.machines {
            let mut process = lock(&machine.process);
            // It may have ended already.
            let _ = process.0.kill();
            let _ = process.0.wait();
        }
        // A folder that stays is in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts a machine for each listed service, with the manifest in the store.
    pub fn start(services: &[&str], bounds: Bounds, manifest: &str) -> Result<Self, End> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        store.put("op/config", manifest);
        let mut site = Self {
            store,
            machines: Vec::new(),
            folder,
            is_over: Arc::default(),
        };
        for (at, service) in services.iter().enumerate() {
            let machine = site.add(at, service, bounds)?;
            site.machines.push(Arc::new(machine));
        }
        for machine in &site.machines {
            beat(Arc::clone(machine), Arc::clone(&site.is_over));
        }
        Ok(site)
    }

    fn add(&self, at: usize, service: &str, bounds: Bounds) -> Result<Machine, End> {
        let addresses = Addresses::free()?;
        let metrics = Addresses::free()?.requests;
        let server = Server::start(&format!("i-{service}-{at}"), addresses.requests)?;
        let name = format!("app_node-{at}");
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let zone = ["ikeja", "apapa", "lekki"][at % 3];
        let text = fill_template(
            &name,
            zone,
            service,
            &addresses,
            server.address(),
            self.store.address(),
            bounds,
        )?;
        let text = text.replace(METRICS_ADDRESS, &metrics.to_string());
        fs::write(&settings, text)?;
        let process = start(&settings, &log)?;
        Ok(Machine {
            name,
            service: service.into(),
            server,
            requests: addresses.requests,
            ready: addresses.ready,
            heartbeats: addresses.heartbeats,
            metrics,
            settings,
            log,
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            process: Mutex::new(Process(process)),
        })
    }

    /// Waits until each node is ready and serves this request of each service.
    pub fn wait_until_serving(&self, request: impl Fn(&str) -> Request) -> Result<(), End> {
        let until = Instant::now() + START_TIMEOUT;
        let mut services: Vec<_> = self.machines.iter().map(|it| &it.service).collect();
        services.sort();
        services.dedup();
        for machine in &self.machines {
            for service in &services {
                while !(machine.is_ready() && status(machine, &request(service)) == Some(200)) {
                    if Instant::now() > until {
                        return Err(End::NotRun(format!("{} does not serve", machine.name)));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
        // Reports of all nodes have arrived everywhere.
        thread::sleep(Duration::from_secs(1));
        Ok(())
    }

    /// Where a request began to run: the names of the machines.
    pub fn runs_of(&self, attempt: &str) -> Vec<String> {
        let machines = self.machines.iter().filter(|machine| {
            let runs = machine.server.runs();
            runs.iter().any(|run| run.attempt == attempt)
        });
        machines.map(|it| it.name.clone()).collect()
    }
}

/// The status of the answer to a request on a new connection; `None` without an answer.
pub fn status(machine: &Machine, request: &Request) -> Option<u16> {
    let answer = open(machine.requests).and_then(|mut it| ask(&mut it, &request.encode()));
    answer.ok().map(|it| it.status)
}

/// Starts a node with the command of the deploy file.
fn start(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/cassiashunt")
        .arg("sidecar")
        .env("CASSIASHUNT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

/// Fills in the template of the settings as the platform does.
pub fn fill_template(
    name: &str,
    zone: &str,
    service: &str,
    addresses: &Addresses,
    server: SocketAddr,
    store: SocketAddr,
    bounds: Bounds,
) -> Result<String, End> {
    let text = fs::read_to_string("deploy/node.toml.in")?;
    let quoted = |value: &dyn Display| format!("\"{value}\"");
    let values = [
        ("node_name|json", quoted(&name)),
        ("zone|json", quoted(&zone)),
        ("service|json", quoted(&service)),
        ("listen.outbound|json", quoted(&addresses.requests)),
        ("listen.inbound|json", quoted(&addresses.peers)),
        ("listen.ready|json", quoted(&addresses.ready)),
        ("listen.control|json", quoted(&addresses.heartbeats)),
        ("app_addr|json", quoted(&server)),
        ("platform.address|json", quoted(&store)),
        ("platform.ttl_min_ms", "1000".into()),
        ("bounds.revoke_ms", bounds.revoke_ms.to_string()),
        ("bounds.grace_s", "6".into()),
        ("bounds.budget_ratio", "0.2".into()),
        ("bounds.retry_slack", "48".into()),
        ("bounds.budget_window_s", "10".into()),
    ];
    // All machines share one address here, so each gets a port of its own for the metrics.
    let mut filled = text.trim_end().replace("{{ip}}:9464", METRICS_ADDRESS);
    for (placeholder, value) in values {
        filled = filled.replace(&format!("{{{{{placeholder}}}}}"), &value);
    }
    if filled.contains("{{") {
        return Err(End::NotRun(format!("an unknown placeholder in: {filled}")));
    }
    Ok(filled + "\n")
}

/// Sends the heartbeats of a machine's server to its node. A server that has crashed sends none, and
/// is a new start when it is back.
fn beat(machine: Arc<Machine>, is_over: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut born = machine.born;
        let mut was_away = false;
        while !is_over.load(Ordering::Relaxed) && !machine.is_leaving.load(Ordering::Relaxed) {
            if machine.server.is_away() {
                was_away = true;
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            if std::mem::take(&mut was_away) {
                born = unix_ms();
                machine.sequence.store(0, Ordering::Relaxed);
            }
            let sequence = machine.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let report = Report {
                id: &machine.server.id,
                address: machine.server.address(),
                service: &machine.service,
                born,
                sequence,
            };
            // The node may be down; the next heartbeat follows.
            let is_down = report.send(&machine).is_err();
            let pause = if is_down {
                Duration::from_millis(100)
            } else {
                HEARTBEAT
            };
            let until = Instant::now() + pause;
            while Instant::now() < until && !machine.server.is_away() {
                thread::sleep(Duration::from_millis(20));
            }
        }
    });
}

/// A status report.
pub struct Report<'a> {
    pub id: &'a str,
    pub address: SocketAddr,
    pub service: &'a str,
    pub born: u128,
    pub sequence: u64,
}

impl Report<'_> {
    /// Sends it to the node of a machine, and returns the status of the answer.
    pub fn send(&self, machine: &Machine) -> std::io::Result<u16> {
        let Self {
            id,
            address,
            service,
            born,
            sequence,
        } = self;
        let body = format!(
            r#"{{"address":"{address}","born":{born},"details":{{"service":"{service}","version":"v1","zone":"ikeja","slots":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_ms":0}}}}"#
        );
        let request = Request {
            method: "POST",
            target: format!("/-/rpc?call=instances.heartbeat&of={id}"),
            body: body.into_bytes(),
            ..Request::default()
        };
        Ok(ask(&mut open(machine.heartbeats)?, &request.encode())?.status)
    }
}

pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis())
}

/// A tenant of a manifest, with the usual allotment.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
}

/// The allotment of each tenant in `fleetbench wire`.
pub const USUAL_QUOTA: Quota = Quota {
    rate_per_s: 88,
    burst: 88,
};

/// What a tenant may send.
#[derive(Clone, Copy)]
pub struct Quota {
    pub rate_per_s: u32,
    pub burst: u32,
}

/// A manifest with an idempotent and a non-idempotent route to each service.
pub fn manifest(version: u64, services: &[&str], tenants: &[Tenant<'_>]) -> String {
    manifest_with(version, services, tenants, USUAL_QUOTA)
}

/// The same with another allotment for each tenant.
pub fn manifest_with(
    version: u64,
    services: &[&str],
    tenants: &[Tenant<'_>],
    quota: Quota,
) -> String {
    let Quota { rate_per_s, burst } = quota;
    let mut rows = Vec::new();
    for service in services {
        for (kind, path) in [("idempotent", "read"), ("non_idempotent", "write")] {
            rows.push(format!(
                r#"{{"type":"routes","meta":{{"name":"r-{service}-{path}"}},"spec":{{"host":"{HOST}","prefix":"/{service}/{path}/","kind":"{kind}","timeout_ms":5000,"goal_ms":2000,"priority":1,"service":"{service}","max_attempts":2,"public":false}}}}"#
            ));
        }
        rows.push(format!(
            r#"{{"type":"services","meta":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_conns":532,"protocol":"h1","tls":false}}}}"#
        ));
    }
    for Tenant { name, keys } in tenants {
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        rows.push(format!(
            r#"{{"type":"tenants","meta":{{"name":"{name}"}},"spec":{{"api_keys":[{}],"priority":1,"rate_per_s":{rate_per_s},"burst":{burst}}}}}"#,
            keys.join(",")
        ));
    }
    rows.push(
        r#"{"type":"limits","meta":{},"spec":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
            .into(),
    );
    format!(
        r#"{{"version":{version},"resources":[{}]}}"#,
        rows.join(",")
    )
}

/// A read of a service with this key.
pub fn read(service: &str, key: &str) -> Request {
    let id = Request::default().attempt;
    Request {
        host: HOST.into(),
        target: format!("/{service}/read/{}", &id[..6]),
        key: Some(key.into()),
        timeout_ms: 5_000,
        attempt: id,
        ..Request::default()
    }
}

/// A write to a service with this key and body.
pub fn write(service: &str, key: &str, body: Vec<u8>) -> Request {
    let id = Request::default().attempt;
    Request {
        method: "POST",
        host: HOST.into(),
        target: format!("/{service}/write/{}", &id[..6]),
        key: Some(key.into()),
        timeout_ms: 5_000,
        attempt: id,
        body,
        ..Request::default()
    }
}
