//! Stops of nodes whose peers still wait for them, and stops requested during a node's start.

mod support;

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_mesh::prelude::*;
use cassiashunt_standin::site::{Addresses, Answer, Behaviour, NodeSettings, Request, ask, open};
use cassiashunt_types::prelude::*;
use support::{
    Folder, Process, eventually, listens, path,
    site::{Site, write},
    stop::{GRACE, table_with_timeout},
};

/// Longer than a stopping node without requests takes to end.
const IDLE_STOP_TIME: Duration = Duration::from_millis(3_000);
/// The time that the requests of these tests have.
const REQUEST_TIMEOUT_MS: u64 = 8_000;

/// A write with time enough to outlast a stop.
fn patient_write(service: &str) -> Request {
    Request {
        timeout_ms: REQUEST_TIMEOUT_MS,
        ..write(service)
    }
}

/// Lets requests of all routes take [`REQUEST_TIMEOUT_MS`].
fn put_patient_table(site: &Site) {
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    site.put_table_in_force(&table_with_timeout(timeout));
}

/// Sends a request on a thread of its own.
fn ask_aside(site: &Site, at: usize, request: &Request) -> thread::JoinHandle<Answer> {
    let (address, bytes) = (site.members[at].requests, request.encode());
    thread::spawn(move || {
        let mut stream = open(address).expect("cannot connect to the node");
        ask(&mut stream, &bytes).expect("the connection was cut off")
    })
}

#[test]
fn an_owner_that_stops_delivers_an_answer_that_its_peer_reads_late() {
    const ANSWER_BYTES: usize = 12 << 20;
    let mut site = Site::start("site-late-reader", &["shop", "desk"]);
    put_patient_table(&site);
    let work = Duration::from_millis(600);
    site.members[1]
        .server
        .do_next(Behaviour::Long(work, ANSWER_BYTES));
    let request = patient_write("desk");
    let client = ask_aside(&site, 0, &request);
    eventually("the request runs", || site.runs_of(&request) == 1);
    site.members[0].node.signal("-STOP");
    site.members[1].node.signal("-TERM");
    thread::sleep(IDLE_STOP_TIME);
    site.members[0].node.signal("-CONT");
    let answer = client.join().expect("the client thread panicked");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), ANSWER_BYTES);
    assert_eq!(site.members[1].node.wait(), Some(0));
}

/// A stopping owner left an answer to the system's send buffer, and its end was lost when the peer,
/// before it had read it, sent something to the process that had ended.
#[test]
fn an_owner_does_not_end_before_its_peer_has_read_an_answer_that_fits_in_the_buffers() {
    const ANSWER_BYTES: usize = 512 << 10;
    let mut site = Site::start("site-buffered", &["shop", "desk"]);
    put_patient_table(&site);
    let work = Duration::from_millis(2_200);
    site.members[1]
        .server
        .do_next(Behaviour::Long(work, ANSWER_BYTES));
    let request = patient_write("desk");
    let client = ask_aside(&site, 0, &request);
    eventually("the request runs", || site.runs_of(&request) == 1);
    site.members[0].node.signal("-STOP");
    site.members[1].node.signal("-TERM");
    // Longer than the stop of an owner that does not wait for its peer.
    thread::sleep(IDLE_STOP_TIME + Duration::from_millis(1_000));
    site.members[0].node.signal("-CONT");
    let answer = client.join().expect("the client thread panicked");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), ANSWER_BYTES);
    assert_eq!(site.members[1].node.wait(), Some(0));
}

#[test]
fn nodes_that_stop_together_answer_what_they_run_for_each_other() {
    let mut site = Site::start("site-stop-together", &["shop", "desk"]);
    for member in &site.members {
        member
            .server
            .set_usual(Behaviour::Slow(Duration::from_millis(1_200)));
    }
    for gap in [0, 20, 300] {
        let requests: Vec<_> = (0..12)
            .map(|at| (at % 2, write(["desk", "shop"][at % 2])))
            .collect();
        let clients: Vec<_> = requests
            .iter()
            .map(|(at, request)| ask_aside(&site, *at, request))
            .collect();
        eventually("the requests run", || {
            requests.iter().all(|(_, it)| site.runs_of(it) == 1)
        });
        site.members[0].node.signal("-TERM");
        thread::sleep(Duration::from_millis(gap));
        site.members[1].node.signal("-TERM");
        for client in clients {
            let answer = client.join().expect("the client thread panicked");
            assert_eq!(answer.status, 200, "with {gap} ms between the stops");
        }
        for member in &mut site.members {
            assert_eq!(member.node.wait(), Some(0));
            member.restart();
        }
        for member in &site.members {
            eventually("the node listens", || listens(member.heartbeats));
            let beat = member
                .server
                .beat(member.heartbeats, &member.service, "ready", 1);
            assert_eq!(beat.expect("no answer from the node"), 200);
        }
        site.wait_until_serving();
    }
}

/// An owner of `desk` without a node: it takes one request from each link, and says that it goes
/// away instead of an outcome.
struct LeavingOwner(TcpListener);

