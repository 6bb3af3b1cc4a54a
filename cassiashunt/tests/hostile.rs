//! Crowds of callers at the node of the product's own interface that send bodies almost to their end,
//! or don't read answers.
//!
//! One crowd at a time; see `site_hostile.rs` for the platform's node.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use support::{Fleet, Process, ServiceSpec, call, eventually, path};

const ENDPOINTS: &str = "[[endpoints]]\npath = \"/sections\"\nbytes = 300\n\
                         [[endpoints]]\npath = \"/photos\"\nbytes = 4194304\n";
/// The longest body of a caller; the crowd's exceed the memory more than twice.
const MAX_BODY_BYTES: usize = 4 << 20;
const CROWD: usize = 64;
/// The memory of a node, and the descriptors: more than the crowd needs, but not many more.
const MAX_MEMORY_MB: u64 = 96;
const MAX_FDS: usize = 256;
/// How long a caller of the crowd tries to send or to read on.
const PATIENCE: Duration = Duration::from_millis(500);
/// The bounds in the settings of the nodes; the longest time of a request exceeds a test's.
const BOUNDS: &str = "receive-ms = 60000\n[bounds]\nbody-bytes = 4194304\nheld-bytes = 16777216\n\
                      waiting-bytes = 33554432\n";

/// Held by the one test that runs.
static CROWD_LOCK: Mutex<()> = Mutex::new(());

struct Stage {
    fleet: Fleet,
    key: String,
    _turn: MutexGuard<'static, ()>,
}

impl Stage {
    fn new(name: &str) -> Self {
        let turn = CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let rota = ServiceSpec {
            name: "rota",
            domains: &["ikeja", "apapa"],
            endpoints: ENDPOINTS,
        };
        let mut fleet = Fleet::start(name, &[rota]);
        fleet.table(&["bind", "GET /sections", "sections", "read", "rota"]);
        fleet.table(&["bind", "GET /photos", "photos", "read", "rota"]);
        let key = format!("Bearer {}", fleet.give_key("ward-7"));
        for member in &mut fleet.members {
            let text = std::fs::read_to_string(&member.settings).expect("no settings");
            std::fs::write(&member.settings, text + BOUNDS).expect("cannot write the settings");
            member.node.kill();
            member.node = Process::start(&["node", path(&member.settings)]);
        }
        fleet.wait_until_ready();
        Self {
            fleet,
            key,
            _turn: turn,
        }
    }

    fn head(&self, target: &str, framing: &str) -> Vec<u8> {
        let key = &self.key;
        format!("GET {target} HTTP/1.1\r\nHost: rota\r\nAuthorization: {key}\r\n{framing}\r\n\r\n")
            .into_bytes()
    }

    /// Sends the bytes on each connection of a crowd, a piece in turn; returns the open connections.
    fn send_in_turn(&self, bytes: &[u8], piece: usize) -> Vec<TcpStream> {
        let connect = |_| {
            let stream = TcpStream::connect(self.fleet.members[0].callers).ok()?;
            stream.set_write_timeout(Some(PATIENCE)).ok()?;
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            Some(stream)
        };
        let mut open: Vec<_> = (0..CROWD).filter_map(connect).collect();
        for piece in bytes.chunks(piece) {
            open.retain_mut(|stream| stream.write_all(piece).is_ok());
        }
        open
    }

    /// Checks the processes while the crowd is there, and that they serve others' requests.
    fn check(mut self, crowd: Vec<TcpStream>) {
        println!("{} connections of the crowd are open", crowd.len());
        self.check_processes();
        eventually("an ordinary request is served", || {
            let headers = [("Authorization", self.key.as_str())];
            call(self.fleet.members[0].callers, "GET", "/sections", &headers).status == 200
        });
        self.check_processes();
    }

    fn check_processes(&mut self) {
        for member in &mut self.fleet.members {
            assert!(!member.node.has_exited(), "a node ended");
            let (peak, _) = member.node.resource_usage();
            let fds = std::fs::read_dir(format!("/proc/{}/fd", member.node.id()));
            let fds = fds.expect("cannot list the descriptors").count();
            println!("peak {} MiB, {fds} descriptors", peak >> 20);
            assert!(
                peak <= MAX_MEMORY_MB << 20,
                "peak memory of {} MiB",
                peak >> 20
            );
            assert!(fds <= MAX_FDS, "{fds} descriptors");
        }
    }
}

/// Chunks of a size, but no last one.
fn chunks(size: usize) -> Vec<u8> {
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ]
    .concat();
    chunk.repeat(MAX_BODY_BYTES / size)
}

#[test]
fn callers_bodies_that_stop_just_short_of_their_end_stay_within_the_memory() {
    let stage = Stage::new("own-whole");
    let head = stage.head("/sections", &format!("Content-Length: {MAX_BODY_BYTES}"));
    let bytes = [head, vec![b'x'; MAX_BODY_BYTES - 1]].concat();
    let crowd = stage.send_in_turn(&bytes, usize::MAX);
    stage.check(crowd);
}

#[test]
fn callers_bodies_in_large_chunks_that_stop_short_stay_within_the_memory() {
    let stage = Stage::new("own-chunks");
    let head = stage.head("/sections", "Transfer-Encoding: chunked");
    let crowd = stage.send_in_turn(&[head, chunks(1 << 20)].concat(), 64 * 1024);
    stage.check(crowd);
}

#[test]
fn callers_bodies_in_tiny_chunks_that_stop_short_stay_within_the_memory() {
    let stage = Stage::new("own-tiny");
    let head = stage.head("/sections", "Transfer-Encoding: chunked");
    let crowd = stage.send_in_turn(&[head, chunks(8)].concat(), 256 * 1024);
    stage.check(crowd);
}

#[test]
fn callers_bodies_over_the_limit_that_are_announced_or_just_sent_stay_within_the_memory() {
    let stage = Stage::new("own-over");
    let announced = stage.head("/sections", "Content-Length: 1073741824");
    let mut crowd = stage.send_in_turn(&announced, usize::MAX);
    for stream in &mut crowd {
        let mut text = [0; 12];
        stream.read_exact(&mut text).expect("no answer");
        assert_eq!(&text[9..], b"413");
    }
    let head = stage.head("/sections", "Transfer-Encoding: chunked");
    let bytes = [head, chunks(64 * 1024).repeat(4)].concat();
    crowd.extend(stage.send_in_turn(&bytes, 64 * 1024));
    stage.check(crowd);
}

#[test]
fn answers_that_callers_do_not_read_stay_within_the_memory() {
    let stage = Stage::new("own-readers");
    let crowd = stage.send_in_turn(&stage.head("/photos", "X-None: 1"), usize::MAX);
    std::thread::sleep(Duration::from_secs(2));
    stage.check(crowd);
}
