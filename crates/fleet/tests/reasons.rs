//! Refusals as callers see them: status, code, verdict and Retry-After.

mod support;

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use cassiashunt_fleet::Fleet;
use cassiashunt_types::prelude::*;
use support::{Caller, KEY, OTHER_KEY, Seen, callers, eventually, start};

const NOT_REACHED: &[Reason] = &[
    Reason::Full,
    Reason::Draining,
    Reason::StillRunning,
    Reason::Repeated,
    Reason::Suspect,
    Reason::Cancelled,
    Reason::KeyReused,
];

/// The answer has the status, code and verdict of this refusal, and says when to come again.
fn check(seen: &Seen, refusal: Refusal) -> Result<(), String> {
    let verdict = match refusal.verdict {
        Verdict::NotRun => "not-run",
        _ => "may-have-run",
    };
    let is_same = seen.status == refusal.reason.status()
        && seen.code.as_deref() == Some(refusal.reason.code())
        && seen.verdict.as_deref() == Some(verdict);
    let waits = refusal.retry_after.is_none() || seen.retry_after.is_some();
    match is_same && waits {
        true => Ok(()),
        false => Err(format!("{seen:?} is not {refusal:?}")),
    }
}

fn not_run(reason: Reason) -> Refusal {
    Refusal::not_run(reason)
}

fn later(reason: Reason) -> Refusal {
    not_run(reason).retry_after(Duration::from_secs(1))
}

/// Sends a request and checks the answer.
struct Asked<'a> {
    fleet: &'a Fleet,
    reached: BTreeSet<Reason>,
}

impl Asked<'_> {
    fn ask(&mut self, key: &str, what: &str, headers: &[(&str, &str)], refusal: Refusal) {
        let (method, target) = what.split_once(' ').expect("a method and a target");
        let addr = callers(self.fleet)[0];
        let seen = Caller::new(key).send(addr, method, target, headers);
        check(&seen.unwrap_or_else(|err| panic!("{what}: {err}")), refusal)
            .unwrap_or_else(|err| panic!("{what}: {err}"));
        self.reached.insert(refusal.reason);
    }

    fn set_servers(&self, change: impl Fn(&mut cassiashunt_standin::server::Options)) {
        for member in &self.fleet.members {
            member.server.set(&change);
        }
    }
}

#[test]
fn refusals_have_their_status_code_verdict_and_retry_after() {
    let fleet = start();
    let mut asked = Asked {
        fleet: &fleet,
        reached: BTreeSet::new(),
    };
    by_the_request(&mut asked);
    by_the_table(&mut asked);
    by_the_servers(&mut asked);
    by_the_fleet(&mut asked);
    let all: BTreeSet<_> = Reason::ALL.iter().copied().collect();
    let left: Vec<_> = all.difference(&asked.reached).copied().collect();
    println!("not reached: {left:?}");
    assert_eq!(left, NOT_REACHED);
}

fn by_the_request(asked: &mut Asked<'_>) {
    let long = "x".repeat(200);
    let keyed = [("Idempotency-Key", long.as_str())];
    asked.ask(KEY, "GET /photos", &keyed, not_run(Reason::BadRequest));
    asked.ask("", "GET /photos", &[], not_run(Reason::BadKey));
    asked.ask(KEY, "GET /nowhere", &[], not_run(Reason::UnknownRoute));
    asked.ask(KEY, "POST /sign-off", &[], not_run(Reason::KeyRequired));
    too_large(asked);
    let ticket = [("Cassiashunt-Ticket", "00ff")];
    asked.ask(KEY, "GET /stock", &ticket, not_run(Reason::BadTicket));
    let hurried = [("Cassiashunt-Timeout-Ms", "0")];
    asked.ask(KEY, "GET /photos", &hurried, not_run(Reason::Deadline));
}