impl LeavingOwner {
    /// The frame of a load report: serving `desk` with eight slots.
    const LOAD: &[u8] = b"\x2a\x0a\x10\x01\x1a\x04desk\x20\x08";
    const GO_AWAY: &[u8] = b"\x98\x01\x01";
    /// The first byte of the frame of a request.
    const REQUEST: u8 = 0x12;
    /// The first byte of the frame that cancels a request.
    const CANCEL: u8 = 0x18;

    fn announce(site: &Site) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port on loopback");
        let address = listener.local_addr().expect("the listener has no address");
        let announcement = Announcement {
            incarnation: NodeId::random(),
            address: address.to_string(),
            domain: "east".parse().expect("not a failure domain"),
            service: "desk".parse().expect("not a service"),
            slots: 8,
            state: ServerState::Ready,
            is_cold: false,
            is_stopping: false,
        };
        let entry = serde_json::to_string(&announcement).expect("cannot write the entry");
        let key = cassiashunt_adapter::node_key("leaving");
        site.store.put(&key, &entry);
        Self(listener)
    }

    /// Serves one link until a request on it is cancelled, of which it tells no outcome, as an owner
    /// of an older build.
    fn serve_until_cancelled(&self) {
        let (mut stream, _) = self.0.accept().expect("no link to the owner");
        write_frame(&mut stream, Self::LOAD);
        for awaited in [Self::REQUEST, Self::CANCEL] {
            while read_frame(&mut stream).first() != Some(&awaited) {}
        }
        write_frame(&mut stream, Self::GO_AWAY);
    }

    /// Serves so many links, each until it has taken a request; `taken` counts those.
    fn serve(&self, links: usize, taken: &AtomicUsize) {
        thread::scope(|scope| {
            for mut stream in self.0.incoming().flatten().take(links) {
                scope.spawn(move || {
                    write_frame(&mut stream, Self::LOAD);
                    while read_frame(&mut stream).first() != Some(&Self::REQUEST) {}
                    taken.fetch_add(1, Ordering::Relaxed);
                    write_frame(&mut stream, Self::GO_AWAY);
                });
            }
        });
    }
}

fn write_frame(stream: &mut TcpStream, frame: &[u8]) {
    let length = u32::try_from(frame.len()).expect("the frame is too long");
    let sent = stream.write_all(&[&length.to_be_bytes(), frame].concat());
    sent.expect("the node closed the link");
}

fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    let read = stream.read_exact(&mut length);
    read.expect("the node closed the link");
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    let read = stream.read_exact(&mut frame);
    read.expect("the node closed the link");
    frame
}

#[test]
fn a_request_that_a_leaving_owner_did_not_read_is_not_reported_as_lost() {
    let site = Site::start("site-unread", &["shop", "desk"]);
    let (owner, taken) = (LeavingOwner::announce(&site), AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| owner.serve(site.members.len(), &taken));
        for member in &site.members {
            let before = taken.load(Ordering::Relaxed);
            eventually("the owner takes a request", || {
                let request = write("desk");
                assert_eq!(member.status_of(&request), 200);
                assert_eq!(site.runs_of(&request), 1);
                taken.load(Ordering::Relaxed) > before
            });
        }
    });
}

