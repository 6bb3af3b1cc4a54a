//! Cases of planned stops.

use std::{
    io::{Read as _, Write as _},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, ask, open};

use crate::kit::{Bounds, End, Record, Site, Tenant, manifest, read};

/// `grace_s` of `lsprma-mesh`.
const GRACE: Duration = Duration::from_secs(6);
/// When the requests are sent, after SIGTERM: the node counts as ready until two questions missed.
const SENT_AFTER: Duration = Duration::from_millis(1_700);
/// The time limit of the requests, and of their route.
const TIME_LIMIT: Duration = Duration::from_millis(5_000);
const CLIENTS: usize = 8;
const ANSWER_BYTES: usize = 8 << 20;
/// A slow client reads so much in a second, for so long; then it reads at once.
const SLOW_BYTES_PER_S: usize = 256 << 10;
const SLOW_FOR: Duration = Duration::from_millis(4_200);

const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// Clients read long answers slowly, within their time limit, while the node is asked to stop.
pub fn slow_readers(record: &Record, has_trouble: bool) -> End {
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
    for machine in site.machines.iter().filter(|it| it.service == "ledger") {
        let long = Behaviour::Long(Duration::ZERO, ANSWER_BYTES);
        machine.server.set_usual(long);
    }
    let machine = &site.machines[0];
    let mut streams = Vec::new();
    for _ in 0..CLIENTS {
        let mut stream = open(machine.requests)?;
        ask(&mut stream, &read("rota", KEY).encode())?;
        streams.push(stream);
    }
    if has_trouble {
        machine.signal("-TERM")?;
    }
    let term = Instant::now();
    record.line(format!("{} gets SIGTERM: {has_trouble}", machine.name));
    thread::sleep(SENT_AFTER);
    let clients: Vec<_> = streams
        .into_iter()
        .map(|stream| {
            thread::sleep(Duration::from_millis(60));
            download(stream, term)
        })
        .collect();
    thread::sleep(GRACE.saturating_sub(term.elapsed()));
    if has_trouble && machine.memory_kib().is_some() {
        record.line("the process is still there at the end of the grace time");
        machine.signal("-KILL")?;
    }
    let mut lost = 0;
    for client in clients {
        let Ok(end) = client.join() else {
            continue;
        };
        let ran = site.runs_of(&end.attempt);
        let is_lost = !end.is_whole && !end.is_refused && !ran.is_empty() && end.spent < TIME_LIMIT;
        lost += u32::from(is_lost);
        record.line(format!(
            "request {}, sent {:.3} s after SIGTERM on a kept connection, ran at {ran:?}: {} of {ANSWER_BYTES} bytes and its head, ended after {:.3} s by {}; whole: {}",
            end.attempt,
            end.sent.as_secs_f64(),
            end.bytes,
            end.spent.as_secs_f64(),
            end.how,
            end.is_whole,
        ));
    }
    record.line(format!(
        "{lost} requests were read whole and ran, and their connection ended without a complete answer, within their time limit"
    ));
    Ok(if lost > 0 { End::Broken } else { End::Held })
}

/// How a download ended.
struct Download {
    attempt: String,
    sent: Duration,
    spent: Duration,
    bytes: usize,
    is_whole: bool,
    is_refused: bool,
    how: String,
}

fn download(mut stream: std::net::TcpStream, term: Instant) -> JoinHandle<Download> {
    thread::spawn(move || {
        let request = read("ledger", KEY);
        let sent = Instant::now();
        let mut answer = Vec::new();
        let mut how = "the client's time limit".to_owned();
        if let Err(err) = stream.write_all(&request.encode()) {
            how = err.to_string();
        } else {
            while sent.elapsed() < TIME_LIMIT && !is_whole(&answer) {
                let is_slow = sent.elapsed() < SLOW_FOR;
                let mut piece = vec![
                    0;
                    if is_slow {
                        SLOW_BYTES_PER_S / 20
                    } else {
                        1 << 20
                    }
                ];
                match stream.read(&mut piece) {
                    Ok(0) => {
                        how = "the end of the connection".into();
                        break;
                    }
                    Ok(read) => answer.extend_from_slice(&piece[..read]),
                    Err(err) => {
                        how = err.to_string();
                        break;
                    }
                }
                if is_slow {
                    thread::sleep(Duration::from_millis(50));
                }
            }
        }
        let is_whole = is_whole(&answer);
        Download {
            attempt: request.attempt,
            sent: sent.duration_since(term),
            spent: sent.elapsed(),
            bytes: answer.len(),
            is_refused: is_whole && !answer.starts_with(b"HTTP/1.1 200"),
            is_whole,
            how: if is_whole { "its end".into() } else { how },
        }
    })
}

/// Whether an answer with a length is whole.
fn is_whole(answer: &[u8]) -> bool {
    let head = &answer[..answer.len().min(1_024)];
    let Some(end) = head.windows(4).position(|it| it == b"\r\n\r\n") else {
        return false;
    };
    let text = String::from_utf8_lossy(&head[..end]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    answer.len() >= end + 4 + length.unwrap_or(0_usize)
}
