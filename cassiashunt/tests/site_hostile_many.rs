//! Crowds of clients on as many connections as a node takes, with a body, a head or an answer on each.
//!
//! One crowd at a time. The memory that is checked includes input that waits unread in the process's
//! sockets, since the platform counts it too. See `site_hostile.rs` for few connections with long bodies.

mod support;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use cassiashunt_standin::site::{Behaviour, Request, ask, open, table};
use support::{
    crowd::Crowd,
    eventually,
    footprint::{Footprint, Sampler},
    site::{Member, Site, WORKSPACE_KEY, read, set_field, write},
};

/// The memory and the descriptors that a node's settings state, in the ratio of the platform's smallest
/// machines (160 MB to 4,100).
const MEMORY_MB: u64 = 96;
const MAX_FDS: usize = 2_460;
/// More connections than a node takes: two thirds of its descriptors.
const CROWD: usize = 1_700;
/// The limits of the operators' table.
const MAX_BODY_BYTES: usize = 4 << 20;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The longest body that the platform allows, and the memory of its smallest machines.
const LONGEST_BODY_BYTES: usize = 64 << 20;
const LEAST_MEMORY_MB: u64 = 160;

/// How long a crowd stays as it is before the check, so that the node has met all of it.
const SETTLING: Duration = Duration::from_secs(1);

/// Held by the one test that runs.
static CROWD_LOCK: Mutex<()> = Mutex::new(());

struct Stage {
    site: Site,
    memory_mb: u64,
    samplers: Vec<Sampler>,
    _turn: MutexGuard<'static, ()>,
}

impl Stage {
    /// Two nodes, of the services shop and desk.
    fn new(name: &str) -> Self {
        Self::with_memory(name, MEMORY_MB, MAX_BODY_BYTES)
    }

    fn with_memory(name: &str, memory_mb: u64, body_bytes: usize) -> Self {
        let turn = CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let mut table = table(1, &[WORKSPACE_KEY], 0);
        set_field(&mut table, "limits", "body_bytes", body_bytes as u64);
        set_field(
            &mut table,
            "limits",
            "header_bytes",
            MAX_HEADER_BYTES as u64,
        );
        // Connections without progress stay open throughout a test.
        set_field(&mut table, "limits", "idle_timeout_ms", 60_000);
        set_field(&mut table, "limits", "header_timeout_ms", 60_000);
        let mut site = Site::start_with_table(name, &["shop", "desk"], &table);
        for member in &mut site.members {
            let limits = format!("[limits]\nmemory-mb = {memory_mb}\nmax-fds = {MAX_FDS}\n[store]");
            member.write_settings("[store]", &limits);
            member.node.kill();
            member.restart();
        }
        eventually("the nodes serve again", || {
            site.members.iter().all(|member| {
                ["shop", "desk"]
                    .iter()
                    .all(|service| is_served(member, &read(service)))
            })
        });
        let samplers = site
            .members
            .iter()
            .map(|it| Sampler::start(it.node.id(), listeners(it)))
            .collect();
        Self {
            site,
            memory_mb,
            samplers,
            _turn: turn,
        }
    }

    /// A crowd at the first node.
    fn crowd(&self) -> Crowd {
        Crowd::connect(self.site.members[0].requests, CROWD)
    }

    /// Checks the processes while the crowds are open, and that they serve others' requests.
    fn check(mut self, crowds: &[Crowd]) {
        for crowd in crowds {
            println!("{} connections of a crowd are open", crowd.len());
        }
        thread::sleep(SETTLING);
        self.check_processes();
        for member in &self.site.members {
            for service in ["shop", "desk"] {
                for request in [read(service), write(service)] {
                    eventually("an ordinary request is served", || {
                        is_served(member, &request)
                    });
                }
            }
        }
        self.check_processes();
    }

