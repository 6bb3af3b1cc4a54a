//! Crowds of clients that send bodies almost to their end or over the limit, or don't read answers.
//!
//! One crowd at a time. Each test checks that the processes live, within the memory and the descriptors
//! that their settings give them, and that other requests are served afterwards.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use cassiashunt_standin::site::{Behaviour, Request, ask, open, table};
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read, set_field, write},
};

/// The memory and the descriptors that a node's settings state.
const MEMORY_MB: u64 = 96;
const MAX_FDS: usize = 256;
/// The longest body that the table allows; the crowd's exceed a node's memory more than twice.
const MAX_BODY_BYTES: usize = 4 << 20;
const CROWD: usize = 64;
/// How long a client of the crowd tries to send or to read on.
const PATIENCE: Duration = Duration::from_millis(500);

/// Held by the one test that runs.
static CROWD_LOCK: Mutex<()> = Mutex::new(());

struct Stage {
    site: Site,
    memory_mb: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Stage {
    fn new(name: &str, memory_mb: u64, body_bytes: usize) -> Self {
        let turn = CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let mut table = table(1, &[WORKSPACE_KEY], 0);
        set_field(&mut table, "limits", "body_bytes", body_bytes as u64);
        // Connections without progress stay open throughout a test.
        set_field(&mut table, "limits", "idle_timeout_ms", 60_000);
        let mut site = Site::start_with_table(name, &["shop", "desk"], &table);
        for member in &mut site.members {
            let limits = format!("[limits]\nmemory-mb = {memory_mb}\nmax-fds = {MAX_FDS}\n[store]");
            member.write_settings("[store]", &limits);
            member.node.kill();
            member.restart();
        }
        eventually("the nodes serve again", || {
            let mut members = site.members.iter();
            members.all(|it| {
                ["shop", "desk"].iter().all(|service| {
                    it.ask(&read(service))
                        .is_ok_and(|answer| answer.status == 200)
                })
            })
        });
        Self {
            site,
            memory_mb,
            _turn: turn,
        }
    }

    /// A crowd's stage.
    fn crowded(name: &str) -> Self {
        Self::new(name, MEMORY_MB, MAX_BODY_BYTES)
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = open(self.site.members[0].requests).ok()?;
        stream.set_write_timeout(Some(PATIENCE)).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(stream)
    }

    /// Sends each client's bytes piece by piece, a piece of each in turn. The connections that the node
    /// has not closed stay open until the result is dropped.
    fn send_in_turn(&self, clients: usize, bytes: &[u8], piece: usize) -> Vec<TcpStream> {
        let mut open: Vec<_> = (0..clients).filter_map(|_| self.connect()).collect();
        for piece in bytes.chunks(piece) {
            open.retain_mut(|stream| stream.write_all(piece).is_ok());
        }
        open
    }

    /// Checks the processes while `crowd` is open, and that they serve others' requests.
    fn check(mut self, crowd: Vec<TcpStream>) {
        println!("{} connections of the crowd are open", crowd.len());
        self.check_processes();
        for service in ["shop", "desk"] {
            for request in [read(service), write(service)] {
                eventually("an ordinary request is served", || {
                    let request = Request {
                        attempt: Request::default().attempt,
                        ..request.clone()
                    };
                    let answer = self.site.members[0].ask(&request);
                    answer.is_ok_and(|it| it.status == 200)
                });
            }
        }
        self.check_processes();
    }

    fn check_processes(&mut self) {
        for member in &mut self.site.members {
            assert!(!member.node.has_exited(), "{} ended", member.name);
            let (peak, _) = member.node.resource_usage();
            let fds = std::fs::read_dir(format!("/proc/{}/fd", member.node.id()));
            let fds = fds.expect("cannot list the descriptors").count();
            println!(
                "{}: peak {} MiB, {fds} descriptors",
                member.name,
                peak >> 20
            );
            assert!(
                peak <= self.memory_mb << 20,
                "{}: peak memory of {} MiB",
                member.name,
                peak >> 20
            );
            assert!(fds <= MAX_FDS, "{}: {fds} descriptors", member.name);
        }
    }
}

fn head(service: &str, framing: &str) -> String {
    format!(
        "POST /{service}/write/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {:016x}\r\n\
         X-Timeout-Ms: 3000\r\nX-Api-Key: {WORKSPACE_KEY}\r\n{framing}\r\n\r\n",
        fastrand::u64(..)
    )
}

/// A request whose body has a length, but for its last byte.
fn unfinished() -> Vec<u8> {
    let head = head("shop", &format!("Content-Length: {MAX_BODY_BYTES}"));
    [head.into_bytes(), vec![b'x'; MAX_BODY_BYTES - 1]].concat()
}

/// A request whose body comes in chunks of a size, but for the last chunk.
fn unfinished_chunks(size: usize, body: usize) -> Vec<u8> {
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ]
    .concat();
    let head = head("shop", "Transfer-Encoding: chunked").into_bytes();
    [head, chunk.repeat(body / size)].concat()
}

/// The status with which a node answers on an open connection; `None` where it closes or is silent.
fn read_status(stream: &mut TcpStream) -> Option<String> {
    let mut text = [0; 12];
    stream.read_exact(&mut text).ok()?;
    Some(String::from_utf8_lossy(&text[9..]).into_owned())
}

#[test]
fn bodies_that_stop_just_short_of_their_end_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-whole");
    let crowd = stage.send_in_turn(CROWD, &unfinished(), usize::MAX);
    stage.check(crowd);
}

