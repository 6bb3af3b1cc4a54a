//! One node stands still for some seconds; then a workspace spends its burst.

use std::{
    collections::HashMap,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_mesh::{home_of, homes};
use cassiashunt_standin::site::{Request, ask};
use cassiashunt_types::prelude::*;
use review_kit_2::{Record, Site, has_trouble, read};

/// The workspace's limit: requests a second, and as many in a burst, as in the site files.
const RATE: u32 = 200;
/// How long the bucket fills before.
const IDLE: Duration = Duration::from_secs(4);
/// How long the node stands still; the pages name seconds, and the site's dose is 5 s.
const FROZEN: Duration = Duration::from_millis(4_000);
/// How long before its end the workspace begins to send.
const LEAD: Duration = Duration::from_millis(500);
/// How long it sends.
const LOAD: Duration = Duration::from_secs(8);
/// Clients of each node, and the pause of each between two requests.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(26);
/// The rule's window, excess and slack.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The zones of the nodes.
const ZONES: [&str; 6] = ["ikeja", "apapa", "lekki", "ikeja", "apapa", "lekki"];

type Sent = Arc<Mutex<Vec<(String, Instant, u16)>>>;

fn main() -> ExitCode {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::default();
    let code = match play(&record) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            record.line(&format!("could not run: {err}"));
            2
        }
    };
    if record.write(&path).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

fn play(record: &Record) -> std::io::Result<bool> {
    let site = Site::start(&ZONES.map(|zone| (zone, "shop")), RATE)?;
    let names = site.members.iter().map(|it| it.name.clone());
    let homes = homes(names);
    let home = home_of(&homes, Workspace::of_name("first-shop")).unwrap_or_default();
    let at = site
        .members
        .iter()
        .position(|it| it.name == home)
        .unwrap_or_default();
    thread::sleep(IDLE);
    let began = Instant::now();
    let sent = Sent::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let out = Arc::new(AtomicBool::new(has_trouble()));
    if has_trouble() {
        record.line(&format!(
            "{} stands still for {FROZEN:?}",
            site.members[at].name
        ));
        site.members[at].signal("-STOP");
    }
    thread::sleep(FROZEN - LEAD);
    let mut clients = Vec::new();
    for (number, member) in site.members.iter().enumerate() {
        for _ in 0..CLIENTS {
            let (sent, is_over, out) = (Arc::clone(&sent), Arc::clone(&is_over), Arc::clone(&out));
            let node = member.addresses.requests;
            clients.push(thread::spawn(move || {
                let mut stream = None;
                while !is_over.load(Ordering::Relaxed) {
                    // The platform gives no new work to a node that is not ready.
                    if number == at && out.load(Ordering::Relaxed) {
                        thread::sleep(PAUSE);
                        continue;
                    }
                    let request: Request = read();
                    let at = Instant::now();
                    let mut kept = match stream.take() {
                        Some(kept) => kept,
                        None => match cassiashunt_standin::site::open(node) {
                            Ok(opened) => opened,
                            Err(_) => continue,
                        },
                    };
                    let answer = ask(&mut kept, &request.encode());
                    let status = answer.as_ref().map_or(0, |it| it.status);
                    if answer.is_ok() {
                        stream = Some(kept);
                    }
                    if let Ok(mut sent) = sent.lock() {
                        sent.push((request.attempt, at, status));
                    }
                    thread::sleep(PAUSE.saturating_sub(at.elapsed()));
                }
            }));
        }
    }
    thread::sleep(LEAD);
    if has_trouble() {
        site.members[at].signal("-CONT");
        record.line(&format!("{} runs again", site.members[at].name));
        while !site.members[at].is_ready() {
            thread::sleep(Duration::from_millis(50));
        }
    }
    out.store(false, Ordering::Relaxed);
    thread::sleep(LOAD);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().map(|it| it.clone()).unwrap_or_default();
    Ok(judge(record, &site, began, &sent))
}

/// Whether in some window more requests were both sent and ran than the rule allows.
fn judge(record: &Record, site: &Site, began: Instant, sent: &[(String, Instant, u16)]) -> bool {
    let runs: HashMap<String, (Instant, usize)> = site
        .members
        .iter()
        .enumerate()
        .flat_map(|(at, it)| {
            it.server
                .runs()
                .into_iter()
                .map(move |run| (run.0, (run.1, at)))
        })
        .collect();
    let mut ran: Vec<(Instant, Instant)> = Vec::new();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for (attempt, at, status) in sent {
        *statuses.entry(*status).or_default() += 1;
        let run = runs.get(attempt);
        let text = run.map_or_else(String::new, |(run_at, server)| {
            format!(
                " ran at {:.3} at server {server}",
                run_at.duration_since(began).as_secs_f64()
            )
        });
        record.quiet(&format!(
            "{:.3} sent {attempt}, answered {status}{text}",
            at.duration_since(began).as_secs_f64()
        ));
        if let Some((run_at, _)) = run {
            ran.push((*at, *run_at));
        }
    }
    ran.sort();
    let allowed =
        (f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(RATE)) * (1.0 + EXCESS) + SLACK;
    let within = |from: Instant| {
        ran.iter()
            .filter(|(sent, run)| *sent >= from && *run <= from + WINDOW)
            .count()
    };
    let most = ran.iter().map(|(sent, _)| (within(*sent), *sent)).max();
    let (most, from) = most.unwrap_or((0, began));
    record.line(&format!(
        "{} requests, answers by status: {statuses:?}",
        sent.len()
    ));
    for second in 0..13 {
        let from = began + Duration::from_secs(second);
        let count = ran
            .iter()
            .filter(|(_, run)| *run >= from && *run < from + Duration::from_secs(1))
            .count();
        record.line(&format!("second {second}: {count} ran"));
    }
    record.line(&format!(
        "most in a window of {WINDOW:?}: {most}, from {:.3} s; allowed {allowed}",
        from.duration_since(began).as_secs_f64()
    ));
    most as f64 > allowed
}
