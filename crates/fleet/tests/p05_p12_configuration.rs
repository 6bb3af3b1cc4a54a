//! A withdrawn key stops within seconds, and an accepted edit stays in force, in cuts and outages.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_fleet::Fleet;
use cassiashunt_types::Revision;
use support::{Caller, KEY, OTHER_KEY, callers, eventually, label, start};

/// The freshness bound of the nodes, and the time for a change to spread.
const BOUND: Duration = Duration::from_secs(2 + 3);

/// A request that ran for a key.
#[derive(Debug, Clone, Copy)]
struct Run {
    began: Instant,
}

/// No run begins later than the bound after the withdrawal was accepted.
fn check_withdrawal(accepted: Instant, runs: &[Run]) -> Result<(), String> {
    let late = runs.iter().filter(|run| run.began > accepted + BOUND);
    match late.count() {
        0 => Ok(()),
        late => Err(format!(
            "{late} runs began later than {BOUND:?} after the withdrawal"
        )),
    }
}

/// A node's revisions only grow, and every accepted revision is reached.
fn check_revisions(seen: &[Vec<Revision>], accepted: &[Revision]) -> Result<(), String> {
    for (node, revisions) in seen.iter().enumerate() {
        if let Some(pair) = revisions.windows(2).find(|pair| pair[1] < pair[0]) {
            return Err(format!(
                "node {node} went back from {} to {}",
                pair[0], pair[1]
            ));
        }
        let last = revisions.last().copied().unwrap_or_default();
        if let Some(lost) = accepted.iter().find(|revision| last < **revision) {
            return Err(format!("node {node} never reached revision {lost}"));
        }
    }
    Ok(())
}

