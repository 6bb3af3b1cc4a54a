//! The connections between nodes while one of them stops.

mod support;

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::BytesMut;
use cassiashunt_fleet::{Fleet, Options};
use cassiashunt_node::{Stopped, settings::Bounds};
use cassiashunt_types::NodeId;
use cassiashunt_wire::{
    Begin, Body, Dialer, End, Frame, FrameCodec, GoAway, Hello, Listener, Proof, Secret, Welcome,
};
use support::{Caller, KEY, Seen, callers, eventually, options, runs, start, start_with};

/// A node beside a server of `rota`.
const STOPPING: usize = 1;
/// A node beside a server of `stores`.
const INGRESS: usize = 3;
/// The request at work while its node stops.
const LONG: u64 = 1;
/// Requests after a node said that it stops.
const AFTERWARDS: usize = 60;
/// How long a read waits before it fails.
const PATIENCE: Duration = Duration::from_secs(10);

/// One end of a connection between nodes.
struct Wire {
    stream: TcpStream,
    codec: FrameCodec,
    buf: BytesMut,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let timeout = stream.set_read_timeout(Some(PATIENCE));
        timeout.expect("the socket takes a time limit");
        Self {
            stream,
            codec: FrameCodec::default(),
            buf: BytesMut::new(),
        }
    }

    fn send<M: prost::Message>(&mut self, message: &M) -> io::Result<()> {
        let mut buf = BytesMut::new();
        self.codec.encode(message, &mut buf).expect("it fits");
        self.stream.write_all(&buf)
    }

    /// The next message; `None` at the end.
    fn next<M: prost::Message + Default>(&mut self) -> io::Result<Option<M>> {
        loop {
            let read = self.codec.decode(&mut self.buf);
            if let Some(message) = read.map_err(io::Error::other)? {
                return Ok(Some(message));
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece)? {
                0 => return Ok(None),
                len => self.buf.extend_from_slice(&piece[..len]),
            }
        }
    }

    /// Connects to a node as another node.
    fn dial(addr: SocketAddr, secret: &Secret) -> Self {
        let mut wire = Self::new(TcpStream::connect(addr).expect("the node listens"));
        let dialer = Dialer::new(NodeId::random());
        wire.send(dialer.hello()).expect("sent");
        let welcome: Welcome = wire.next().expect("read").expect("welcomed");
        let (_, proof) = dialer
            .finish(secret, &welcome)
            .expect("the secret is right");
        wire.send(&proof).expect("sent");
        wire
    }

    /// Answers a node's connection as the node `id`.
    fn accept(stream: TcpStream, id: NodeId, secret: &Secret) -> io::Result<Self> {
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let mut wire = Self::new(stream);
        let hello: Hello = wire.next()?.ok_or_else(ended)?;
        let listener = Listener::new(id, secret, hello).map_err(io::Error::other)?;
        wire.send(listener.welcome())?;
        let proof: Proof = wire.next()?.ok_or_else(ended)?;
        listener.finish(secret, &proof).map_err(io::Error::other)?;
        Ok(wire)
    }

    fn request(&mut self, request: u64) -> io::Result<()> {
        self.request_of(request, "/photos")
    }

    fn request_of(&mut self, request: u64, target: &str) -> io::Result<()> {
        let begin = Begin {
            chain: request,
            route: "photos".into(),
            class: "read".into(),
            remaining_us: 5_000_000,
            method: "GET".into(),
            target: target.into(),
            ..Begin::default()
        };
        self.send(&Frame::new(request, Body::Begin(Box::new(begin))))?;
        self.send(&Frame::new(request, Body::End(End::default())))
    }
}

fn secret(fleet: &Fleet) -> Secret {
    Secret::new(fleet.members[STOPPING].settings.node.secret.as_bytes())
}

/// What the accepting side said last of each request, and whether its last frame said that it reads
/// no more.
fn outcomes(frames: Vec<Frame>) -> (BTreeMap<u64, Body>, bool) {
    let mut outcomes = BTreeMap::new();
    let mut is_told = false;
    for frame in frames {
        let body = frame.body.expect("a kind that this build knows");
        assert!(!is_told, "a frame after the last: {body:?}");
        is_told = matches!(body, Body::GoAway(_));
        if !is_told {
            outcomes.insert(frame.request, body);
        }
    }
    (outcomes, is_told)
}

