//! What must not hold up a node's only thread.

mod support;

use std::{
    fs,
    io::{self, Write as _},
    net::TcpStream,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use cassiashunt_standin::site::{Addresses, Answer, NodeSettings, Request, ask, open};
use support::{
    Folder, eventually, free_addr, listens, path,
    site::{Site, read, write},
};

/// Heartbeats that can't be read, each of which is logged whatever the rate: more than the pipe, the
/// queued batches and the buffer hold together.
const LOGGED_HEARTBEATS: usize = 8_000;

/// A node without a store, whose standard output nobody reads.
struct UnreadNode {
    addresses: Addresses,
    settings: std::path::PathBuf,
    child: Child,
    /// Removed when the node is dropped.
    _folder: Folder,
}

impl UnreadNode {
    fn start(name: &str) -> Self {
        let addresses = Addresses::free().expect("cannot bind a port on loopback");
        let text = NodeSettings {
            name,
            domain: "east",
            service: "shop",
            addresses,
            server: free_addr(),
            store: free_addr(),
            withdrawal: Duration::from_millis(2_500),
            grace: Duration::from_secs(6),
        };
        let folder = Folder::new(name);
        let settings = folder.write("node.toml", &text.to_toml());
        let child = Command::new(env!("CARGO_BIN_EXE_cassiashunt"))
            .args(["sidecar", path(&settings)])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let node = Self {
            addresses,
            settings,
            child: child.expect("cannot start the binary"),
            _folder: folder,
        };
        eventually("the node listens", || listens(addresses.heartbeats));
        node
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.expect("cannot run kill").success());
    }

    /// Whether it answers a request, on a new connection.
    fn answers(&self) -> bool {
        let answer = open(self.addresses.ready)
            .and_then(|mut it| ask(&mut it, &Request::default().encode()));
        answer.is_ok()
    }

    /// Asks it to stop, and waits until it has ended in order.
    fn stop(&mut self) {
        self.signal("-TERM");
        let mut code = None;
        eventually("the node ends", || {
            let status = self.child.try_wait().expect("cannot wait for the node");
            code = status.and_then(|it| it.code());
            status.is_some()
        });
        assert_eq!(code, Some(0), "the node did not end in order");
    }
}

impl Drop for UnreadNode {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_unreadable_heartbeat(stream: &mut TcpStream) {
    let request = Request {
        method: "POST",
        target: "/-/rpc?call=instances.heartbeat&of=i-1".into(),
        body: b"{".to_vec(),
        ..Request::default()
    };
    let answer = ask(stream, &request.encode()).expect("no answer from the node");
    assert_eq!(answer.status, 400);
}

#[test]
fn a_node_whose_standard_output_is_not_read_answers_and_stops() {
    let mut node = UnreadNode::start("site-unread-output");
    let mut heartbeats = open(node.addresses.heartbeats).expect("cannot connect to the node");
    for _ in 0..LOGGED_HEARTBEATS {
        send_unreadable_heartbeat(&mut heartbeats);
    }
    assert!(node.answers(), "held up by its log");
    node.stop();
}

/// A reload waited for its settings file on the thread that serves all requests.
#[test]
fn a_node_whose_settings_file_cannot_be_read_to_its_end_answers_and_stops() {
    let mut node = UnreadNode::start("site-slow-settings");
    fs::remove_file(&node.settings).expect("cannot remove the settings file");
    let made = Command::new("mkfifo").arg(&node.settings).status();
    assert!(made.expect("cannot run mkfifo").success());
    node.signal("-HUP");
    let writer = fs::File::options().write(true).open(&node.settings);
    let mut writer = writer.expect("cannot open the pipe");
    writer.write_all(b"name").expect("cannot write settings");
    assert!(node.answers(), "held up by its settings file");
    node.stop();
}

/// Stops the node of a site and lets it stand still across the end of its notice, while `clients` send.
/// Returns the status of each answer.
fn stop_standing_still(
    site: &mut Site,
    clients: Vec<impl FnOnce() -> io::Result<Answer> + Send + 'static>,
) -> Vec<io::Result<u16>> {
    let wait = |millis| thread::sleep(Duration::from_millis(millis));
    site.members[0].node.signal("-TERM");
    wait(2_300);
    site.members[0].node.signal("-STOP");
    let clients: Vec<_> = clients.into_iter().map(thread::spawn).collect();
    wait(600);
    site.members[0].node.signal("-CONT");
    let answers = clients
        .into_iter()
        .map(|it| it.join().expect("the client panicked"));
    let ends = answers.map(|it| it.map(|answer| answer.status)).collect();
    assert_eq!(site.members[0].node.wait(), Some(0));
    ends
}

/// A stopping node that had stood still beyond its notice ended at its next look, without reading what
/// had arrived meanwhile.
#[test]
fn requests_that_arrive_while_a_stopping_node_stands_still_are_answered() {
    // Without peers nothing is waited for after that look.
    let mut site = Site::start("site-still-stop", &["shop"]);
    let node = site.members[0].requests;
    let kept = [read("shop"), write("shop"), read("shop"), write("shop")].map(|request| {
        let mut stream = open(node).expect("cannot connect to the node");
        let answer = ask(&mut stream, &read("shop").encode()).expect("no answer");
        assert_eq!(answer.header("connection"), None);
        move || ask(&mut stream, &request.encode())
    });
    let ends = stop_standing_still(&mut site, kept.into());
    assert!(ends.iter().all(Result::is_ok), "not answered: {ends:?}");
}

/// A stopping node that had stood still beyond its notice closed its listener with the connections that
/// had arrived meanwhile.
#[test]
fn connections_that_arrive_while_a_stopping_node_stands_still_are_served() {
    let mut site = Site::start("site-still-accept", &["shop"]);
    let node = site.members[0].requests;
    let requests = [read("shop"), write("shop"), read("shop"), write("shop")];
    let new = requests.map(|request| move || ask(&mut open(node)?, &request.encode()));
    let ends = stop_standing_still(&mut site, new.into());
    assert!(ends.iter().all(Result::is_ok), "not answered: {ends:?}");
}

/// A stopping node that stood still beyond its end ended without a turn for all that was pending.
#[test]
fn all_that_is_pending_when_a_stopping_node_goes_on_after_its_end_is_answered() {
    const CLIENTS: usize = 400;
    let mut site = Site::start("site-late-end", &["shop"]);
    let node = site.members[0].requests;
    let wait = |millis| thread::sleep(Duration::from_millis(millis));
    site.members[0].node.signal("-TERM");
    wait(2_000);
    let bytes = read("shop").encode();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut stream = open(node).expect("cannot connect to the node");
            let part = stream.write_all(&bytes[..bytes.len() - 3]);
            part.expect("cannot send to the node");
            stream
        })
        .collect();
    wait(300);
    site.members[0].node.signal("-STOP");
    wait(3_400);
    site.members[0].node.signal("-CONT");
    assert_eq!(site.members[0].node.wait(), Some(0));
    let ends = clients.into_iter().map(|mut stream| ask(&mut stream, b""));
    let unanswered = ends.filter(Result::is_err).count();
    assert_eq!(unanswered, 0, "not answered, of {CLIENTS}");
}
