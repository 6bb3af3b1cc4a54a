//! What is protected is shed last.

mod support;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use support::{Caller, Done, KEY, Seen, callers, now_micros, options, start_with};

const SURGE: Duration = Duration::from_secs(5);
const READERS: usize = 90;
const SIGNERS: usize = 4;

/// One request and what came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    is_protected: bool,
    sent_micros: u64,
    is_served: bool,
    is_shed: bool,
    /// Whether it was told when to come again, as a node does that sheds before the first queue.
    is_told_when: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    sent: usize,
    served: usize,
    shed: usize,
}

fn count(history: &[Sent], is_protected: bool) -> Count {
    let of_kind = || {
        history
            .iter()
            .filter(|sent| sent.is_protected == is_protected)
    };
    Count {
        sent: of_kind().count(),
        served: of_kind().filter(|sent| sent.is_served).count(),
        shed: of_kind().filter(|sent| sent.is_shed).count(),
    }
}

/// No protected request was shed while an unprotected one that was sent later, to any server of
/// the service, was served. Which queue shed a request cannot be seen from outside; this asks for
/// more than the same of each queue.
fn check(history: &[Sent]) -> Result<(), String> {
    let unprotected = history
        .iter()
        .filter(|sent| !sent.is_protected && sent.is_served);
    let last_served = unprotected
        .map(|sent| sent.sent_micros)
        .max()
        .unwrap_or_default();
    let shed = history
        .iter()
        .filter(|sent| sent.is_protected && sent.is_shed);
    match shed.clone().find(|sent| sent.sent_micros < last_served) {
        Some(sent) => Err(format!("{sent:?} was shed, one later was not")),
        None => Ok(()),
    }
}

#[test]
fn p02_no_sign_off_is_shed_while_reads_are_served_in_a_surge_on_slowed_servers() {
    let mut opts = options();
    for spec in &mut opts.servers {
        spec.standin.slots = 4;
    }
    let fleet = start_with(opts);
    for member in &fleet.members {
        member.server.set(|opts| opts.slow_factor = 10.0);
    }
    let addrs = callers(&fleet);
    let is_done = AtomicBool::new(false);
    let history: Vec<Sent> = thread::scope(|scope| {
        let threads: Vec<_> = (0..READERS + SIGNERS)
            .map(|number| {
                let (addrs, is_done) = (&addrs, &is_done);
                scope.spawn(move || call(number, addrs, is_done))
            })
            .collect();
        let guard = Done(&is_done);
        thread::sleep(SURGE);
        drop(guard);
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("callers do not panic"))
            .collect()
    });
    let (protected, unprotected) = (count(&history, true), count(&history, false));
    let began = history
        .iter()
        .map(|sent| sent.sent_micros)
        .min()
        .unwrap_or_default();
    for sent in history
        .iter()
        .filter(|sent| sent.is_protected && sent.is_shed)
    {
        println!("{} us after the first: {sent:?}", sent.sent_micros - began);
    }
    println!("protected {protected:?}, unprotected {unprotected:?}");
    assert!(unprotected.shed > 0, "the surge was too weak");
    assert!(protected.served > 0 && unprotected.served > 0);
    check(&history).expect("what is protected is shed last");
}

fn call(number: usize, addrs: &[SocketAddr], is_done: &AtomicBool) -> Vec<Sent> {
    let caller = Caller::new(KEY);
    let is_protected = number < SIGNERS;
    let mut history = Vec::new();
    while !is_done.load(Ordering::Acquire) {
        let key = format!("caller-{number}-{}", history.len());
        let headers = [
            ("Idempotency-Key", key.as_str()),
            ("Cassiashunt-Timeout-Ms", "2000"),
        ];
        let addr = addrs[(number + history.len()) % addrs.len()];
        let sent_micros = now_micros();
        let seen = match is_protected {
            true => caller.send(addr, "POST", "/sign-off", &headers),
            false => caller.send(addr, "GET", "/sections", &headers[1..]),
        };
        let seen = seen.expect("answered");
        history.push(Sent {
            is_protected,
            sent_micros,
            is_served: Seen::is_ok(&seen),
            is_told_when: seen.retry_after.is_some(),
            is_shed: seen.code.as_deref() == Some("shed"),
        });
        thread::sleep(Duration::from_millis(5));
    }
    history
}

#[test]
fn p02_the_checker_rejects_a_shed_sign_off_before_a_served_read() {
    let sent = |is_protected, sent_micros, is_served| Sent {
        is_protected,
        sent_micros,
        is_served,
        is_shed: !is_served,
        is_told_when: false,
    };
    assert!(check(&[sent(false, 1, true), sent(true, 2, false)]).is_ok());
    assert!(check(&[sent(true, 1, true), sent(false, 2, false)]).is_ok());
    assert!(check(&[sent(true, 1, false), sent(false, 2, true)]).is_err());
}
