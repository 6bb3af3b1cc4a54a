//! Starts processes of the real binary on loopback addresses.
#![allow(dead_code)]

pub mod crowd;
pub mod footprint;
pub mod site;
pub mod stop;

use std::{
    fs,
    io::Read,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

/// How long [`eventually`] polls before the test fails.
pub const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);
/// The operator token of every test fleet.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// A temporary folder that is deleted on drop.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("cassiashunt-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("cannot create the temporary folder");
        Self(folder)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        fs::write(&file, text).expect("cannot write a file in the temporary folder");
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the binary that is killed on drop.
pub struct Process(Child);

impl Process {
    pub fn start(args: &[&str]) -> Self {
        let child = command(args)
            .stdout(Stdio::null())
            .stderr(stderr_target())
            .spawn();
        Self(child.expect("cannot start the binary"))
    }

    /// Starts a process that writes its standard output and standard error to a file.
    pub fn start_logged(args: &[&str], file: &Path) -> Self {
        Self::spawn_logged(command(args), file)
    }

    /// Like [`Process::start_logged`], with a limit of open files.
    pub fn start_limited(args: &[&str], file: &Path, max_files: usize) -> Self {
        let mut shell = Command::new("sh");
        shell
            .args(["-c", r#"ulimit -n "$0" && exec "$@""#])
            .args([&max_files.to_string(), env!("CARGO_BIN_EXE_cassiashunt")])
            .args(args);
        Self::spawn_logged(shell, file)
    }

    fn spawn_logged(mut command: Command, file: &Path) -> Self {
        let out = fs::File::create(file).expect("cannot create the log file");
        let err = out
            .try_clone()
            .expect("cannot duplicate the handle of the log file");
        let child = command.stdout(out).stderr(err).spawn();
        Self(child.expect("cannot start the binary"))
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let status = self
            .0
            .try_wait()
            .expect("cannot read the exit status of the process");
        status.is_some()
    }

    /// The peak resident memory of the process in bytes, and its user and system time so far.
    pub fn resource_usage(&self) -> (u64, Duration) {
        let read_proc = |file: &str| {
            let path = format!("/proc/{}/{file}", self.0.id());
            fs::read_to_string(path).expect("cannot read /proc of the process")
        };
        let status = read_proc("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        // utime and stime, fields 14 and 15 of proc_pid_stat(5) in ticks of 10 ms. Counted from the end
        // of the process name, which stands in brackets and may contain spaces.
        let stat = read_proc("stat");
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .filter_map(|it| it.parse::<u64>().ok())
            .sum();
        let peak = 1024 * peak.expect("no VmHWM line in /proc/PID/status");
        (peak, Duration::from_millis(10 * ticks))
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.0.id().to_string()])
            .status();
        assert!(status.expect("cannot run kill").success());
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the process exits", || {
            let status = self
                .0
                .try_wait()
                .expect("cannot read the exit status of the process");
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

/// Standard error of a process: that of the test if `CASSIASHUNT_TEST_LOG` is set, otherwise none.
fn stderr_target() -> Stdio {
    match std::env::var_os("CASSIASHUNT_TEST_LOG") {
        Some(_) => Stdio::inherit(),
        None => Stdio::null(),
    }
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cassiashunt"));
    command.args(args).env("CASSIASHUNT_TOKEN", OPERATOR_TOKEN);
    command
}

/// Runs a command of the binary and waits for it.
pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("cannot start the binary")
}

/// Runs a command that must succeed, and returns its standard output.
pub fn run_ok(args: &[&str]) -> String {
    let output = run(args);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {text}{errors}");
    text
}

/// Polls `condition` until it holds; panics after [`EVENTUALLY_TIMEOUT`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + EVENTUALLY_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "condition not met within {EVENTUALLY_TIMEOUT:?}: {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// A loopback address whose port was free when checked.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port on loopback");
    listener
        .local_addr()
        .expect("cannot read the address of the listener")
}

/// A node of a test fleet and its backend server.
pub struct Member {
    pub node: Process,
    pub server: Process,
    /// Where the node listens for callers.
    pub callers: SocketAddr,
    /// Where the node listens for operators.
    pub operators: SocketAddr,
    /// Where the backend server listens.
    pub backend: SocketAddr,
    /// The settings file of the node.
    pub settings: PathBuf,
}

/// One service of a test fleet.
pub struct ServiceSpec<'a> {
    pub name: &'a str,
    /// Failure domains; one member is started in each.
    pub domains: &'a [&'a str],
    /// TOML of the endpoints of the backend server stand-in.
    pub endpoints: &'a str,
}

/// A platform stand-in, backend servers and their nodes, each a process.
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
        eventually("the platform stand-in listens", || listens(platform_addr));
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
             operator-token = \"{OPERATOR_TOKEN}\"\n[platform]\nurl = \"http://{}\"\n\
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

    /// Waits until every node is in touch and reports the servers of all services as available.
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

    /// Runs a table command at the first node and waits until all nodes have applied it.
    pub fn table(&self, args: &[&str]) -> String {
        let node = self.members[0].operators.to_string();
        run_ok(&[&["table", "--node", &node, "--wait"], args].concat())
    }

    /// Issues a key to a workspace and waits until all nodes have applied it.
    pub fn give_key(&self, workspace: &str) -> String {
        let node = self.members[0].operators.to_string();
        let output = run_ok(&["key", "--node", &node, "--wait", "give", workspace]);
        output
            .lines()
            .last()
            .expect("the output of `key give` is empty")
            .to_owned()
    }

    /// Withdraws the first active key listed for a workspace.
    pub fn withdraw_key(&self, workspace: &str) {
        let node = self.members[0].operators.to_string();
        let keys = run_ok(&["key", "--node", &node, "list"]);
        let line = keys
            .lines()
            .find(|line| line.contains(workspace) && line.contains("active"));
        let id = line
            .and_then(|line| line.split(' ').next())
            .expect("the workspace has no active key");
        run_ok(&["key", "--node", &node, "withdraw", id]);
    }

    /// The requests that the backend server stand-in of `member` has run.
    pub fn runs(&self, member: &Member) -> serde_json::Value {
        let answer = ureq::get(format!("http://{}/standin/runs", member.backend)).call();
        let text = answer
            .expect("no answer from the backend server stand-in")
            .body_mut()
            .read_to_string();
        serde_json::from_str(&text.expect("cannot read the answer of the backend server stand-in"))
            .expect("the runs are not valid JSON")
    }
}

pub fn path(file: &Path) -> &str {
    file.to_str().expect("the path is not UTF-8")
}

pub fn listens(addr: SocketAddr) -> bool {
    std::net::TcpStream::connect(addr).is_ok()
}

/// The answer that a caller receives.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The `cassiashunt-verdict` header, if the node set it.
    pub verdict: Option<String>,
    pub body: Vec<u8>,
}

/// Sends one request as a caller; every method but GET has a body.
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
        "GET" => agent.run(req.body(()).expect("invalid request")),
        _ => agent.run(req.body("body").expect("invalid request")),
    };
    let mut answer = answer.expect("no answer from the node");
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
        .expect("cannot read the body of the answer");
    Answer {
        status,
        verdict,
        body,
    }
}