#[test]
fn bodies_that_come_piece_by_piece_and_stop_short_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-pieces");
    let crowd = stage.send_in_turn(CROWD, &unfinished(), 64 * 1024);
    stage.check(crowd);
}

#[test]
fn bodies_in_large_chunks_that_stop_short_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-chunks");
    let bytes = unfinished_chunks(1 << 20, MAX_BODY_BYTES);
    let crowd = stage.send_in_turn(CROWD, &bytes, 64 * 1024);
    stage.check(crowd);
}

#[test]
fn bodies_in_a_single_chunk_that_stops_short_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-chunk");
    let mut bytes = unfinished_chunks(MAX_BODY_BYTES, MAX_BODY_BYTES);
    bytes.truncate(bytes.len() - 3);
    let crowd = stage.send_in_turn(CROWD, &bytes, usize::MAX);
    stage.check(crowd);
}

#[test]
fn bodies_in_tiny_chunks_that_stop_short_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-tiny");
    let bytes = unfinished_chunks(8, MAX_BODY_BYTES);
    let crowd = stage.send_in_turn(CROWD, &bytes, 256 * 1024);
    stage.check(crowd);
}

#[test]
fn short_bodies_on_many_connections_stay_within_the_memory() {
    let stage = Stage::new("hostile-short", MEMORY_MB, MAX_BODY_BYTES);
    // Each under a sixteenth of the limit; more connections than the node may have descriptors.
    let bytes = unfinished_chunks(1_024, 250 * 1024);
    let crowd = stage.send_in_turn(2 * MAX_FDS, &bytes, usize::MAX);
    stage.check(crowd);
}

#[test]
fn bodies_over_the_limit_that_are_announced_are_refused_unread() {
    let stage = Stage::crowded("hostile-announced");
    let head = head("shop", "Content-Length: 1073741824").into_bytes();
    let mut crowd = stage.send_in_turn(CROWD, &head, usize::MAX);
    assert_eq!(crowd.len(), CROWD);
    for stream in &mut crowd {
        assert_eq!(read_status(stream).as_deref(), Some("413"));
    }
    let piece = vec![b'x'; 1 << 20];
    for _ in 0..8 {
        crowd.retain_mut(|stream| stream.write_all(&piece).is_ok());
    }
    stage.check(crowd);
}

#[test]
fn bodies_over_the_limit_that_are_just_sent_are_refused_at_the_limit() {
    let stage = Stage::crowded("hostile-sent");
    let bytes = unfinished_chunks(64 * 1024, 4 * MAX_BODY_BYTES);
    let mut crowd = stage.send_in_turn(CROWD, &bytes, 64 * 1024);
    for stream in &mut crowd {
        let status = read_status(stream);
        assert!(
            matches!(status.as_deref(), None | Some("413" | "503")),
            "{status:?}"
        );
    }
    let chunk = unfinished_chunks(64 * 1024, 64 * 1024);
    eventually("the node closes the connections", || {
        crowd.retain_mut(|stream| stream.write_all(&chunk).is_ok());
        crowd.is_empty()
    });
    stage.check(crowd);
}

#[test]
fn whole_bodies_at_once_stay_within_the_memory_and_refused_ones_have_not_run() {
    let stage = Stage::crowded("hostile-complete");
    let work = Duration::from_millis(300);
    for member in &stage.site.members {
        member.server.set_usual(Behaviour::Slow(work));
    }
    let member = &stage.site.members[0];
    thread::scope(|scope| {
        for at in 0..CROWD {
            let service = ["shop", "desk"][at % 2];
            let request = Request {
                body: vec![b'x'; MAX_BODY_BYTES],
                ..write(service)
            };
            let site = &stage.site;
            scope.spawn(move || {
                let ended = member.ask(&request).map(|it| it.status);
                if let Ok(429 | 503 | 408) = ended {
                    assert_eq!(site.runs_of(&request), 0, "a refused request has run");
                }
                assert_ne!(ended.ok(), Some(413));
            });
        }
    });
    stage.check(Vec::new());
}

#[test]
fn answers_that_clients_do_not_read_stay_within_the_memory() {
    let stage = Stage::crowded("hostile-readers");
    for member in &stage.site.members {
        let long = Behaviour::Long(Duration::ZERO, MAX_BODY_BYTES);
        member.server.set_usual(long);
    }
    let mut crowd = Vec::new();
    for at in 0..CROWD {
        let Some(mut stream) = stage.connect() else {
            continue;
        };
        let request = read(["shop", "desk"][at % 2]);
        if stream.write_all(&request.encode()).is_err() {
            continue;
        }
        // Waits for the start of the answer, so that the requests come one after the other.
        match stream.read(&mut [0; 16]) {
            Ok(_) => crowd.push(stream),
            Err(err) if err.kind() == ErrorKind::WouldBlock => crowd.push(stream),
            Err(_) => {}
        }
    }
    thread::sleep(Duration::from_secs(1));
    for member in &stage.site.members {
        member.server.set_usual(Behaviour::Serve);
    }
    stage.check(crowd);
}

#[test]
fn a_body_at_the_platforms_limit_is_served_in_calm_within_the_least_memory() {
    const LEAST_MEMORY_MB: u64 = 160;
    let stage = Stage::new("hostile-calm", LEAST_MEMORY_MB, 64 << 20);
    for service in ["shop", "desk"] {
        let request = Request {
            body: vec![b'x'; 64 << 20],
            ..write(service)
        };
        let mut stream = open(stage.site.members[0].requests).expect("cannot connect to the node");
        let answer = ask(&mut stream, &request.encode()).expect("no answer from the node");
        assert_eq!(answer.status, 200, "{service}");
    }
    stage.check(Vec::new());
}