    fn check_processes(&mut self) {
        let max = self.memory_mb << 20;
        for (member, sampler) in self.site.members.iter_mut().zip(&self.samplers) {
            assert!(!member.node.has_exited(), "{} ended", member.name);
            let (peak_resident, _) = member.node.resource_usage();
            let now = Footprint::of(member.node.id(), &listeners(member));
            let now = now.expect("cannot read /proc of the process");
            let fds = std::fs::read_dir(format!("/proc/{}/fd", member.node.id()));
            let fds = fds.expect("cannot list the descriptors").count();
            let peak = sampler.peak().max(now.total());
            println!(
                "{}: peak {} MiB with unread input, {} MiB resident; now {} and {} MiB; {fds} descriptors",
                member.name,
                peak >> 20,
                peak_resident >> 20,
                now.resident >> 20,
                now.unread >> 20,
            );
            assert!(
                peak <= max && peak_resident <= max,
                "{}: peak memory of {} MiB, {} MiB resident",
                member.name,
                peak >> 20,
                peak_resident >> 20
            );
            assert!(fds <= MAX_FDS, "{}: {fds} descriptors", member.name);
        }
    }
}

fn listeners(member: &Member) -> Vec<SocketAddr> {
    vec![
        member.requests,
        member.peers,
        member.ready,
        member.heartbeats,
    ]
}

/// Whether a node answers a request like this one, under an id of its own, with 200.
fn is_served(member: &Member, request: &Request) -> bool {
    let request = Request {
        attempt: Request::default().attempt,
        ..request.clone()
    };
    member.ask(&request).is_ok_and(|it| it.status == 200)
}

fn head(service: &str, framing: &str) -> Vec<u8> {
    format!(
        "POST /{service}/write/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {:016x}\r\n\
         X-Timeout-Ms: 3000\r\nX-Api-Key: {WORKSPACE_KEY}\r\n{framing}\r\n\r\n",
        fastrand::u64(..)
    )
    .into_bytes()
}

/// A request whose body has this length, but for its last byte.
fn unfinished(service: &str, length: usize) -> Vec<u8> {
    let head = head(service, &format!("Content-Length: {length}"));
    [head, vec![b'x'; length - 1]].concat()
}

/// A request whose body of this length comes in chunks of a size, but for the last chunk.
fn unfinished_chunks(service: &str, size: usize, length: usize) -> Vec<u8> {
    let head = head(service, "Transfer-Encoding: chunked");
    [head, chunks(size, length)].concat()
}

fn chunks(size: usize, length: usize) -> Vec<u8> {
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ]
    .concat();
    chunk.repeat(length / size)
}

/// The head of a request with a field so long that the head has this length, but for its end.
fn unfinished_head(length: usize) -> Vec<u8> {
    let mut head = head("shop", "X-Note: ");
    head.truncate(head.len() - 4);
    head.resize(length, b'x');
    head
}

#[test]
fn bodies_that_stop_short_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-whole");
    let mut crowd = stage.crowd();
    crowd.send(&unfinished("shop", MAX_BODY_BYTES), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn bodies_that_come_piece_by_piece_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-pieces");
    let mut crowd = stage.crowd();
    crowd.send(&unfinished("shop", MAX_BODY_BYTES), 4 * 1024);
    stage.check(&[crowd]);
}

#[test]
fn short_bodies_that_stop_short_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-short");
    let mut crowd = stage.crowd();
    crowd.send(&unfinished("shop", 60 * 1024), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn bodies_in_large_chunks_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-large-chunks");
    let mut crowd = stage.crowd();
    let bytes = unfinished_chunks("shop", 1 << 20, MAX_BODY_BYTES);
    crowd.send(&bytes, 64 * 1024);
    stage.check(&[crowd]);
}