#[test]
fn a_stopping_node_tells_the_outcome_of_every_request_that_it_read_before_it_closes_a_link() {
    let fleet = start();
    let server = &fleet.members[STOPPING].server;
    let mut wire = Wire::dial(fleet.members[STOPPING].addresses.peers, &secret(&fleet));
    server.set(|opts| opts.slow_factor = 1_000.0);
    wire.request(LONG).expect("sent");
    eventually("the request runs", || server.stats().began > 0);
    let (frames, sent) = thread::scope(|scope| {
        let stopping = scope.spawn(|| fleet.stop_node(STOPPING));
        let stream = wire.stream.try_clone().expect("cloned");
        let sending = scope.spawn(move || send_until_refused(stream));
        let mut frames = Vec::new();
        while let Some(frame) = wire.next::<Frame>().expect("closed in order") {
            frames.push(frame);
        }
        // The end of the dialling side too.
        let _ = wire.stream.shutdown(Shutdown::Both);
        assert_eq!(stopping.join().expect("no panic"), Some(Stopped::Drained));
        (frames, sending.join().expect("no panic"))
    });
    let (outcomes, is_told) = outcomes(frames);
    assert!(
        is_told,
        "{} answered of {sent}, then an end",
        outcomes.len()
    );
    assert!(matches!(outcomes[&LONG], Body::End(_)), "{outcomes:?}");
    let ran = outcomes
        .values()
        .filter(|body| matches!(body, Body::End(_)));
    assert_eq!(ran.count(), server.runs().len());
}

/// A peer takes a request without an outcome for one that did not run once it reads a `GoAway`.
#[test]
fn a_stopping_node_does_not_say_goaway_where_the_outcome_of_a_run_was_lost() {
    /// More than the buffers of the connection and of both sockets.
    const ANSWER_BYTES: usize = 50_000_000;
    /// The time that a part of an answer has to find room on the connection, and some more.
    const PART: Duration = Duration::from_secs(6);
    let opts = options();
    let fleet = start_with(Options {
        bounds: Bounds {
            link_frames: 16,
            ..opts.bounds
        },
        ..opts
    });
    let server = &fleet.members[STOPPING].server;
    let mut wire = Wire::dial(fleet.members[STOPPING].addresses.peers, &secret(&fleet));
    let target = format!("/photos?bytes={ANSWER_BYTES}");
    wire.request_of(LONG, &target).expect("sent");
    eventually("the request ran", || !server.runs().is_empty());
    eventually("its answer is given up", || in_flight(&fleet) == 0);
    thread::sleep(PART);
    let frames = thread::scope(|scope| {
        let stopping = scope.spawn(|| fleet.stop_node(STOPPING));
        let mut frames = Vec::new();
        while let Some(frame) = wire.next::<Frame>().expect("closed in order") {
            frames.push(frame);
        }
        // The end of the dialling side too.
        let _ = wire.stream.shutdown(Shutdown::Both);
        assert_eq!(stopping.join().expect("no panic"), Some(Stopped::Drained));
        frames
    });
    let (outcomes, is_told) = outcomes(frames);
    let has_outcome = matches!(outcomes[&LONG], Body::End(_) | Body::Refused(_));
    assert!(!has_outcome, "the connection had room for the outcome");
    assert!(!is_told, "a request that ran is told as not run");
}

fn in_flight(fleet: &Fleet) -> u64 {
    let status = fleet.operator(STOPPING).get("/status").expect("it runs");
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    status["in-flight"].as_u64().expect("a count")
}

/// Sends one request after another until the connection takes none, and gives how many.
fn send_until_refused(stream: TcpStream) -> u64 {
    let mut wire = Wire::new(stream);
    let mut sent = 0;
    while wire.request(LONG + 1 + sent).is_ok() {
        sent += 1;
        thread::sleep(Duration::from_millis(1));
    }
    sent
}

/// Takes the place of a node that was killed, as one that reads a request and stops: gives the
/// number of the requests that it saw.
fn stand_in_for_stopping(fleet: &Fleet, number: usize) -> Arc<AtomicUsize> {
    let status = fleet.operator(number).get("/status").expect("it runs");
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    let id = status["node"].as_str().expect("a node has an id");
    let id = NodeId(u64::from_str_radix(id, 16).expect("an id is a number"));
    let (addr, secret) = (fleet.members[number].addresses.peers, secret(fleet));
    fleet.kill_node(number);
    let listener = TcpListener::bind(addr).expect("the address is free");
    let seen = Arc::new(AtomicUsize::new(0));
    let seen_by_node = Arc::clone(&seen);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (secret, seen) = (secret.clone(), Arc::clone(&seen_by_node));
            thread::spawn(move || go_away_at_first_request(stream, id, &secret, &seen));
        }
    });
    seen
}