/// A request that was running at an owner of an older build was reported as not run.
#[test]
fn a_recalled_request_whose_owner_goes_away_without_an_outcome_may_have_run() {
    let mut site = Site::start_with_grace("site-recalled", &["shop"], Duration::from_secs(2));
    site.put_table(&table_with_timeout(Duration::from_secs(4)));
    thread::sleep(Duration::from_millis(1_500));
    let owner = LeavingOwner::announce(&site);
    let answer = thread::scope(|scope| {
        scope.spawn(|| owner.serve_until_cancelled());
        eventually("the owner is linked", || {
            let log = site.members[0].log();
            let mut links = log.lines().filter(|it| it.contains("\"link-up\""));
            links.any(|line| line.contains("\"peer\":\"leaving\""))
        });
        let request = Request {
            timeout_ms: 4_000,
            ..write("desk")
        };
        let client = ask_aside(&site, 0, &request);
        site.members[0].node.signal("-TERM");
        client.join().expect("the client thread panicked")
    });
    assert_eq!(answer.status, 502);
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// A node of its own, whose store doesn't answer.
struct LoneNode {
    folder: Folder,
    addresses: Addresses,
    text: String,
}

impl LoneNode {
    fn new(name: &str) -> Self {
        let addresses = Addresses::free().expect("cannot bind a port on loopback");
        let text = NodeSettings {
            name: "lone",
            domain: "east",
            service: "shop",
            addresses,
            server: support::free_addr(),
            store: support::free_addr(),
            withdrawal: Duration::from_millis(2_500),
            grace: GRACE,
        };
        Self {
            folder: Folder::new(name),
            addresses,
            text: text.to_toml(),
        }
    }

    /// Starts the node with its settings in a pipe and waits until it opens the pipe. It continues
    /// once the settings are written to the returned file.
    fn start_held(&self) -> (Process, PathBuf, fs::File) {
        let pipe = self.folder.write("lone.toml", "");
        fs::remove_file(&pipe).expect("cannot remove the settings file");
        let made = Command::new("mkfifo").arg(&pipe).status();
        assert!(made.expect("cannot run mkfifo").success());
        let node = Process::start(&["sidecar", path(&pipe)]);
        let writer = fs::File::options().write(true).open(&pipe);
        (node, pipe, writer.expect("cannot open the pipe"))
    }
}

#[test]
fn a_stop_during_the_start_ends_the_node_in_order() {
    for signal in ["-TERM", "-INT"] {
        let lone = LoneNode::new("lone-stop");
        let (mut node, _, mut settings) = lone.start_held();
        node.signal(signal);
        settings
            .write_all(lone.text.as_bytes())
            .expect("the node closed its settings");
        drop(settings);
        assert_eq!(node.wait(), Some(0), "{signal} during the start");
    }
}

#[test]
fn a_reload_during_the_start_does_not_end_the_node() {
    let lone = LoneNode::new("lone-reload");
    let (mut node, pipe, mut settings) = lone.start_held();
    node.signal("-HUP");
    // The reload reads a plain file.
    fs::remove_file(&pipe).expect("cannot remove the pipe");
    lone.folder.write("lone.toml", &lone.text);
    settings
        .write_all(lone.text.as_bytes())
        .expect("the node closed its settings");
    drop(settings);
    eventually("the node listens", || {
        assert!(!node.has_exited(), "SIGHUP ended the node");
        listens(lone.addresses.requests)
    });
    node.signal("-TERM");
    assert_eq!(node.wait(), Some(0));
}

/// Whether a process handles SIGTERM and SIGHUP, by `/proc/PID/status`.
fn handles_signals(node: &Process) -> bool {
    const SIGHUP_AND_SIGTERM: u64 = 1 | 1 << 14;
    let status = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
    let mask = status.lines().find_map(|it| it.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|it| u64::from_str_radix(it.trim(), 16).ok());
    mask.is_some_and(|it| it & SIGHUP_AND_SIGTERM == SIGHUP_AND_SIGTERM)
}

/// Starts a node, sends it a signal after `moment`, and returns the exit code and when the node was
/// seen to handle signals. A signal that would come sooner waits for that.
fn signal_after(signal: &str, moment: Duration) -> (Option<i32>, Duration) {
    let lone = LoneNode::new(&format!("lone{signal}-{}", moment.as_millis()));
    let file = lone.folder.write("lone.toml", &lone.text);
    let began = Instant::now();
    let mut node = Process::start(&["sidecar", path(&file)]);
    while !handles_signals(&node) && began.elapsed() < Duration::from_secs(10) {}
    let handled = began.elapsed();
    thread::sleep(moment.saturating_sub(handled));
    node.signal(signal);
    if signal == "-HUP" {
        thread::sleep(moment);
        node.signal("-TERM");
    }
    (node.wait(), handled)
}

#[test]
fn a_signal_within_the_first_50_ms_after_the_start_does_not_end_the_node_by_itself() {
    let moments: Vec<u64> = (0..50).step_by(2).collect();
    thread::scope(|scope| {
        for signal in ["-TERM", "-HUP"] {
            for some in moments.chunks(9) {
                scope.spawn(move || {
                    for moment in some {
                        let (code, handled) = signal_after(signal, Duration::from_millis(*moment));
                        println!("{signal} after {moment} ms: handled after {handled:?}");
                        assert_eq!(code, Some(0), "{signal} {moment} ms after the start");
                    }
                });
            }
        }
    });
}

/// An owner told its peers that it had not read a request that was at work when its grace time ended.
#[test]
fn a_run_that_an_owner_cuts_at_the_end_of_its_stop_is_not_repeated_elsewhere() {
    let mut site = Site::start("site-cut-run", &["shop", "desk", "desk"]);
    put_patient_table(&site);
    for member in &site.members[1..] {
        member
            .server
            .set_usual(Behaviour::Slow(Duration::from_millis(7_500)));
    }
    let requests: Vec<_> = (0..6).map(|_| patient_write("desk")).collect();
    let clients: Vec<_> = requests.iter().map(|it| ask_aside(&site, 0, it)).collect();
    eventually("the requests run", || {
        requests.iter().all(|it| site.runs_of(it) == 1)
    });
    site.members[1].node.signal("-TERM");
    let answers: Vec<_> = clients
        .into_iter()
        .map(|it| it.join().expect("the client thread panicked").status)
        .collect();
    let runs: Vec<_> = requests.iter().map(|it| site.runs_of(it)).collect();
    assert!(answers.contains(&502), "no run was cut: {answers:?}");
    assert!(!answers.contains(&503), "{answers:?}");
    assert_eq!(runs, [1; 6], "{answers:?}");
    assert_eq!(site.members[1].node.wait(), Some(0));
}
