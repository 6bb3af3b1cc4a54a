//! Cases of servers that leave.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::Behaviour;

use crate::kit::{Bounds, End, Record, Report, Site, Tenant, manifest, read, status};

/// `drain_ms` and `contact_ms` of `lsprma-mesh`.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How late the last report before the leave arrives, after the node is back.
const LATE: Duration = Duration::from_millis(3_000);
/// How long the server serves after its leave.
const SERVES: Duration = Duration::from_secs(14);

/// How long a request takes, and how many clients send one after the other.
const WORK: Duration = Duration::from_millis(220);
const CLIENTS: usize = 8;

const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// A server says that it leaves, its node is killed and starts again, and a report that the server sent
/// before arrives late.
pub fn late_report(record: &Record, has_trouble: bool) -> End {
    play(record, has_trouble).unwrap_or_else(|end| end)
}

fn play(record: &Record, has_trouble: bool) -> Result<End, End> {
    let tenant = Tenant {
        name: "pulo780",
        keys: &[KEY],
    };
    let bounds = Bounds { revoke_ms: 5_000 };
    let machines = ["rota", "rota", "ledger", "ledger"];
    let site = Site::start(&machines, bounds, &manifest(7, &SERVICES, &[tenant]))?;
    site.wait_until_serving(|service| read(service, KEY))?;
    let leaving = &site.machines[0];
    let sequence = leaving.stop_reports();
    leaving.server.set_silent(true);
    let answer = leaving.server.leave(leaving.heartbeats)?;
    let acked = Instant::now();
    record.line(format!(
        "{} says that it leaves, and its node answers {answer}",
        leaving.server.id
    ));
    leaving.kill_and_restart(Duration::from_millis(300))?;
    let back = Instant::now();
    record.line(format!(
        "the node {} was killed and starts again",
        leaving.name
    ));
    thread::sleep(LATE);
    if has_trouble {
        let late = Report {
            id: &leaving.server.id,
            address: leaving.server.address(),
            service: &leaving.service,
            born: leaving.born,
            sequence,
        };
        let answer = late.send(leaving)?;
        record.line(format!("a report from before the leave arrives: {answer}"));
    }
    thread::sleep(CONTACT.saturating_sub(back.elapsed()));
    for machine in &site.machines {
        machine.server.set_usual(Behaviour::Slow(WORK));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let machine = Arc::clone(&site.machines[2]);
            thread::spawn(move || {
                let mut sent = Vec::new();
                while acked.elapsed() < SERVES {
                    let request = read("rota", KEY);
                    let at = acked.elapsed();
                    let status = status(&machine, &request);
                    sent.push((at, request.attempt, status));
                }
                sent
            })
        })
        .collect();
    let sent: Vec<_> = clients
        .into_iter()
        .flat_map(|it| it.join().unwrap_or_default())
        .collect();
    let runs = leaving.server.runs();
    let mut late_runs = 0;
    for (at, attempt, status) in sent {
        let ran = runs.iter().any(|run| run.attempt == attempt);
        let seconds = at.as_secs_f64();
        record.line(format!(
            "{} request {attempt} to rota, sent {seconds:.3} s after the ack: {status:?}, ran at {}: {ran}",
            site.machines[2].name, leaving.server.id
        ));
        late_runs += u32::from(at > DRAIN && ran);
    }
    record.line(format!(
        "{late_runs} requests reached {} later than drain_ms after the ack",
        leaving.server.id
    ));
    Ok(if late_runs > 0 {
        End::Broken
    } else {
        End::Held
    })
}
