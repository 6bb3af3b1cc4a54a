//! Runs the real binary's processes on loopback.
#![allow(dead_code)]

pub mod site;

use std::{
    fs,
    io::Read,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

/// How long anything may take to come about.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// The operators' credential of every test fleet.
pub const TOKEN: &str = "operator-token-of-the-tests";

/// A folder that goes with the test.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("cassiashunt-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        Self(folder)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        fs::write(&file, text).expect("the test's own folder can be written");
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the binary; ended with the test.
pub struct Process(Child);

impl Process {
    pub fn start(args: &[&str]) -> Self {
        let child = command(args).stdout(Stdio::null()).stderr(log()).spawn();
        Self(child.expect("the binary can be started"))
    }

    /// Starts a process whose output goes to a file.
    pub fn start_logged(args: &[&str], file: &Path) -> Self {
        let out = fs::File::create(file).expect("the test's own folder can be written");
        let err = out.try_clone().expect("the file is open");
        let child = command(args).stdout(out).stderr(err).spawn();
        Self(child.expect("the binary can be started"))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let status = self.0.try_wait().expect("the process is ours");
        status.is_some()
    }

    /// The most memory that the process has had, in bytes, and its processor time so far.
    pub fn spent(&self) -> (u64, Duration) {
        let of = |file: &str| {
            let path = format!("/proc/{}/{file}", self.0.id());
            fs::read_to_string(path).expect("the process runs")
        };
        let status = of("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        // Fields 14 and 15 of proc_pid_stat(5), counted after the name in brackets.
        let stat = of("stat");
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .filter_map(|it| it.parse::<u64>().ok())
            .sum();
        let peak = 1024 * peak.expect("every process has a peak");
        (peak, Duration::from_millis(10 * ticks))
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.0.id().to_string()])
            .status();
        assert!(status.expect("kill is on every machine").success());
    }

    /// The exit code, once the process has ended.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the process ends", || {
            let status = self.0.try_wait().expect("the process is ours");
            code = status.and_then(|status| status.code());
            status.is_some()
        });
        code
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn log() -> Stdio {
    match std::env::var_os("CASSIASHUNT_TEST_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiashunt"));
    command.args(args).env("CASSIASHUNT_TOKEN", TOKEN);
    command
}

/// Runs a command of the binary to its end.
pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("the binary can be started")
}

/// Runs a command that must succeed and gives its output.
pub fn run_ok(args: &[&str]) -> String {
    let output = run(args);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {text}{errors}");
    text
}

/// Waits until `holds` does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// An address on loopback that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("the listener is bound")
}

/// A node of a test fleet with its backend server.
pub struct Member {
    pub node: Process,
    pub server: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub backend: SocketAddr,
    pub settings: PathBuf,
}

/// One service of a test fleet.
pub struct ServiceSpec<'a> {
    pub name: &'a str,
    pub domains: &'a [&'a str],
    /// TOML of the stand-in's endpoints.
    pub endpoints: &'a str,
}

/// Separate processes: a platform stand-in, backend servers and their nodes.
pub struct Fleet {
    pub folder: Folder,
    pub platform: Process,
    pub platform_addr: SocketAddr,
    pub members: Vec<Member>,
}

