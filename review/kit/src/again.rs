//! A backend that leaves in order and starts again under its id, beside the same node.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, ask, open};

use crate::kit::{
    Bounds, End, Machine, Record, Report, Site, Tenant, lock, manifest, read, status, unix_ms,
};

/// How long the clients ask.
const LOAD_TIME: Duration = Duration::from_secs(80);
/// When the backend leaves.
const LEAVES_AFTER: Duration = Duration::from_secs(3);
/// How long it goes on serving after the answer to its leaving: `drain_ms` and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long it is away before it starts again.
const AWAY_TIME: Duration = Duration::from_secs(2);
/// The time between two status reports (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(200);
/// A request to the stand-in itself, which ends its process.
const EXIT: &str = "/stand-in-exits";

/// An answered request: its service and the status, and when it was sent.
type Sent = Arc<Mutex<Vec<(&'static str, Option<u16>, Duration)>>>;

pub fn left_and_back(record: &Record, has_trouble: bool) -> End {
    play(record, has_trouble).unwrap_or_else(|end| end)
}

fn play(record: &Record, has_trouble: bool) -> Result<End, End> {
    let tenants = [Tenant {
        name: "crews",
        keys: &["key-1"],
    }];
    let bounds = Bounds { revoke_ms: 5_000 };
    let text = manifest(1, &["rota", "ledger"], &tenants);
    let site = Site::start(&["rota", "ledger", "ledger"], bounds, &text)?;
    site.wait_until_serving(|service| read(service, "key-1"))?;
    let began = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Sent::default();
    let clients: Vec<_> = site
        .machines
        .iter()
        .map(|machine| {
            let machine = Arc::clone(machine);
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            thread::spawn(move || ask_by_turns(&machine, began, &sent, &is_over))
        })
        .collect();
    thread::sleep(LEAVES_AFTER);
    if has_trouble {
        restart_in_order(record, &site.machines[0], began)?;
    }
    thread::sleep(LOAD_TIME.saturating_sub(began.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        // A client that panicked shows as missing requests.
        drop(client.join());
    }
    Ok(judge(record, &lock(&sent)))
}

/// The backend leaves, serves for the drain time, exits, and starts again under its id. Its reports
/// go on to the end of the case.
fn restart_in_order(record: &Record, machine: &Arc<Machine>, began: Instant) -> Result<(), End> {
    machine.stop_reports();
    let answer = machine.server.leave(machine.heartbeats)?;
    record.line(format!("{} leaves: answered {answer}", machine.server.id));
    thread::sleep(DRAIN_TIME);
    machine.server.crash_under(EXIT, AWAY_TIME);
    let exit = Request {
        target: EXIT.into(),
        ..Request::default()
    };
    // It ends without an answer.
    let _ = open(machine.server.address()).and_then(|mut it| ask(&mut it, &exit.encode()));
    record.line(format!("{} has exited", machine.server.id));
    while machine.server.is_away() {
        thread::sleep(Duration::from_millis(20));
    }
    let born = unix_ms();
    record.line(format!(
        "{} has started again, born {born}",
        machine.server.id
    ));
    let (machine, record) = (Arc::clone(machine), record.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let report = Report {
                id: &machine.server.id,
                address: machine.server.address(),
                service: &machine.service,
                born,
                sequence,
            };
            if began.elapsed() > LOAD_TIME {
                return;
            }
            match report.send(&machine) {
                Ok(answer) => record.line(format!("ready, report {sequence}: answered {answer}")),
                Err(err) => record.line(format!("ready, report {sequence}: {err}")),
            }
            thread::sleep(HEARTBEAT);
        }
    });
    Ok(())
}

/// Asks for both services by turns.
fn ask_by_turns(machine: &Machine, began: Instant, sent: &Sent, is_over: &AtomicBool) {
    for service in ["rota", "ledger"].into_iter().cycle() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let at = began.elapsed();
        let status = status(machine, &read(service, "key-1"));
        lock(sent).push((service, status, at));
        thread::sleep(PAUSE);
    }
}

/// "Starved": a kind of request is served less than a quarter as often as all requests.
fn judge(record: &Record, sent: &[(&'static str, Option<u16>, Duration)]) -> End {
    for (service, status, at) in sent {
        let at = at.as_secs_f64();
        record.line(format!("sent at {at:.3}: {service} {status:?}"));
    }
    let share = |of: Option<&str>| {
        let kind = sent.iter().filter(|it| of.is_none_or(|of| it.0 == of));
        let (all, served) = kind.fold((0_u32, 0_u32), |(all, served), it| {
            (all + 1, served + u32::from(it.1 == Some(200)))
        });
        f64::from(served) / f64::from(all.max(1))
    };
    let (all, rota, ledger) = (share(None), share(Some("rota")), share(Some("ledger")));
    record.line(format!(
        "served: all {all:.3}, rota {rota:.3}, ledger {ledger:.3}"
    ));
    if rota < all / 4.0 {
        End::Broken
    } else {
        End::Held
    }
}
