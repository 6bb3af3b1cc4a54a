//! A workspace's limits hold over the whole fleet.

mod support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cassiashunt_fleet::{Fleet, Options};
use support::{
    Caller, Done, Gate, KEY, OTHER_KEY, callers, now_micros, options, runs, start_with_gate,
};

/// Requests each second.
const RATE: u64 = 20;
/// Requests at once on top of the rate.
const BURST: u64 = 10;
/// Requests in any minute of the capped route.
const CAP: usize = 30;
const MINUTE_MICROS: u64 = 60_000_000;
const SECOND_MICROS: u64 = 1_000_000;
const QUIET: Duration = Duration::from_secs(3);
const KEYS: [&str; 2] = [KEY, OTHER_KEY];

/// A request that ran: it was admitted at some time between these.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    sent_micros: u64,
    began_micros: u64,
}

/// A request that was refused.
#[derive(Debug, Clone)]
struct Refused {
    at_micros: u64,
    code: Option<String>,
}

/// No window holds more than the burst and what the rate gives in its time. A window holds the
/// requests that were sent and began in it, so their admission lies in it for certain.
fn check_rate(admitted: &[Admitted], rate: u64, burst: u64) -> Result<(), String> {
    for first in admitted {
        let later = admitted
            .iter()
            .filter(|a| a.sent_micros >= first.sent_micros);
        let mut ends: Vec<_> = later.map(|a| a.began_micros).collect();
        ends.sort_unstable();
        for (count, end) in (1..).zip(ends) {
            let window = end - first.sent_micros;
            if count * SECOND_MICROS > burst * SECOND_MICROS + rate * window {
                return Err(format!("{count} requests in {window} us"));
            }
        }
    }
    Ok(())
}

/// No minute holds more than the cap.
fn check_minute(admitted: &[Admitted], cap: usize) -> Result<usize, String> {
    for first in admitted {
        let until = first.sent_micros + MINUTE_MICROS;
        let inside = |a: &&Admitted| a.sent_micros >= first.sent_micros && a.began_micros <= until;
        let count = admitted.iter().filter(inside).count();
        if count > cap {
            return Err(format!("{count} requests in a minute"));
        }
    }
    Ok(admitted.len())
}

/// What was sent, by its id, and what was refused.
#[derive(Debug, Default)]
struct History {
    sent: BTreeMap<String, u64>,
    refused: Vec<Refused>,
}

/// A caller's name, key, place to call and pause between calls.
struct Script {
    name: String,
    key: &'static str,
    target: &'static str,
    /// It calls these nodes in turn.
    addrs: Vec<SocketAddr>,
    pause: Duration,
}

fn call(script: &Script, is_done: &AtomicBool) -> History {
    let caller = Caller::new(script.key);
    let mut history = History::default();
    while !is_done.load(Ordering::Acquire) {
        let number = history.sent.len();
        let id = format!("{}-{number}", script.name);
        let addr = script.addrs[number % script.addrs.len()];
        history.sent.insert(id.clone(), now_micros());
        let seen = caller.send(addr, "GET", script.target, &[("Standin-Id", &id)]);
        if let Ok(seen) = seen.as_ref()
            && seen.verdict.is_some()
        {
            history.refused.push(Refused {
                at_micros: now_micros(),
                code: seen.code.clone(),
            });
        }
        thread::sleep(script.pause);
    }
    history
}

/// A greedy workspace at all nodes with skew, a greedy one on the capped route, and a modest one.
fn scripts(addrs: &[SocketAddr]) -> Vec<Script> {
    let script = |name: String, key: usize, target, addrs: &[SocketAddr], pause| Script {
        name,
        key: KEYS[key],
        target,
        addrs: addrs.to_vec(),
        pause: Duration::from_millis(pause),
    };
    let mut scripts = Vec::new();
    for number in 0..9 {
        let skewed = &addrs[..1 + number % addrs.len()];
        scripts.push(script(format!("greedy-{number}"), 0, "/photos", skewed, 10));
    }
    for number in 0..3 {
        let name = format!("capped-{number}");
        scripts.push(script(name, 1, "/sections", addrs, 50));
    }
    scripts.push(script("modest".into(), 1, "/photos", addrs, 50));
    scripts
}

