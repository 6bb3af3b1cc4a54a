//! Cases of requests under which servers end.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::Request;

use crate::kit::{Bounds, End, Record, Site, Tenant, manifest, read, status};

/// `contact_ms` of `lsprma-mesh`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a server that ended is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// How long the nodes are killed after the third server ended.
const KILLED_AFTER: Duration = Duration::from_millis(200);
/// How often the request comes again at each node.
const AGAIN: usize = 4;

const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// Three servers end under a request, and all nodes are killed at the same moment before they have kept
/// that. Then the request comes again.
pub fn forgotten(record: &Record, has_trouble: bool) -> End {
    play(record, has_trouble).unwrap_or_else(|end| end)
}

fn killer() -> Request {
    Request {
        target: "/rota/read/killer".into(),
        ..read("rota", KEY)
    }
}

fn play(record: &Record, has_trouble: bool) -> Result<End, End> {
    let tenant = Tenant {
        name: "pulo780",
        keys: &[KEY],
    };
    let bounds = Bounds { revoke_ms: 5_000 };
    let machines = ["rota", "rota", "rota", "ledger"];
    let site = Site::start(&machines, bounds, &manifest(7, &SERVICES, &[tenant]))?;
    site.wait_until_serving(|service| read(service, KEY))?;
    // A node that has just started writes what it knows once in a while; this is between two writes.
    thread::sleep(CONTACT);
    for machine in &site.machines {
        machine.server.crash_under("killer", AWAY);
    }
    let ended = |site: &Site| -> usize {
        let servers = site.machines.iter().map(|it| &it.server);
        servers
            .flat_map(|it| it.runs())
            .filter(|run| run.first_line.contains("killer"))
            .count()
    };
    let until = Instant::now() + Duration::from_secs(3);
    while ended(&site) < 3 && Instant::now() < until {
        for machine in &site.machines {
            if ended(&site) < 3 {
                let status = status(machine, &killer());
                record.line(format!("the request at {}: {status:?}", machine.name));
            }
        }
    }
    let third = Instant::now();
    let first = ended(&site);
    record.line(format!("{first} servers have ended under it"));
    thread::sleep(KILLED_AFTER);
    if has_trouble {
        kill_all(record, &site);
    }
    thread::sleep(CONTACT + Duration::from_millis(2_500));
    let before = ended(&site);
    for round in 1..=AGAIN {
        let clients: Vec<_> = site
            .machines
            .iter()
            .map(|it| {
                let machine = Arc::clone(it);
                thread::spawn(move || (machine.name.clone(), status(&machine, &killer())))
            })
            .collect();
        for client in clients {
            if let Ok((name, status)) = client.join() {
                record.line(format!(
                    "the request at {name}, {:.3} s after the third end: {status:?}",
                    third.elapsed().as_secs_f64()
                ));
            }
        }
        if has_trouble && round == 1 {
            thread::sleep(KILLED_AFTER);
            kill_all(record, &site);
            thread::sleep(CONTACT);
        }
        thread::sleep(AWAY + Duration::from_millis(1_700));
    }
    let late = ended(&site) - before;
    record.line(format!(
        "it reached servers {late} times later than contact_ms after the third had ended (allowed 3)"
    ));
    Ok(if late > 3 { End::Broken } else { End::Held })
}

/// Kills all nodes at the same moment; they start again.
fn kill_all(record: &Record, site: &Site) {
    let kills: Vec<_> = site
        .machines
        .iter()
        .map(|it| {
            let machine = Arc::clone(it);
            thread::spawn(move || machine.kill_and_restart(Duration::from_millis(500)).is_ok())
        })
        .collect();
    let killed = kills.into_iter().filter_map(|it| it.join().ok());
    record.line(format!(
        "{} nodes were killed and start again",
        killed.count()
    ));
}
