//! A backend server leaves; its node is killed and starts again, and two status reports from before the
//! leave arrive late.

use std::{
    collections::HashSet,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{ask, open};
use review_kit_2::{Record, Site, has_trouble, read};

/// The workspace's limit, which the case stays below.
const RATE: u32 = 400;
/// The number of the node whose server leaves.
const LEAVING: usize = 1;
/// The time between two status reports of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The time between the last of them and the leave.
const LAST_PAUSE: Duration = Duration::from_millis(100);
/// How late the last two reports from before the leave arrive.
const DELAY: Duration = Duration::from_millis(3_000);
/// When the node is killed after the ack, and how long it is away.
const KILLED_AFTER: Duration = Duration::from_millis(300);
const AWAY: Duration = Duration::from_millis(500);
/// How long the server goes on after the ack.
const SERVES_ON: Duration = Duration::from_secs(10);
/// The rule's `drain_ms`, and `contact_ms` after which the started machine is in touch.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Clients.
const CLIENTS: usize = 8;
/// The pause of each client between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(60);

type Sent = Arc<Mutex<Vec<(String, usize, Instant, u16)>>>;

fn main() -> ExitCode {
    let path = std::env::args().nth(1);
    let record = Record::default();
    let code = match play(&record) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            record.line(&format!("could not run: {err}"));
            2
        }
    };
    match record.write(path.as_deref().unwrap_or("record.txt")) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}

fn play(record: &Record) -> std::io::Result<bool> {
    let mut site = Site::start(
        &[("ikeja", "desk"), ("apapa", "shop"), ("lekki", "shop")],
        RATE,
    )?;
    for member in &site.members {
        member.server.set_work(WORK);
    }
    let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    // All requests come to a machine that nothing happens to, for the service of the two others.
    for number in [0; CLIENTS] {
        let member = &site.members[number];
        let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
        let node = member.addresses.requests;
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let (request, at) = (read(), Instant::now());
                let answer = open(node).and_then(|mut it| ask(&mut it, &request.encode()));
                let status = answer.map_or(0, |it| it.status);
                if let Ok(mut sent) = sent.lock() {
                    sent.push((request.attempt, number, at, status));
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    let began = Instant::now();
    let since = |at: Instant| at.duration_since(began).as_secs_f64();
    thread::sleep(Duration::from_secs(3));
    let (server, control) = {
        let member = &site.members[LEAVING];
        (member.server.clone(), member.addresses.heartbeats)
    };
    // The last two reports before the leave are on their way when it comes.
    let mut late = Vec::new();
    if has_trouble() {
        server.pause_reports();
        for pause in [HEARTBEAT, LAST_PAUSE] {
            late.push((server.report(), Instant::now() + DELAY));
            thread::sleep(pause);
        }
    }
    let status = server.leave(control)?;
    let acked = Instant::now();
    record.line(&format!(
        "{:.3} the leave is answered {status}",
        since(acked)
    ));
    let mut started = acked;
    if has_trouble() {
        thread::sleep(KILLED_AFTER);
        record.line(&format!("{:.3} the node is killed", since(Instant::now())));
        site.restart(LEAVING, AWAY)?;
        started = Instant::now();
        record.line(&format!("{:.3} the node is started again", since(started)));
        for (report, at) in late {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let status = server.send(control, &report);
            let arrived = since(Instant::now());
            record.line(&format!(
                "{arrived:.3} a report from before the leave is answered {status:?}"
            ));
        }
    }
    thread::sleep((acked + SERVES_ON).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    server.exit();
    let sent = sent.lock().map(|it| it.clone()).unwrap_or_default();
    let attempts: HashSet<&String> = sent.iter().map(|it| &it.0).collect();
    let bound = (acked + DRAIN).max(
        started
            + if has_trouble() {
                CONTACT
            } else {
                Duration::ZERO
            },
    );
    let mut after = 0;
    for (attempt, at) in server.runs() {
        record.quiet(&format!(
            "{:.3} {attempt} ran at the leaving server",
            since(at)
        ));
        after += usize::from(at > bound && attempts.contains(&attempt));
    }
    for (attempt, node, at, status) in &sent {
        record.quiet(&format!(
            "{:.3} {attempt} sent to node {node}, answered {status}",
            since(*at)
        ));
    }
    let served = sent.iter().filter(|it| it.3 == 200).count();
    record.line(&format!("{served} of {} requests served", sent.len()));
    record.line(&format!(
        "{after} requests reached the leaving server later than {:.3}",
        since(bound)
    ));
    record.quiet(&site.members[LEAVING].log());
    Ok(after > 0)
}
