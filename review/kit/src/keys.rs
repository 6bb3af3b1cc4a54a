//! Cases of keys that a manifest takes away.

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::Fault;

use crate::kit::{Bounds, End, Record, Site, Tenant, manifest, read, status};

/// `revoke_ms` and `converge_ms` of `lsprma-mesh`.
const REVOKE: Duration = Duration::from_millis(5_000);
const CONVERGE: Duration = Duration::from_millis(2_000);
/// How long requests are sent after the manifest.
const WATCHED: Duration = Duration::from_secs(15);

const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEPT: &str = "6wsjnbanfqasnmgkcuyj";
const WITHDRAWN: &str = "8pjbvk9m68k7b2ex5wa5";
const ADDED: &str = "m3k7c9t2x5w8n4q6r1zd";

/// A manifest takes a key away and adds a tenant whose name is longer than those so far.
pub fn long_name(record: &Record, has_trouble: bool) -> End {
    play_long_name(record, has_trouble).unwrap_or_else(|end| end)
}

fn play_long_name(record: &Record, has_trouble: bool) -> Result<End, End> {
    let first = Tenant {
        name: "pulo780",
        keys: &[KEPT, WITHDRAWN],
    };
    let bounds = Bounds { revoke_ms: 5_000 };
    let machines = ["rota", "rota", "ledger", "ledger"];
    let site = Site::start(&machines, bounds, &manifest(7, &SERVICES, &[first]))?;
    site.wait_until_serving(|service| read(service, WITHDRAWN))?;
    let name = if has_trouble {
        "lagos-railings-maintenance-agency"
    } else {
        "railings"
    };
    let tenants = [
        Tenant {
            name: "pulo780",
            keys: &[KEPT],
        },
        Tenant {
            name,
            keys: &[ADDED],
        },
    ];
    site.store
        .put("op/config", &manifest(9, &SERVICES, &tenants));
    let acked = Instant::now();
    record.line(format!(
        "version 9 is acknowledged: without the key {WITHDRAWN}, with the tenant {name} and its key {ADDED}"
    ));
    let mut late_runs = 0;
    let mut late_refusals = 0;
    while acked.elapsed() < WATCHED {
        for machine in &site.machines {
            for (what, key) in [("withdrawn", WITHDRAWN), ("added", ADDED), ("kept", KEPT)] {
                let request = read("rota", key);
                let sent = acked.elapsed();
                let status = status(machine, &request);
                let ran = site.runs_of(&request.attempt);
                record.line(format!(
                    "{} request {} with the {what} key, sent {:.3} s after the ack: {status:?}, ran at {ran:?}",
                    machine.name,
                    request.attempt,
                    sent.as_secs_f64(),
                ));
                late_runs += u32::from(what == "withdrawn" && sent > REVOKE && !ran.is_empty());
                let is_refused = matches!(status, Some(401 | 403 | 404));
                late_refusals += u32::from(what == "added" && sent > CONVERGE && is_refused);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line(format!(
        "{late_runs} requests with the withdrawn key, sent later than revoke_ms after the ack, ran"
    ));
    record.line(format!(
        "{late_refusals} requests with the added key, sent later than converge_ms after the ack, were refused with 401, 403 or 404"
    ));
    for machine in &site.machines {
        let log = machine.log();
        for line in log.lines().filter(|it| it.contains("table-refused")) {
            record.line(format!("log of {}: {line}", machine.name));
        }
    }
    Ok(if late_runs > 0 || late_refusals > 0 {
        End::Broken
    } else {
        End::Held
    })
}

/// `revoke_ms` before and after the operators change it.
const LONG_REVOKE_MS: u64 = 5_000;
const SHORT_REVOKE_MS: u64 = 2_000;
/// How long the store is down (`platform_down` in the site file).
const OUTAGE: Duration = Duration::from_millis(4_500);

/// The operators shorten `revoke_ms` in the settings files and tell the nodes so by SIGHUP. Then the
/// store goes down right after it has acknowledged a manifest that takes a key away.
pub fn shorter_bound(record: &Record, has_trouble: bool) -> End {
    play_shorter_bound(record, has_trouble).unwrap_or_else(|end| end)
}

fn play_shorter_bound(record: &Record, has_trouble: bool) -> Result<End, End> {
    let first = Tenant {
        name: "pulo780",
        keys: &[KEPT, WITHDRAWN],
    };
    let revoke_ms = if has_trouble {
        LONG_REVOKE_MS
    } else {
        SHORT_REVOKE_MS
    };
    let machines = ["rota", "rota", "ledger", "ledger"];
    let site = Site::start(
        &machines,
        Bounds { revoke_ms },
        &manifest(7, &SERVICES, &[first]),
    )?;
    site.wait_until_serving(|service| read(service, WITHDRAWN))?;
    record.line(format!("the nodes run with revoke_ms {revoke_ms}"));
    for machine in &site.machines {
        let text = std::fs::read_to_string(&machine.settings)?;
        let long = format!("key-withdrawal-ms = {LONG_REVOKE_MS}");
        let short = format!("key-withdrawal-ms = {SHORT_REVOKE_MS}");
        std::fs::write(&machine.settings, text.replace(&long, &short))?;
        machine.signal("-HUP")?;
    }
    record.line(format!(
        "all settings files say revoke_ms {SHORT_REVOKE_MS}, and all nodes got SIGHUP"
    ));
    thread::sleep(Duration::from_secs(3));
    for machine in &site.machines {
        let log = machine.log();
        for line in log.lines().filter(|it| it.contains("settings-re")) {
            record.line(format!("log of {}: {line}", machine.name));
        }
    }
    let kept = Tenant {
        name: "pulo780",
        keys: &[KEPT],
    };
    site.store.set_fault(Fault::Silent);
    site.store
        .put("op/config", &manifest(9, &SERVICES, &[kept]));
    let acked = Instant::now();
    record.line(format!(
        "version 9 is acknowledged, without the key {WITHDRAWN}; the store is down for {OUTAGE:?}"
    ));
    let bound = Duration::from_millis(SHORT_REVOKE_MS);
    let mut late_runs = 0;
    while acked.elapsed() < OUTAGE {
        for machine in &site.machines {
            let request = read("rota", WITHDRAWN);
            let sent = acked.elapsed();
            let status = status(machine, &request);
            let ran = site.runs_of(&request.attempt);
            record.line(format!(
                "{} request {} with the withdrawn key, sent {:.3} s after the ack: {status:?}, ran at {ran:?}",
                machine.name,
                request.attempt,
                sent.as_secs_f64(),
            ));
            late_runs += u32::from(sent > bound && !ran.is_empty());
        }
        thread::sleep(Duration::from_millis(150));
    }
    site.store.set_fault(Fault::None);
    record.line(format!(
        "{late_runs} requests with the withdrawn key, sent later than revoke_ms after the ack, ran"
    ));
    Ok(if late_runs > 0 {
        End::Broken
    } else {
        End::Held
    })
}
