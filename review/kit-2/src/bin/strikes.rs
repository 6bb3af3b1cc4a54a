//! A request crashes three backend servers; all nodes are killed at the same moment, and it comes again.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, ask};
use review_kit_2::{Record, Site, backend::CRASHING, has_trouble, read};

/// The workspace's limit, which the case stays below.
const RATE: u32 = 400;
/// The nodes' machines, with as many servers as `rota` has; all nodes get the request.
const MACHINES: [(&str, &str); 5] = [
    ("ikeja", "shop"),
    ("apapa", "shop"),
    ("lekki", "shop"),
    ("ikeja", "shop"),
    ("apapa", "shop"),
];
/// How long after the third crash the nodes are killed, and how long they are away.
const KILLED_AFTER: Duration = Duration::from_millis(200);
const AWAY: Duration = Duration::from_millis(500);
/// The rule's `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long after the third crash the request comes again, so that all machines are in touch.
const COMES_AGAIN: Duration = Duration::from_secs(8);
/// How often it comes again at each node, and the time between.
const ROUNDS: usize = 4;
const GAP: Duration = Duration::from_secs(4);
/// The most retries that reach servers, by the rule.
const MOST: usize = 3;

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

/// The request that crashes servers: the same path, caller and body, with an id of its own.
fn crashing() -> Request {
    Request {
        target: format!("/shop/read{CRASHING}1"),
        ..read()
    }
}

fn status(node: std::net::SocketAddr, request: &Request) -> String {
    let answer = cassiashunt_standin::site::open(node)
        .and_then(|mut stream| ask(&mut stream, &request.encode()));
    answer.map_or_else(|err| err.to_string(), |it| it.status.to_string())
}

fn crashes(site: &Site) -> Vec<Instant> {
    let runs = site.members.iter().flat_map(|it| it.server.runs());
    let is_crash = |attempt: &String| attempt.starts_with("crash");
    let mut at: Vec<_> = runs
        .filter(|(attempt, _)| is_crash(attempt))
        .map(|it| it.1)
        .collect();
    at.sort();
    at
}

fn play(record: &Record) -> std::io::Result<bool> {
    let mut site = Site::start(&MACHINES, RATE)?;
    thread::sleep(CONTACT);
    let began = Instant::now();
    let since = |at: Instant| at.duration_since(began).as_secs_f64();
    let mut number = 0;
    let send = |site: &Site, at: usize, number: usize| {
        let request = Request {
            attempt: format!("crash{number:08x}"),
            ..crashing()
        };
        let sent = since(Instant::now());
        let status = status(site.members[at].addresses.requests, &request);
        record.line(&format!(
            "{sent:.3} {} sent to {}, answered {status}",
            request.attempt, site.members[at].name
        ));
    };
    for at in 0..MACHINES.len() {
        if crashes(&site).len() < MOST {
            number += 1;
            send(&site, at, number);
        }
    }
    let third = *crashes(&site)
        .get(2)
        .ok_or_else(|| std::io::Error::other("fewer than three crashes"))?;
    record.line(&format!(
        "{:.3} it has crashed the third server; {} in all",
        since(third),
        crashes(&site).len()
    ));
    thread::sleep((third + KILLED_AFTER).saturating_duration_since(Instant::now()));
    if has_trouble() {
        record.line(&format!(
            "{:.3} all nodes are killed",
            since(Instant::now())
        ));
        site.restart_all(AWAY)?;
    }
    thread::sleep((third + COMES_AGAIN).saturating_duration_since(Instant::now()));
    for _ in 0..ROUNDS {
        let nodes: Vec<_> = site
            .members
            .iter()
            .map(|it| (it.name.clone(), it.addresses.requests))
            .collect();
        let sent = since(Instant::now());
        let clients = nodes.into_iter().map(|(name, node)| {
            number += 1;
            let request = Request {
                attempt: format!("crash{number:08x}"),
                ..crashing()
            };
            thread::spawn(move || (request.attempt.clone(), name, status(node, &request)))
        });
        let clients: Vec<_> = clients.collect();
        for client in clients {
            if let Ok((attempt, name, status)) = client.join() {
                record.line(&format!(
                    "{sent:.3} {attempt} sent to {name}, answered {status}"
                ));
            }
        }
        thread::sleep(GAP);
    }
    let late = crashes(&site)
        .iter()
        .filter(|it| **it > third + CONTACT)
        .count();
    for member in &site.members {
        for (attempt, at) in member.server.runs() {
            record.quiet(&format!(
                "{:.3} {attempt} ran beside {}",
                since(at),
                member.name
            ));
        }
    }
    record.line(&format!(
        "{late} later than contact_ms after the third crash; {MOST} are allowed"
    ));
    Ok(late > MOST)
}