fn go_away_at_first_request(
    stream: TcpStream,
    id: NodeId,
    secret: &Secret,
    seen: &AtomicUsize,
) -> io::Result<()> {
    let mut wire = Wire::accept(stream, id, secret)?;
    while let Some(frame) = wire.next::<Frame>()? {
        if matches!(frame.body, Some(Body::End(_))) {
            seen.fetch_add(1, Ordering::AcqRel);
            wire.send(&Frame::new(0, Body::GoAway(GoAway {})))?;
            wire.stream.shutdown(Shutdown::Write)?;
        }
    }
    Ok(())
}

/// Calls until the stand-in for a stopping node has seen a request.
fn call_until_seen(seen: &AtomicUsize, mut call: impl FnMut() -> Seen) -> Vec<Seen> {
    let mut history = Vec::new();
    eventually("a request came to the stopping node", || {
        history.push(call());
        seen.load(Ordering::Acquire) > 0
    });
    history
}

#[test]
fn a_request_that_a_stopping_node_did_not_read_is_told_as_not_run_or_run_elsewhere() {
    let fleet = start();
    let addr = callers(&fleet)[INGRESS];
    let caller = Caller::new(KEY);
    let seen = stand_in_for_stopping(&fleet, STOPPING);
    let mut number = 0;
    let history = call_until_seen(&seen, || {
        number += 1;
        let key = format!("stopping-{number}");
        let headers = [("Idempotency-Key", key.as_str())];
        let sent = caller.send(addr, "POST", "/sign-off", &headers);
        sent.expect("answered")
    });
    // Homes of idempotency keys that change hands after a kill may answer that a request still runs.
    let lost = history.iter().find(|s| s.code.as_deref() == Some("lost"));
    assert_eq!(lost, None);
}

#[test]
fn a_request_that_a_stopping_node_did_not_read_costs_one_retry() {
    let fleet = start();
    fleet.set("*,*,*", "retries", "1").expect("accepted");
    let addr = callers(&fleet)[INGRESS];
    let caller = Caller::new(KEY);
    let seen = stand_in_for_stopping(&fleet, STOPPING);
    let history = call_until_seen(&seen, || caller.get(addr, "/photos").expect("answered"));
    let bad = history.iter().find(|s| !s.is_ok());
    assert_eq!(bad, None);
}

#[test]
fn a_node_that_said_that_it_stops_gets_no_further_request() {
    let fleet = start();
    let addr = callers(&fleet)[INGRESS];
    let caller = Caller::new(KEY);
    let seen = stand_in_for_stopping(&fleet, STOPPING);
    call_until_seen(&seen, || caller.get(addr, "/photos").expect("answered"));
    for _ in 0..AFTERWARDS {
        caller.get(addr, "/photos").expect("answered");
    }
    assert_eq!(seen.load(Ordering::Acquire), 1);
}

/// A stopping node decided at one look that it was done, and took requests while it closed its links.
#[test]
fn a_request_taken_while_a_stopping_node_closes_its_links_is_not_cut_off() {
    const SLOW_FACTOR: f64 = 1_500.0;
    let fleet = start();
    fleet.set("*,*,*", "retries", "0").expect("accepted");
    let addr = callers(&fleet)[STOPPING];
    // A peer that does not close its side.
    let mut wire = Wire::dial(fleet.members[STOPPING].addresses.peers, &secret(&fleet));
    for member in &fleet.members {
        member.server.set(|opts| opts.slow_factor = SLOW_FACTOR);
    }
    let (seen, stopped) = thread::scope(|scope| {
        let stopping = scope.spawn(|| fleet.stop_node(STOPPING));
        loop {
            let frame: Frame = wire.next().expect("read").expect("told before the end");
            if matches!(frame.body, Some(Body::GoAway(_))) {
                break;
            }
        }
        let seen = Caller::new(KEY).get(addr, "/photos");
        (seen, stopping.join().expect("no panic"))
    });
    // One that is not taken meets a closed port.
    let is_kept = seen
        .as_ref()
        .map_or(runs(&fleet).is_empty(), |it| it.is_ok() || it.is_not_run());
    assert!(is_kept, "{seen:?}, {stopped:?}");
}
