//! Cases of status reports that another writer sends.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::kit::{Bounds, End, Record, Report, Site, Tenant, manifest, read, status, unix_ms};

/// How long requests are sent after the report.
const WATCHED: Duration = Duration::from_secs(12);
const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// Another writer sends one status report of a service that no manifest names.
pub fn report(record: &Record, has_trouble: bool) -> End {
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
    let machine = &site.machines[0];
    if has_trouble {
        let odd = Report {
            id: "i-02d9e6b4",
            address: "127.0.0.1:9".parse().map_err(End::from)?,
            service: "zyxo44e",
            born: unix_ms(),
            sequence: 1,
        };
        let status = odd.send(machine)?;
        record.line(format!(
            "{} gets a status report of {} of the service {}, which no manifest names: {status}",
            machine.name, odd.id, odd.service
        ));
    }
    let began = Instant::now();
    let (mut false_callers, mut at_own) = (0, 0);
    while began.elapsed() < WATCHED {
        let request = read("ledger", KEY);
        let status = status(machine, &request);
        let servers = site.machines.iter().map(|it| &it.server);
        let callers: Vec<_> = servers
            .flat_map(|it| it.runs())
            .filter(|run| run.attempt == request.attempt)
            .map(|run| run.header("x-caller-service").unwrap_or("none").to_owned())
            .collect();
        false_callers += callers.iter().filter(|it| **it != machine.service).count();
        let own = read("rota", KEY);
        let own_status = crate::kit::status(machine, &own);
        let ran = site.runs_of(&own.attempt);
        at_own += usize::from(ran.contains(&machine.name));
        record.line(format!(
            "{} request {} to ledger: {status:?}, X-Caller-Service at its server: {callers:?}; request {} to rota: {own_status:?}, ran at {ran:?}",
            machine.name, request.attempt, own.attempt,
        ));
        thread::sleep(Duration::from_millis(200));
    }
    record.line(format!(
        "{false_callers} requests from the machine of {} ran with another X-Caller-Service; {at_own} ran at its own server",
        machine.service
    ));
    Ok(if false_callers > 0 {
        End::Broken
    } else {
        End::Held
    })
}
