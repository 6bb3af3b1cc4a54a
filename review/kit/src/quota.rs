//! Cases of tenants' allotments.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{ask, open};

use crate::kit::{Bounds, End, Machine, Quota, Record, Site, Tenant, lock, manifest_with, read};

const QUOTA: Quota = Quota {
    rate_per_s: 150,
    burst: 400,
};
/// `quota_window_s`, `quota_excess` and `quota_slack` of `lsprma-mesh`.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// How long the tenants send nothing, until their bursts are whole.
const IDLE: Duration = Duration::from_secs(6);
/// How long a machine stands still (`node_freeze`).
const FREEZE: Duration = Duration::from_secs(5);
/// When the tenants begin to send, after the freeze began.
const HOT_AFTER: Duration = Duration::from_millis(4_800);
/// How long they send.
const HOT: Duration = Duration::from_millis(6_500);
/// Clients of each tenant at each machine, and the pause of each between two requests.
const CLIENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(50);

const SERVICES: [&str; 2] = ["rota", "ledger"];
const TENANTS: [(&str, &str); 2] = [
    ("pulo780", "6wsjnbanfqasnmgkcuyj"),
    ("xale410", "8pjbvk9m68k7b2ex5wa5"),
];

/// A request that was sent: when, and whose.
type Sent = Arc<Mutex<HashMap<String, (Instant, usize)>>>;

/// A machine stands still while a tenant's allotment is kept beside it; other machines go on.
pub fn stale_home(record: &Record, has_trouble: bool) -> End {
    play(record, has_trouble).unwrap_or_else(|end| end)
}

fn play(record: &Record, has_trouble: bool) -> Result<End, End> {
    let keys: Vec<_> = TENANTS.iter().map(|(_, key)| [*key]).collect();
    let tenants: Vec<_> = TENANTS
        .iter()
        .zip(&keys)
        .map(|((name, _), keys)| Tenant { name, keys })
        .collect();
    let bounds = Bounds { revoke_ms: 5_000 };
    let machines = ["rota", "ledger", "ledger", "rota", "ledger", "rota"];
    let text = manifest_with(7, &SERVICES, &tenants, QUOTA);
    let site = Site::start(&machines, bounds, &text)?;
    site.wait_until_serving(|service| read(service, TENANTS[0].1))?;
    thread::sleep(IDLE);
    let frozen = &site.machines[0];
    if has_trouble {
        frozen.signal("-STOP")?;
        record.line(format!("{} stands still", frozen.name));
    }
    let freeze = Instant::now();
    thread::sleep(HOT_AFTER);
    let (is_over, sent) = (Arc::new(AtomicBool::new(false)), Sent::default());
    record.line(format!(
        "{} clients of each of {} tenants send at each of two machines, one request in {PAUSE:?}",
        CLIENTS,
        TENANTS.len()
    ));
    let clients: Vec<_> = site.machines[1..3]
        .iter()
        .flat_map(|machine| (0..TENANTS.len()).map(move |tenant| (machine, tenant)))
        .flat_map(|it| std::iter::repeat_n(it, CLIENTS))
        .map(|(machine, tenant)| {
            send(
                Arc::clone(machine),
                tenant,
                Arc::clone(&is_over),
                Arc::clone(&sent),
            )
        })
        .collect();
    thread::sleep(FREEZE.saturating_sub(freeze.elapsed()));
    if has_trouble {
        frozen.signal("-CONT")?;
        record.line(format!("{} goes on", frozen.name));
    }
    thread::sleep((HOT_AFTER + HOT).saturating_sub(freeze.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        // A client that panicked sent nothing more.
        let _ = client.join();
    }
    Ok(judge(record, &site, &lock(&sent), freeze))
}

/// Sends requests of one tenant at one machine, on a kept connection.
fn send(
    machine: Arc<Machine>,
    tenant: usize,
    is_over: Arc<AtomicBool>,
    sent: Sent,
) -> JoinHandle<()> {
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let Ok(mut stream) = open(machine.requests) else {
                thread::sleep(PAUSE);
                continue;
            };
            while !is_over.load(Ordering::Relaxed) {
                let request = read("ledger", TENANTS[tenant].1);
                lock(&sent).insert(request.attempt.clone(), (Instant::now(), tenant));
                if ask(&mut stream, &request.encode()).is_err() {
                    break;
                }
                thread::sleep(PAUSE);
            }
        }
    })
}

/// Counts, in each window, what was sent and run in it.
fn judge(
    record: &Record,
    site: &Site,
    sent: &HashMap<String, (Instant, usize)>,
    freeze: Instant,
) -> End {
    let (rate, burst) = (f64::from(QUOTA.rate_per_s), f64::from(QUOTA.burst));
    let allowed = (rate * WINDOW.as_secs_f64() + burst) * (1.0 + EXCESS) + SLACK;
    let mut is_broken = false;
    let mut runs: Vec<Vec<(Instant, Instant)>> = vec![Vec::new(); TENANTS.len()];
    for machine in &site.machines {
        for run in machine.server.runs() {
            let Some((at, tenant)) = sent.get(&run.attempt) else {
                continue;
            };
            let offset = at.saturating_duration_since(freeze).as_secs_f64();
            record.line(format!(
                "request {} of {}, sent {offset:.3} s after the freeze began, ran at {}",
                run.attempt, TENANTS[*tenant].0, machine.name
            ));
            runs[*tenant].push((*at, run.at));
        }
    }
    record.line(format!("{} requests were sent", sent.len()));
    for ((name, _), mut runs) in TENANTS.iter().zip(runs) {
        runs.sort();
        let most = runs
            .iter()
            .enumerate()
            .map(|(from, (start, _))| {
                let in_window = |at: Instant| at.duration_since(*start) <= WINDOW;
                let count = runs[from..]
                    .iter()
                    .filter(|(sent, ran)| in_window(*sent) && in_window(*ran));
                (count.count(), start.saturating_duration_since(freeze))
            })
            .max();
        let (most, start) = most.unwrap_or_default();
        is_broken |= most as f64 > allowed;
        record.line(format!(
            "{name}: {} ran; {most} of them in the {WINDOW:?} from {:.3} s after the freeze began; allowed {allowed:.0}",
            runs.len(),
            start.as_secs_f64()
        ));
    }
    if is_broken { End::Broken } else { End::Held }
}