/// Calls with a key over one kept-alive connection a node until it is done, noting what ran.
fn call_on(addrs: &[SocketAddr], key: &str, is_done: &AtomicBool, runs: &Mutex<Vec<Run>>) {
    thread::scope(|scope| {
        for addr in addrs {
            scope.spawn(|| {
                let caller = Caller::new(key);
                while !is_done.load(Ordering::Acquire) {
                    let began = Instant::now();
                    if caller
                        .get(*addr, "/photos?bytes=64")
                        .is_ok_and(|seen| seen.is_ok())
                    {
                        runs.lock().expect("no holder panics").push(Run { began });
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
    });
}

fn withdraw_under(fleet: &Fleet, key: &str, workspace: &str, fault: impl FnOnce()) {
    let addrs = callers(fleet);
    let (is_done, runs) = (AtomicBool::new(false), Mutex::default());
    let accepted = thread::scope(|scope| {
        scope.spawn(|| call_on(&addrs, key, &is_done, &runs));
        thread::sleep(Duration::from_millis(300));
        fleet.withdraw_keys(label(workspace)).expect("accepted");
        let accepted = Instant::now();
        fault();
        thread::sleep(BOUND + Duration::from_secs(2));
        is_done.store(true, Ordering::Release);
        accepted
    });
    let runs = runs.into_inner().expect("no holder panics");
    assert!(
        runs.iter().any(|run| run.began < accepted),
        "nothing ran before the withdrawal"
    );
    check_withdrawal(accepted, &runs).expect("the key stops");
}

#[test]
fn p05_a_withdrawn_key_stops_on_kept_alive_connections_though_the_platform_goes_down_at_once() {
    let fleet = start();
    withdraw_under(&fleet, KEY, "ward-7", || {
        let mut faults = fleet.platform.memory().faults();
        faults.down = true;
        fleet.platform.memory().set_faults(faults);
    });
    let other = Caller::new(OTHER_KEY);
    for addr in callers(&fleet) {
        let seen = other.get(addr, "/photos").expect("answered");
        assert!(
            seen.is_ok(),
            "an outage that everybody sees stops nobody else: {seen:?}"
        );
    }
}

#[test]
fn p05_a_withdrawn_key_stops_at_nodes_that_are_cut_off_from_platform_and_fleet() {
    let mut opts = support::options();
    // The nodes of the cut-off domain reach the platform by an address of their own.
    let gate = support::Gate::open();
    let platform = gate.url();
    opts.platform_urls = (0..6)
        .map(|number| {
            if number % 3 == 2 {
                platform.clone()
            } else {
                String::new()
            }
        })
        .collect();
    let fleet = support::start_with_gate(opts, &gate);
    let inside = fleet.peers_in(label("lekki"));
    let others = [
        fleet.peers_in(label("ikeja")),
        fleet.peers_in(label("apapa")),
    ]
    .concat();
    // The cut comes first, so that the cut-off nodes cannot have heard of the withdrawal.
    fleet.cuts.cut(&inside, &others);
    gate.shut();
    withdraw_under(&fleet, KEY, "ward-7", || ());
    let caller = Caller::new(OTHER_KEY);
    let seen = caller
        .get(fleet.members[2].addresses.callers, "/photos")
        .expect("answered");
    assert_eq!(
        (seen.status, seen.code.as_deref()),
        (503, Some("not-in-touch"))
    );
    assert!(seen.is_not_run() && seen.retry_after.is_some());
    gate.reopen();
    fleet.cuts.heal();
    eventually("the nodes are in touch again", || {
        let seen = caller.get(fleet.members[2].addresses.callers, "/photos");
        seen.is_ok_and(|seen| seen.is_ok())
    });
}

#[test]
fn p12_accepted_edits_stay_in_force_through_restored_platform_replaced_nodes_and_races() {
    let fleet = start();
    let mut seen: Vec<Vec<Revision>> = vec![Vec::new(); fleet.members.len()];
    let look = |seen: &mut Vec<Vec<Revision>>| {
        for (node, member) in fleet.members.iter().enumerate().filter(|(_, m)| m.is_up()) {
            seen[node].push(member.revision());
        }
    };
    let mut accepted = Vec::new();
    accepted.push(fleet.set("*,*,*", "retries", "3").expect("accepted"));
    look(&mut seen);

    let raced: Vec<_> = thread::scope(|scope| {
        let editors: Vec<_> = (0..4)
            .map(|number| {
                let operator = fleet.operator(number);
                scope.spawn(move || {
                    let row = format!("ward-{number},*,*");
                    let change = operator
                        .cell(&row, "weight", "7")
                        .expect("the cell is right");
                    operator.edit(vec![change])
                })
            })
            .collect();
        editors
            .into_iter()
            .map(|editor| editor.join().expect("editors do not panic"))
            .collect()
    });
    for revision in raced {
        accepted.push(revision.expect("edits of different cells merge"));
    }
    look(&mut seen);

    let operators = [fleet.operator(0), fleet.operator(1)];
    let changes = operators.each_ref().map(|operator| {
        operator
            .cell("ward-0,*,*", "weight", "9")
            .expect("the cell is right")
    });
    let [first, second] = changes;
    accepted.push(operators[0].edit(vec![first]).expect("accepted"));
    let conflict = operators[1]
        .edit(vec![second])
        .expect_err("the cell has changed");
    assert!(conflict.to_string().contains("conflict"), "{conflict}");

    let mut faults = fleet.platform.memory().faults();
    faults.lost_answers = 1;
    fleet.platform.memory().set_faults(faults);
    accepted.push(
        fleet
            .set("*,*,*", "weight", "2")
            .expect("found again after a lost answer"),
    );
    look(&mut seen);

    fleet.platform.memory().roll_back(3);
    thread::sleep(Duration::from_secs(3));
    look(&mut seen);
    let operator = fleet.operator(0);
    eventually("a new edit is accepted over the restored platform", || {
        operator
            .cell("*,*,*", "deadline-ms", "4000")
            .is_ok_and(|change| {
                operator.edit(vec![change]).is_ok_and(|revision| {
                    accepted.push(revision);
                    true
                })
            })
    });
    look(&mut seen);

    faults = fleet.platform.memory().faults();
    faults.down = true;
    fleet.platform.memory().set_faults(faults);
    fleet.kill_node(5);
    fleet.replace_node(5).expect("the addresses are free");
    seen[5].clear();
    let newest = accepted.iter().max().copied().unwrap_or_default();
    let still_serving = Caller::new(KEY).get(fleet.members[0].addresses.callers, "/photos");
    assert!(
        still_serving.expect("answered").is_ok(),
        "the outage stops nobody"
    );
    fleet.platform.memory().set_faults(Default::default());
    eventually("the replaced node catches up", || {
        fleet.members[5].revision() >= newest
    });
    look(&mut seen);
    eventually("every node has every accepted edit", || {
        fleet
            .members
            .iter()
            .all(|member| member.revision() >= newest)
    });
    look(&mut seen);
    check_revisions(&seen, &accepted).expect("revisions only grow and nothing is lost");
    for number in 0..fleet.members.len() {
        let head = fleet.operator(number).head().expect("answered");
        let cell = |row: &str, column: &str| {
            let value = head.table().get(&label(row), label(column));
            value.map(|value| value.to_string())
        };
        assert_eq!(
            cell("*,*,*", "retries").as_deref(),
            Some("3"),
            "node {number}"
        );
        assert_eq!(
            cell("*,*,*", "weight").as_deref(),
            Some("2"),
            "node {number}"
        );
        assert_eq!(
            cell("ward-0,*,*", "weight").as_deref(),
            Some("9"),
            "node {number}"
        );
    }
}

#[test]
fn p05_p12_the_checkers_reject_late_runs_and_lost_or_reverted_edits() {
    let now = Instant::now();
    let late = Run {
        began: now + BOUND + Duration::from_millis(1),
    };
    assert!(check_withdrawal(now, &[Run { began: now + BOUND }]).is_ok());
    assert!(check_withdrawal(now, &[late]).is_err());
    let line = |numbers: &[u64]| numbers.iter().copied().map(Revision).collect::<Vec<_>>();
    assert!(check_revisions(&[line(&[1, 1, 3])], &[Revision(2)]).is_ok());
    assert!(check_revisions(&[line(&[1, 3, 2])], &[]).is_err());
    assert!(check_revisions(&[line(&[1])], &[Revision(2)]).is_err());
}
