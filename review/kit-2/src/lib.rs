//! A small deployment for the cases: nodes as separate processes, started by the deploy file's command,
//! between the project's stand-ins for the store and the backend servers.

use std::{
    fmt::Write as _,
    fs, io,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Addresses, Request, Store, ask, open, table};

pub mod backend;

use backend::Backend;

/// The platform's usual time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long the deployment may take to serve everywhere.
const STARTUP: Duration = Duration::from_secs(25);
/// The key of the only workspace.
pub const KEY: &str = "key-of-the-first-shop";

/// The arguments of the deploy file's command, with the values of a small machine.
const COMMAND: [&str; 9] = [
    "sidecar",
    "--set",
    "limits.memory-mb=260",
    "--set",
    "limits.max-fds=4100",
    "--set",
    "bounds.warm-up-excess=",
    "--set",
    "bounds.warm-up-slack=",
];

/// A node and its server.
pub struct Member {
    /// The node's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its server.
    pub server: Backend,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

impl Member {
    /// Sends a signal to the node's process.
    pub fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.is_ok_and(|it| it.success()), "cannot send {signal}");
    }

    /// Whether the node answers the platform's question with 200.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            target: "/-/ready".into(),
            ..Request::default()
        };
        let asked = TcpStream::connect(self.addresses.ready).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            ask(&mut stream, &request.encode())
        });
        asked.is_ok_and(|it| it.status == 200)
    }

    /// What the node has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// The deployment; its processes end with it.
pub struct Site {
    /// The platform's store.
    pub store: Store,
    /// The nodes.
    pub members: Vec<Member>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
}

impl Site {
    /// Starts nodes in these failure domains, each with a server of the service beside it, with one
    /// workspace of this rate and burst, and waits until all serve.
    pub fn start(machines: &[(&str, &'static str)], rate: u32) -> io::Result<Self> {
        let store = Store::start()?;
        store.put("op/config", &table(1, &[KEY], rate).to_string());
        let folder = std::env::temp_dir().join(format!("review-kit-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut site = Self {
            store,
            members: Vec::new(),
            folder,
            is_over: Arc::default(),
        };
        for (at, (domain, service)) in machines.iter().enumerate() {
            let member = site.start_member(at, domain, service)?;
            site.members.push(member);
        }
        let until = Instant::now() + STARTUP;
        while !site.members.iter().all(|it| it.is_ready() && serves(it)) {
            if Instant::now() > until {
                return Err(io::Error::other("the nodes do not serve"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(site)
    }

    fn start_member(&self, at: usize, domain: &str, service: &'static str) -> io::Result<Member> {
        let name = format!("app_node-{domain}-{}", at + 1);
        let addresses = Addresses::free()?;
        let server = Backend::start(&format!("i-{at:08x}"), service)?;
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(
            &settings,
            settings_text(&name, domain, addresses, &server, self.store.address()),
        )?;
        let log = self.folder.join(format!("{name}.log"));
        let process = start(&settings, &log)?;
        let beating = (
            server.clone(),
            addresses.heartbeats,
            Arc::clone(&self.is_over),
        );
        thread::spawn(move || beat(&beating.0, beating.1, &beating.2));
        Ok(Member {
            name,
            domain: domain.to_owned(),
            addresses,
            server,
            settings,
            log,
            process,
        })
    }

    /// Kills all nodes' processes, and starts them again after this time.
    pub fn restart_all(&mut self, away: Duration) -> io::Result<()> {
        for member in &mut self.members {
            let _ = member.process.kill();
        }
        for member in &mut self.members {
            let _ = member.process.wait();
        }
        thread::sleep(away);
        for member in &mut self.members {
            member.process = start(&member.settings, &member.log)?;
        }
        Ok(())
    }

    /// Kills a node's process, and starts it again after this time.
    pub fn restart(&mut self, at: usize, away: Duration) -> io::Result<()> {
        let member = &mut self.members[at];
        let _ = member.process.kill();
        let _ = member.process.wait();
        thread::sleep(away);
        member.process = start(&member.settings, &member.log)?;
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for member in &mut self.members {
            // One that stands still is killed as well.
            let _ = member.process.kill();
            let _ = member.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn start(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let err = out.try_clone()?;
    Command::new("target/release/cassiashunt")
        .args(COMMAND)
        .env("CASSIASHUNT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
}

/// The settings as the deploy file's template has them, with the bounds of the small sites.
fn settings_text(
    name: &str,
    domain: &str,
    addresses: Addresses,
    server: &Backend,
    store: SocketAddr,
) -> String {
    let Addresses {
        requests,
        peers,
        ready,
        heartbeats,
    } = addresses;
    let (service, server) = (server.service(), server.address());
    format!(
        r#"name = "{name}"
domain = "{domain}"
service = "{service}"

[addresses]
requests = "{requests}"
peers = "{peers}"
ready = "{ready}"
heartbeats = "{heartbeats}"
server = "{server}"

[bounds]
key-withdrawal-ms = 5000
grace-s = 6
retry-ratio = 0.2
retry-slack = 48
retry-window-s = 10

[store]
min-lease-ms = 1000
address = "{store}"
"#
    )
}

fn beat(server: &Backend, control: SocketAddr, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) && server.is_reporting() {
        if !server.is_away() {
            // A node that does not answer is told again by the next one.
            let _ = server.send(control, &server.report());
        }
        thread::sleep(HEARTBEAT);
    }
}

fn serves(member: &Member) -> bool {
    let asked = open(member.addresses.requests).and_then(|mut it| ask(&mut it, &read().encode()));
    asked.is_ok_and(|it| it.status == 200)
}

/// An idempotent request with the workspace's key, to a path of its own.
pub fn read() -> Request {
    let request = Request::default();
    Request {
        target: format!("/shop/read/{}", request.attempt),
        key: Some(KEY.into()),
        ..request
    }
}

/// What a case records.
#[derive(Default)]
pub struct Record(Mutex<String>);

impl Record {
    /// Adds a line.
    pub fn line(&self, text: &str) {
        println!("{text}");
        self.quiet(text);
    }

    /// Adds a line that is not printed.
    pub fn quiet(&self, text: &str) {
        if let Ok(mut lines) = self.0.lock() {
            let _ = writeln!(lines, "{text}");
        }
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let lines = self.0.lock().map(|it| it.clone()).unwrap_or_default();
        fs::write(path, lines)
    }
}

/// Whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