#[test]
fn bodies_in_tiny_chunks_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-tiny-chunks");
    let mut crowd = stage.crowd();
    crowd.send(&unfinished_chunks("shop", 8, 64 * 1024), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn bodies_over_the_limit_that_are_announced_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-announced");
    let mut crowd = stage.crowd();
    let head = head("shop", "Content-Length: 1073741824");
    crowd.send(&[head, vec![b'x'; 1 << 20]].concat(), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn bodies_over_the_limit_that_are_just_sent_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-sent");
    let mut crowd = stage.crowd();
    let bytes = unfinished_chunks("shop", 64 * 1024, 2 * MAX_BODY_BYTES);
    crowd.send(&bytes, usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn heads_that_stop_short_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-heads");
    let mut crowd = stage.crowd();
    crowd.send(&unfinished_head(MAX_HEADER_BYTES - 1), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn heads_up_to_a_larger_limit_on_all_connections_stay_within_the_memory() {
    const LARGER_HEADER_BYTES: usize = 128 * 1024;
    let stage = Stage::new("many-larger-heads");
    let mut table = table(2, &[WORKSPACE_KEY], 0);
    for (field, value) in [
        ("header_bytes", LARGER_HEADER_BYTES),
        ("header_timeout_ms", 60_000),
    ] {
        set_field(&mut table, "limits", field, value as u64);
    }
    stage.site.put_table_in_force(&table);
    let mut crowd = stage.crowd();
    crowd.send(&unfinished_head(LARGER_HEADER_BYTES - 1), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn a_crowd_whose_input_comes_while_the_process_stands_still_stays_within_the_memory() {
    let stage = Stage::new("many-stall");
    let mut crowd = stage.crowd();
    stage.site.members[0].node.signal("-STOP");
    crowd.send(&unfinished("shop", MAX_BODY_BYTES), usize::MAX);
    stage.site.members[0].node.signal("-CONT");
    crowd.send(&vec![b'x'; MAX_BODY_BYTES], usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn requests_in_a_row_behind_ones_that_run_stay_within_the_memory() {
    let stage = Stage::new("many-behind");
    for member in &stage.site.members {
        let slow = Behaviour::Slow(Duration::from_secs(1));
        member.server.set_usual(slow);
    }
    let mut crowd = stage.crowd();
    crowd.send_each(|_| read("shop").encode());
    let request = head("shop", "Content-Length: 60000");
    let request = [request, vec![b'x'; 60_000]].concat();
    crowd.send(&request.repeat(8), usize::MAX);
    for member in &stage.site.members {
        member.server.set_usual(Behaviour::Serve);
    }
    stage.check(&[crowd]);
}

#[test]
fn requests_with_long_heads_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-long-heads");
    for member in &stage.site.members {
        let slow = Behaviour::Slow(Duration::from_secs(1));
        member.server.set_usual(slow);
    }
    let mut crowd = stage.crowd();
    let mut request = unfinished_head(MAX_HEADER_BYTES - 64);
    request.extend_from_slice(b"\r\nContent-Length: 2\r\n\r\nab");
    crowd.send(&request, usize::MAX);
    thread::sleep(Duration::from_millis(500));
    for member in &stage.site.members {
        member.server.set_usual(Behaviour::Serve);
    }
    stage.check(&[crowd]);
}

#[test]
fn answers_that_are_not_read_on_all_connections_stay_within_the_memory() {
    let stage = Stage::new("many-readers");
    for member in &stage.site.members {
        let long = Behaviour::Long(Duration::ZERO, MAX_BODY_BYTES);
        member.server.set_usual(long);
    }
    let mut crowd = stage.crowd();
    // A few at a time, so that the rest are not refused for want of a slot.
    for _ in 0..8 {
        crowd.send_each(|at| read(["shop", "desk"][at % 2]).encode());
        thread::sleep(Duration::from_millis(500));
    }
    for member in &stage.site.members {
        member.server.set_usual(Behaviour::Serve);
    }
    stage.check(&[crowd]);
}

#[test]
fn a_crowd_for_a_peers_service_stays_within_the_memory_of_both() {
    let stage = Stage::new("many-peer");
    let mut crowd = stage.crowd();
    let head = head("desk", "Content-Length: 262144");
    let request = [head, vec![b'x'; 262_144]].concat();
    crowd.send(&request.repeat(4), usize::MAX);
    stage.check(&[crowd]);
}

#[test]
fn crowds_at_two_nodes_at_once_stay_within_the_memory_of_both() {
    let stage = Stage::new("many-both");
    let mut crowds: Vec<_> = stage
        .site
        .members
        .iter()
        .map(|it| Crowd::connect(it.requests, CROWD / 2))
        .collect();
    thread::scope(|scope| {
        for (crowd, service) in crowds.iter_mut().zip(["desk", "shop"]) {
            let whole = head(service, "Content-Length: 1048576");
            let whole = [whole, vec![b'x'; 1 << 20]].concat();
            let unfinished = unfinished(service, MAX_BODY_BYTES);
            scope.spawn(move || {
                crowd.send(&[whole, unfinished].concat(), 64 * 1024);
            });
        }
    });
    stage.check(&crowds);
}

#[test]
fn a_crowd_that_comes_back_when_it_is_closed_stays_within_the_memory() {
    let stage = Stage::new("many-back");
    let mut crowd = stage.crowd();
    let bytes = unfinished("shop", 256 * 1024);
    for _ in 0..5 {
        crowd.send(&bytes, usize::MAX);
        crowd.reconnect(CROWD);
    }
    stage.check(&[crowd]);
}

#[test]
fn connections_to_the_other_listeners_stay_within_the_memory() {
    let stage = Stage::new("many-others");
    let member = &stage.site.members[0];
    let mut crowds: Vec<_> = [member.ready, member.heartbeats]
        .iter()
        .map(|to| Crowd::connect(*to, CROWD))
        .collect();
    let bytes = unfinished("shop", 16 * 1024 - 1);
    for crowd in &mut crowds {
        crowd.send(&bytes, usize::MAX);
    }
    stage.check(&crowds);
}

#[test]
fn a_chunked_body_at_the_platforms_limit_is_served_in_calm_within_the_least_memory() {
    let stage = Stage::with_memory("many-calm", LEAST_MEMORY_MB, LONGEST_BODY_BYTES);
    for service in ["shop", "desk"] {
        for size in [64 * 1024, 4 << 20] {
            let end = b"0\r\n\r\n".to_vec();
            let request = [unfinished_chunks(service, size, LONGEST_BODY_BYTES), end].concat();
            let mut stream = open(stage.site.members[0].requests).expect("cannot connect");
            let answer = ask(&mut stream, &request).expect("no answer from the node");
            assert_eq!(answer.status, 200, "{service} in chunks of {size}");
        }
    }
    stage.check(&[]);
}

#[test]
fn long_bodies_in_a_row_on_one_connection_are_served_in_calm() {
    let stage = Stage::with_memory("many-row", LEAST_MEMORY_MB, LONGEST_BODY_BYTES);
    let mut stream = open(stage.site.members[0].requests).expect("cannot connect");
    for _ in 0..3 {
        let body = [unfinished("shop", LONGEST_BODY_BYTES), b"x".to_vec()].concat();
        let answer = ask(&mut stream, &body).expect("no answer from the node");
        assert_eq!(answer.status, 200);
    }
    stage.check(&[]);
}

#[test]
fn chunked_bodies_at_the_platforms_limit_beside_a_crowd_stay_within_the_least_memory() {
    let stage = Stage::with_memory("many-long", LEAST_MEMORY_MB, LONGEST_BODY_BYTES);
    let mut crowd = stage.crowd();
    crowd.send(&unfinished("shop", 1 << 20), usize::MAX);
    let to = stage.site.members[0].requests;
    thread::scope(|scope| {
        for service in ["shop", "desk"] {
            scope.spawn(move || {
                let end = b"0\r\n\r\n".to_vec();
                let body = unfinished_chunks(service, 64 * 1024, LONGEST_BODY_BYTES);
                let request = [body, end].concat();
                let Ok(mut stream) = open(to) else { return };
                // It may be refused or closed.
                let _ = ask(&mut stream, &request);
            });
        }
    });
    stage.check(&[crowd]);
}