impl Fleet {
    pub fn start(name: &str, services: &[ServiceSpec<'_>]) -> Self {
        let folder = Folder::new(name);
        let platform_addr = free_addr();
        let platform = Process::start(&["standin", "platform", &platform_addr.to_string()]);
        eventually("the platform listens", || listens(platform_addr));
        let mut fleet = Self {
            folder,
            platform,
            platform_addr,
            members: Vec::new(),
        };
        for service in services {
            for domain in service.domains {
                fleet.add(service, domain);
            }
        }
        fleet.wait_until_ready();
        fleet
    }

    pub fn add(&mut self, service: &ServiceSpec<'_>, domain: &str) {
        let (callers, backend) = (free_addr(), free_addr());
        let (peers, operators) = (free_addr(), free_addr());
        let number = self.members.len();
        let server = format!(
            "listen = \"{backend}\"\nservice = \"{}\"\nnode = \"{callers}\"\ncapture = true\n{}",
            service.name, service.endpoints
        );
        let server = self.folder.write(&format!("server-{number}.toml"), &server);
        let settings = format!(
            "[node]\ncallers = \"{callers}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\n\
             failure-domain = \"{domain}\"\n\
             other-failure-domains = [\"ikeja\", \"apapa\", \"lekki\"]\nsecret = \"secret-of-the-test-fleet\"\n\
             operator-token = \"{TOKEN}\"\n[platform]\nurl = \"http://{}\"\n\
             [server]\nservice = \"{}\"\naddress = \"{backend}\"\nslots = 16\n\
             [times]\nroster-write-ms = 1000\nroster-read-ms = 1000\n",
            self.platform_addr, service.name
        );
        let settings = self.folder.write(&format!("node-{number}.toml"), &settings);
        let server = Process::start(&["standin", "server", path(&server)]);
        let node = Process::start(&["node", path(&settings)]);
        self.members.push(Member {
            node,
            server,
            callers,
            operators,
            backend,
            settings,
        });
    }

    /// Waits until every node sees every server of every service and is in touch.
    pub fn wait_until_ready(&self) {
        let servers = self.members.len();
        eventually("the fleet is complete", || {
            self.members.iter().all(|member| {
                let status = self.status(member);
                let services = status["services"].as_array().cloned().unwrap_or_default();
                let seen: u64 = services
                    .iter()
                    .filter_map(|s| s["available"].as_u64())
                    .sum();
                seen == servers as u64 && status["in-touch"] == true
            })
        });
    }

    pub fn status(&self, member: &Member) -> serde_json::Value {
        let node = member.operators.to_string();
        let output = run(&["status", "--node", &node, "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// Runs a table command at the first node and waits until it is in force everywhere.
    pub fn table(&self, args: &[&str]) -> String {
        let node = self.members[0].operators.to_string();
        run_ok(&[&["table", "--node", &node, "--wait"], args].concat())
    }

    /// Gives a workspace a key and waits until it is in force everywhere.
    pub fn give_key(&self, workspace: &str) -> String {
        let node = self.members[0].operators.to_string();
        let output = run_ok(&["key", "--node", &node, "--wait", "give", workspace]);
        output
            .lines()
            .last()
            .expect("the key is the last line")
            .to_owned()
    }

    /// Withdraws the only active key of a workspace.
    pub fn withdraw_key(&self, workspace: &str) {
        let node = self.members[0].operators.to_string();
        let keys = run_ok(&["key", "--node", &node, "list"]);
        let line = keys
            .lines()
            .find(|line| line.contains(workspace) && line.contains("active"));
        let id = line
            .and_then(|line| line.split(' ').next())
            .expect("the workspace has a key");
        run_ok(&["key", "--node", &node, "withdraw", id]);
    }

    /// What the stand-in server beside `member` ran.
    pub fn runs(&self, member: &Member) -> serde_json::Value {
        let answer = ureq::get(format!("http://{}/standin/runs", member.backend)).call();
        let text = answer
            .expect("the stand-in serves")
            .body_mut()
            .read_to_string();
        serde_json::from_str(&text.expect("the stand-in answers whole")).expect("runs are JSON")
    }
}

pub fn path(file: &Path) -> &str {
    file.to_str().expect("the test's paths are UTF-8")
}

pub fn listens(addr: SocketAddr) -> bool {
    std::net::TcpStream::connect(addr).is_ok()
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub verdict: Option<String>,
    pub body: Vec<u8>,
}

/// Sends one request as a caller.
pub fn call(addr: SocketAddr, method: &str, target: &str, headers: &[(&str, &str)]) -> Answer {
    let mut req = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{target}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let answer = match method {
        "GET" => agent.run(req.body(()).expect("the request is well formed")),
        _ => agent.run(req.body("body").expect("the request is well formed")),
    };
    let mut answer = answer.expect("the node answers");
    let verdict = answer.headers().get("cassiashunt-verdict");
    let verdict = verdict
        .and_then(|verdict| verdict.to_str().ok())
        .map(str::to_owned);
    let status = answer.status().as_u16();
    let mut body = Vec::new();
    answer
        .body_mut()
        .as_reader()
        .read_to_end(&mut body)
        .expect("the answer is whole");
    Answer {
        status,
        verdict,
        body,
    }
}