/// A request whose head announces a body over the limit.
fn too_large(asked: &mut Asked<'_>) {
    let mut stream = TcpStream::connect(callers(asked.fleet)[0]).expect("the node listens");
    let head = format!(
        "POST /sign-off HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer {KEY}\r\n\
         Idempotency-Key: large\r\nContent-Length: 9000000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let within = Some(Duration::from_secs(10));
    stream.set_read_timeout(within).expect("not zero");
    let mut answer = vec![0; 4_096];
    let len = stream.read(&mut answer).expect("answered");
    let text = String::from_utf8_lossy(&answer[..len]).to_lowercase();
    assert!(text.starts_with("http/1.1 413"), "{text}");
    assert!(text.contains("cassiashunt-verdict: not-run"), "{text}");
    asked.reached.insert(Reason::BodyTooLarge);
}

fn by_the_table(asked: &mut Asked<'_>) {
    let fleet = asked.fleet;
    fleet
        .give_key("ward-9", &format!("{KEY}9"))
        .expect("accepted");
    fleet
        .withdraw_keys(support::label("ward-9"))
        .expect("accepted");
    let withdrawn = Caller::new(&format!("{KEY}9"));
    eventually("the key is withdrawn", || {
        let seen = withdrawn.get(callers(fleet)[0], "/photos");
        seen.is_ok_and(|seen| !seen.is_ok())
    });
    asked.ask(
        &format!("{KEY}9"),
        "GET /photos",
        &[],
        not_run(Reason::KeyWithdrawn),
    );
    fleet
        .set("ward-8,stock,*", "per-minute", "0")
        .expect("accepted");
    asked.ask(OTHER_KEY, "GET /stock", &[], not_run(Reason::NotAllowed));
    fleet
        .set("ward-8,sections,*", "per-minute", "1")
        .expect("accepted");
    let caller = Caller::new(OTHER_KEY);
    eventually("the minute is used up", || {
        let seen = caller.get(callers(fleet)[0], "/sections");
        seen.is_ok_and(|seen| seen.status == 429)
    });
    asked.ask(OTHER_KEY, "GET /sections", &[], later(Reason::OverMinute));
    fleet.set("ward-8,*,*", "rate", "0.1").expect("accepted");
    fleet.set("ward-8,*,*", "burst", "1").expect("accepted");
    eventually("the rate is used up", || {
        let seen = caller.get(callers(fleet)[0], "/photos");
        seen.is_ok_and(|seen| seen.status == 429)
    });
    asked.ask(OTHER_KEY, "GET /photos", &[], later(Reason::OverLimit));
}

fn by_the_servers(asked: &mut Asked<'_>) {
    asked.set_servers(|opts| opts.shed_rate = 1.0);
    asked.ask(KEY, "GET /photos", &[], not_run(Reason::ServerRefused));
    asked.set_servers(|opts| opts.shed_rate = 0.0);
    shed(asked);
    lost(asked);
    asked.set_servers(|opts| opts.slow_factor = 1.0);
    for member in &asked.fleet.members {
        member.server.crash();
    }
    // One that is sent to a server whose death is not known yet becomes a suspect, so each is new.
    let mut number = 0;
    let mut target = || {
        number += 1;
        format!("/photos?none={number}")
    };
    let in_a_row = 4 * asked.fleet.members.len();
    eventually("no server is left", || {
        (0..in_a_row).all(|_| {
            let seen = Caller::new(KEY).get(callers(asked.fleet)[0], &target());
            seen.is_ok_and(|seen| seen.code.as_deref() == Some("no-server"))
        })
    });
    let request = format!("GET {}", target());
    asked.ask(KEY, &request, &[], later(Reason::NoServer));
}

/// A surge on slow servers, until one request is shed.
fn shed(asked: &mut Asked<'_>) {
    asked.set_servers(|opts| opts.slow_factor = 200.0);
    let addr = callers(asked.fleet)[0];
    let seen = thread::scope(|scope| {
        let threads: Vec<_> = (0..200)
            .map(|number| {
                let target = format!("/photos?surge={number}");
                scope.spawn(move || {
                    let caller = Caller::new(KEY);
                    let mut found = None;
                    for _ in 0..10 {
                        let seen = caller.get(addr, &target).expect("answered");
                        found = found.or((seen.code.as_deref() == Some("shed")).then_some(seen));
                    }
                    found
                })
            })
            .collect();
        let ended = threads
            .into_iter()
            .map(|t| t.join().expect("callers do not panic"));
        ended.collect::<Vec<_>>().into_iter().flatten().next()
    });
    check(&seen.expect("something was shed"), later(Reason::Shed)).expect("a refusal");
    asked.reached.insert(Reason::Shed);
}

/// A request that is not idempotent and whose server crashes under it.
fn lost(asked: &mut Asked<'_>) {
    asked.set_servers(|opts| opts.slow_factor = 1.0);
    let crash = [("Standin-Crash", "1"), ("Idempotency-Key", "crash")];
    let refusal = Refusal::may_have_run(Reason::Lost);
    asked.ask(KEY, "POST /sign-off", &crash, refusal);
}

fn by_the_fleet(asked: &mut Asked<'_>) {
    let members = asked.fleet.members.iter();
    let peers: Vec<_> = members.map(|member| member.addresses.peers).collect();
    asked.fleet.cuts.cut(&peers[..1], &peers);
    // A relay that reaches the platform by itself is in touch, whoever else it cannot reach.
    let memory = asked.fleet.platform.memory();
    let mut faults = memory.faults();
    faults.down = true;
    memory.set_faults(faults);
    eventually("the node is out of touch", || {
        let seen = Caller::new(KEY).get(callers(asked.fleet)[0], "/photos?cut=1");
        seen.is_ok_and(|seen| seen.code.as_deref() == Some("not-in-touch"))
    });
    asked.ask(KEY, "GET /photos?cut=1", &[], later(Reason::NotInTouch));
}

#[test]
fn the_checker_rejects_another_verdict_code_or_status_and_a_missing_retry_after() {
    let seen = Seen {
        status: 503,
        verdict: Some("not-run".into()),
        code: Some("shed".into()),
        retry_after: None,
        closes: false,
        digest: None,
        body: Vec::new(),
    };
    assert!(check(&seen, not_run(Reason::Shed)).is_ok());
    assert!(check(&seen, later(Reason::Shed)).is_err());
    assert!(check(&seen, not_run(Reason::Lost)).is_err());
    assert!(check(&seen, Refusal::may_have_run(Reason::Shed)).is_err());
    let other = Seen {
        status: 500,
        ..seen
    };
    assert!(check(&other, not_run(Reason::Shed)).is_err());
}