fn set_limits(fleet: &Fleet) {
    let cells = [
        ("ward-7,*,*", "rate", RATE),
        ("ward-7,*,*", "burst", BURST),
        ("ward-8,*,*", "rate", 200),
        ("ward-8,*,*", "burst", 100),
        ("ward-8,sections,*", "per-minute", CAP as u64),
    ];
    for (row, column, value) in cells {
        fleet
            .set(row, column, &value.to_string())
            .expect("accepted");
    }
}

/// Kills every node in turn, so also each authority, with the platform away for a while.
fn faults(fleet: &Fleet, gate: &Gate) {
    for number in 0..fleet.members.len() {
        fleet.kill_node(number);
        if number == 2 {
            gate.shut();
        }
        thread::sleep(Duration::from_millis(800));
        gate.reopen();
        if let Err(err) = fleet.replace_node(number) {
            println!("node {number} stays away: {err}");
        }
        thread::sleep(Duration::from_millis(300));
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_nor_a_minute_its_cap_while_authorities_are_killed() {
    let gate = Gate::open();
    let opts = options();
    let urls = vec![gate.url(); opts.servers.len()];
    let fleet = start_with_gate(
        Options {
            platform_urls: urls,
            ..opts
        },
        &gate,
    );
    set_limits(&fleet);
    let scripts = scripts(&callers(&fleet));
    let is_done = AtomicBool::new(false);
    let (quiet, histories) = thread::scope(|scope| {
        let threads: Vec<_> = scripts
            .iter()
            .map(|script| scope.spawn(|| call(script, &is_done)))
            .collect();
        let guard = Done(&is_done);
        thread::sleep(QUIET);
        let quiet = now_micros();
        faults(&fleet, &gate);
        thread::sleep(Duration::from_secs(1));
        drop(guard);
        let ended = threads
            .into_iter()
            .map(|t| t.join().expect("callers do not panic"));
        (quiet, ended.collect::<Vec<_>>())
    });
    let admitted = admitted(&fleet, &histories);
    let of = |name: &str| -> Vec<Admitted> {
        let found = admitted.iter().filter(|(id, _)| id.starts_with(name));
        found.map(|(_, admitted)| *admitted).collect()
    };
    let (greedy, capped) = (of("greedy"), of("capped"));
    println!(
        "{} of the greedy ran, {} of the capped",
        greedy.len(),
        capped.len()
    );
    let refusals = histories.iter().flat_map(|history| &history.refused);
    let codes = refusals.filter_map(|refused| refused.code.clone());
    println!("refusals: {:?}", support::counts(codes));
    check_rate(&greedy, RATE, BURST).expect("rate and burst hold");
    check_minute(&capped, CAP).expect("the cap holds");
    assert!(greedy.len() > 2 * BURST as usize && !capped.is_empty());
    let modest = histories.last().expect("the modest one is last");
    let early: Vec<_> = modest
        .refused
        .iter()
        .filter(|r| r.at_micros < quiet)
        .collect();
    assert!(early.is_empty(), "refused within its rate: {early:?}");
}

/// The requests that ran, with the times between which they were admitted.
fn admitted(fleet: &Fleet, histories: &[History]) -> Vec<(String, Admitted)> {
    let sent_at = |id: &str| {
        histories
            .iter()
            .find_map(|history| history.sent.get(id).copied())
    };
    let mut first_runs: BTreeMap<String, Admitted> = BTreeMap::new();
    for record in runs(fleet) {
        let Some(sent_micros) = sent_at(&record.id) else {
            continue;
        };
        let run = Admitted {
            sent_micros,
            began_micros: record.began_micros,
        };
        // A request that was tried again was admitted before its first run.
        let first = first_runs.entry(record.id).or_insert(run);
        first.began_micros = first.began_micros.min(run.began_micros);
    }
    first_runs.into_iter().collect()
}

#[test]
fn p06_the_checkers_reject_one_request_too_many() {
    let at = |micros: u64| Admitted {
        sent_micros: micros,
        began_micros: micros + 1,
    };
    let burst: Vec<_> = (0..10).map(at).collect();
    assert!(check_rate(&burst, 20, 10).is_ok());
    let more: Vec<_> = burst.iter().copied().chain([at(100)]).collect();
    assert!(check_rate(&more, 20, 10).is_err());
    let later: Vec<_> = burst.iter().copied().chain([at(60_000)]).collect();
    assert!(check_rate(&later, 20, 10).is_ok());
    assert_eq!(check_minute(&burst, 10), Ok(10));
    assert!(check_minute(&more, 10).is_err());
}
