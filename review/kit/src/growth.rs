//! What a node keeps of the requests that it has answered, while nobody reads its metrics.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, open};

use crate::kit::{Bounds, End, HOST, Record, Site, Tenant, manifest, read};

/// Connections that ask without a pause, and the requests that each sends at once.
const CLIENTS: usize = 4;
const BATCH: usize = 64;
/// How long the load lasts.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// The time between two readings of the metrics while an incident is examined.
const SCRAPE_INTERVAL: Duration = Duration::from_secs(5);
/// The growth for each answered request from which it counts as kept.
const KEPT_BYTES: f64 = 8.0;

pub fn unread_metrics(record: &Record, has_trouble: bool) -> End {
    play(record, has_trouble).unwrap_or_else(|end| end)
}

fn play(record: &Record, has_trouble: bool) -> Result<End, End> {
    let tenants = [Tenant {
        name: "crews",
        keys: &["key-1"],
    }];
    let services = ["rota", "ledger"];
    let bounds = Bounds { revoke_ms: 5_000 };
    let site = Site::start(&services, bounds, &manifest(1, &services, &tenants))?;
    site.wait_until_serving(|service| read(service, "key-1"))?;
    let machine = &site.machines[0];
    let before = machine.memory_kib().unwrap_or_default();
    let until = Instant::now() + LOAD_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let node = machine.requests;
            thread::spawn(move || send_batches(node, until))
        })
        .collect();
    while Instant::now() < until {
        thread::sleep(SCRAPE_INTERVAL);
        if !has_trouble {
            scrape(machine.metrics)?;
        }
    }
    let mut answered = 0;
    for client in clients {
        let sent = client.join().map_err(|_| "a client panicked")?;
        answered += sent?;
    }
    if !has_trouble {
        scrape(machine.metrics)?;
    }
    let after = machine.memory_kib().unwrap_or_default();
    let kept = after.saturating_sub(before) as f64 * 1024.0 / answered as f64;
    record.line(format!(
        "{before} KiB before and {after} KiB after {answered} requests: {kept:.1} bytes a request"
    ));
    Ok(if kept > KEPT_BYTES {
        End::Broken
    } else {
        End::Held
    })
}

/// Reads the metrics.
fn scrape(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = open(address)?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
    stream.read_to_end(&mut Vec::new()).map(drop)
}

/// Sends requests on a route that does not exist, as fast as they are answered. Returns how many.
fn send_batches(node: SocketAddr, until: Instant) -> std::io::Result<usize> {
    let mut stream = open(node)?;
    let end = b"\r\n\r\n";
    let mut buffer = vec![0; 64 * 1024];
    let mut all = 0;
    while Instant::now() < until {
        let request = || Request {
            host: HOST.into(),
            target: "/gone/x".into(),
            timeout_ms: 5_000,
            ..Request::default()
        };
        let batch: Vec<u8> = (0..BATCH).flat_map(|_| request().encode()).collect();
        stream.write_all(&batch)?;
        // The answers have no bodies, so each ends with its head.
        let (mut answered, mut matched) = (0, 0);
        while answered < BATCH {
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Ok(all);
            }
            for byte in &buffer[..count] {
                matched = match *byte {
                    byte if byte == end[matched] => matched + 1,
                    b'\r' => 1,
                    _ => 0,
                };
                if matched == end.len() {
                    (answered, matched) = (answered + 1, 0);
                }
            }
        }
        all += BATCH;
    }
    Ok(all)
}
