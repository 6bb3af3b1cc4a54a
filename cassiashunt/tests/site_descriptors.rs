//! A node whose clients keep more connections than it has file descriptors.

mod support;

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use cassiashunt_standin::site::{self, Answer, Behaviour, ask, open};
use support::{
    eventually,
    site::{Member, Site, WORKSPACE_KEY, read, set_field},
};

/// The node's limit of open files.
const MAX_FILES: usize = 256;
/// The connections that clients open and keep.
const CONNECTIONS: usize = 320;
/// The kept connections on which requests are sent at the same time; fewer than the server has slots.
const AT_ONCE: usize = 6;
/// How long the server works on each of these requests.
const WORK: Duration = Duration::from_millis(200);
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longer than a client waits, so that keys don't become stale before the server is needed.
const KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

/// Found by hoasen-mesh-grown, cling-busy and cling-half: kept connections of clients used up the
/// descriptors, so new clients waited in the listen queue and the node took its server for dead.
#[test]
fn a_node_whose_clients_keep_more_connections_than_it_has_descriptors_still_answers() {
    let site = start_limited();
    let member = &site.members[0];
    let mut faults = Vec::new();
    let mut kept = Vec::new();
    for at in 1..=CONNECTIONS {
        match connect_and_ask(member.requests) {
            Ok((stream, answer)) if answer.status == 200 => kept.push(stream),
            other => {
                let ended = other.map(|(_, answer)| answer);
                faults.extend(fault(&format!("connection {at}"), ended));
                break;
            }
        }
    }
    // The node may close idle connections, but not all.
    kept.retain(is_open);
    assert!(kept.len() >= AT_ONCE, "{} are open: {faults:?}", kept.len());

    member.server.set_usual(Behaviour::Slow(WORK));
    let first_of_latest = kept.len() - AT_ONCE;
    faults.extend(ask_at_once(&mut kept[first_of_latest..]));
    faults.extend(fault("new client", ask_anew(member)));
    // The node must have read the store again by then.
    thread::sleep(KEY_WITHDRAWAL);
    faults.extend(fault("later client", ask_anew(member)));
    for event in ["\"server-failed\"", "\"server-down\""] {
        let log = member.log();
        faults.extend(log.lines().find(|it| it.contains(event)).map(str::to_owned));
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Starts a node with few descriptors.
fn start_limited() -> Site {
    let mut site = Site::start_with_key_withdrawal("site-descriptors", &["shop"], KEY_WITHDRAWAL);
    site.put_table(&table_for_idle_clients());
    let member = &mut site.members[0];
    member.node.kill();
    member.restart_limited(MAX_FILES);
    eventually("the restarted node serves requests", || {
        member.ask(&read("shop")).is_ok_and(|it| it.status == 200)
    });
    site
}

/// A table by which connections may be idle throughout the test, with a rate that it doesn't reach.
fn table_for_idle_clients() -> serde_json::Value {
    let mut table = site::table(2, &[WORKSPACE_KEY], 10_000);
    set_field(&mut table, "limits", "idle_timeout_ms", 60_000);
    table
}

/// Sends a request on a new connection.
fn connect_and_ask(node: SocketAddr) -> io::Result<(TcpStream, Answer)> {
    let mut stream = open(node)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let answer = ask(&mut stream, &read("shop").encode())?;
    Ok((stream, answer))
}

fn ask_anew(member: &Member) -> io::Result<Answer> {
    connect_and_ask(member.requests).map(|(_, answer)| answer)
}

/// Sends a request on each connection at the same time; returns the faults.
fn ask_at_once(connections: &mut [TcpStream]) -> Vec<String> {
    thread::scope(|scope| {
        let requests: Vec<_> = connections
            .iter_mut()
            .map(|stream| scope.spawn(|| ask(stream, &read("shop").encode())))
            .collect();
        let ended = requests.into_iter().map(|it| it.join());
        ended
            .filter_map(|it| fault("kept connection", it.expect("a client panicked")))
            .collect()
    })
}

/// What is wrong with the end of a request.
fn fault(client: &str, ended: io::Result<Answer>) -> Option<String> {
    match ended {
        Ok(answer) if answer.status == 200 => None,
        Ok(answer) => Some(format!("{client}: {}", answer.status)),
        Err(err) => Some(format!("{client}: {err}")),
    }
}

/// Whether the node has not closed this idle connection.
fn is_open(stream: &TcpStream) -> bool {
    let set_nonblocking = |it| stream.set_nonblocking(it).expect("cannot set the mode");
    set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    set_nonblocking(false);
    peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
}
