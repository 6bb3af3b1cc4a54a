//! Cases of what a node holds for its clients.

use std::{
    io::{Read as _, Write as _},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Request, ask, open};

use crate::kit::{Bounds, End, Machine, Record, Site, Tenant, lock, manifest, read, write};

/// `memory_mb` of an `app_node`, in KiB.
const MEMORY_KIB: u64 = 260 * 1_024;
/// The platform starts a process that has ended again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// `contact_ms`, after which the machines are in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
const ROUNDS: usize = 3;
/// The time between the starts of two rounds; a node serves again within it.
const ROUND: Duration = Duration::from_secs(14);

/// How long a read takes at its server.
const WORK: Duration = Duration::from_millis(1_200);
/// Kept connections with reads, at each machine.
const READERS: usize = 8;

/// Uploads at one machine at a time, as many as it has clients in the site file (40 in a zone of 5
/// machines).
const UPLOADERS: usize = 8;
/// The length of a body: under two thirds of `body_bytes`.
const UPLOAD_BYTES: usize = 40 << 20;
/// How long a client takes to send its body; all of them use two thirds of the machine's link.
const UPLOAD_TIME: Duration = Duration::from_secs(4);

/// Downloads at one machine at a time.
const DOWNLOADERS: usize = 24;
const DOWNLOAD_BYTES: usize = 8 << 20;
/// The time between the starts of two downloads.
const DOWNLOAD_GAP: Duration = Duration::from_millis(120);
/// How much a slow client reads in a second.
const SLOW_BYTES_PER_S: usize = 256 << 10;

/// The length of a usual body.
const USUAL_BYTES: usize = 4_000;

const SERVICES: [&str; 2] = ["rota", "ledger"];
const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// Clients send bodies within the manifest's limit.
pub fn uploads(record: &Record, has_trouble: bool) -> End {
    play(record, &Behaviour::Serve, |machine, record| {
        upload(machine, record, has_trouble);
    })
    .unwrap_or_else(|end| end)
}

/// Clients read long answers slowly.
pub fn slow_readers(record: &Record, has_trouble: bool) -> End {
    let long = Behaviour::Long(Duration::ZERO, DOWNLOAD_BYTES);
    play(record, &long, |machine, record| {
        download(machine, record, has_trouble);
    })
    .unwrap_or_else(|end| end)
}

/// Lays a load on two machines in turn, and judges what became of the reads there.
fn play(
    record: &Record,
    ledger: &Behaviour,
    load: impl Fn(&Arc<Machine>, &Record),
) -> Result<End, End> {
    let tenant = Tenant {
        name: "pulo780",
        keys: &[KEY],
    };
    let bounds = Bounds { revoke_ms: 5_000 };
    let machines = ["rota", "rota", "ledger", "ledger"];
    let site = Site::start(&machines, bounds, &manifest(7, &SERVICES, &[tenant]))?;
    site.wait_until_serving(|service| read(service, KEY))?;
    for machine in &site.machines {
        machine.server.set_usual(match machine.service.as_str() {
            "rota" => Behaviour::Slow(WORK),
            _ => ledger.clone(),
        });
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let watches: Vec<_> = site
        .machines
        .iter()
        .map(|it| watch_memory(Arc::clone(it), Arc::clone(&is_over), record.clone()))
        .collect();
    thread::sleep(CONTACT);
    let cut = Arc::new(Mutex::new(Vec::new()));
    let loaded = &site.machines[..2];
    let readers: Vec<_> = loaded
        .iter()
        .flat_map(|machine| (0..READERS).map(|_| Arc::clone(machine)))
        .map(|machine| keep_reading(machine, Arc::clone(&is_over), Arc::clone(&cut)))
        .collect();
    thread::sleep(2 * WORK);
    for round in 1..=ROUNDS {
        let began = Instant::now();
        record.line(format!("round {round}"));
        for machine in loaded {
            load(machine, record);
        }
        thread::sleep(ROUND.saturating_sub(began.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<_> = watches
        .into_iter()
        .map(|it| it.join().unwrap_or(0))
        .collect();
    let answered: usize = readers.into_iter().map(|it| it.join().unwrap_or(0)).sum();
    let mut lost = 0;
    for (machine, attempt) in lock(&cut).iter() {
        let ran = site.runs_of(attempt);
        lost += usize::from(!ran.is_empty());
        record.line(format!(
            "{machine} closed a kept connection without an answer to {attempt}, which ran at {ran:?}"
        ));
    }
    let often = ends.iter().filter(|it| **it >= 3).count();
    record.line(format!(
        "{answered} reads on kept connections were answered; {lost} ran, and their connection was closed without an answer (LOST: more than 3)"
    ));
    record.line(format!(
        "processes that ended over their memory, by machine: {ends:?} (Fault: three times on two machines; here {often})"
    ));
    Ok(if lost > 3 || often >= 2 {
        End::Broken
    } else {
        End::Held
    })
}

/// Ends a process that exceeds its memory, as the platform does, and starts it again. Returns how often.
fn watch_memory(
    machine: Arc<Machine>,
    is_over: Arc<AtomicBool>,
    record: Record,
) -> JoinHandle<u32> {
    thread::spawn(move || {
        let (mut ends, mut peak) = (0, 0);
        while !is_over.load(Ordering::Relaxed) {
            let held = machine.memory_kib().unwrap_or(0);
            peak = peak.max(held);
            if held > MEMORY_KIB {
                ends += 1;
                record.line(format!(
                    "{} holds {held} KiB of {MEMORY_KIB}: the platform ends it",
                    machine.name
                ));
                if let Err(err) = machine.kill_and_restart(RESTART_DELAY) {
                    record.line(format!("{} does not start: {err}", machine.name));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("{} held {peak} KiB at most", machine.name));
        ends
    })
}

/// Reads on one kept connection over and over. Returns how many were answered; those that were not go
/// to `cut`, if the connection had served one before.
fn keep_reading(
    machine: Arc<Machine>,
    is_over: Arc<AtomicBool>,
    cut: Arc<Mutex<Vec<(String, String)>>>,
) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut answered = 0;
        while !is_over.load(Ordering::Relaxed) {
            let Ok(mut stream) = open(machine.requests) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let mut is_kept = false;
            while !is_over.load(Ordering::Relaxed) {
                let request = read("rota", KEY);
                match ask(&mut stream, &request.encode()) {
                    Ok(answer) if answer.status == 200 => answered += 1,
                    // It starts, and knows no key yet.
                    Ok(_) => thread::sleep(Duration::from_millis(100)),
                    Err(_) => {
                        if is_kept {
                            lock(&cut).push((machine.name.clone(), request.attempt));
                        }
                        break;
                    }
                }
                is_kept = true;
            }
        }
        answered
    })
}

/// Clients that begin at the same time, and send their bodies at a steady pace.
fn upload(machine: &Arc<Machine>, record: &Record, has_trouble: bool) {
    let bytes = if has_trouble {
        UPLOAD_BYTES
    } else {
        USUAL_BYTES
    };
    record.line(format!(
        "{UPLOADERS} clients of {} send bodies of {bytes} bytes within {UPLOAD_TIME:?}",
        machine.name
    ));
    let clients: Vec<_> = (0..UPLOADERS)
        .map(|_| {
            let machine = Arc::clone(machine);
            let request = write("ledger", KEY, vec![b'x'; bytes]);
            thread::spawn(move || {
                let end = send_slowly(&machine, &request);
                format!("{}: {end}", request.attempt)
            })
        })
        .collect();
    for client in clients {
        let end = client.join().unwrap_or_else(|_| "panicked".into());
        record.line(format!("{} upload {end}", machine.name));
    }
}

fn send_slowly(machine: &Machine, request: &Request) -> String {
    const PIECES: usize = 80;
    let sent = || -> std::io::Result<u16> {
        let mut stream = open(machine.requests)?;
        let bytes = request.encode();
        let mut pieces = bytes.chunks(bytes.len().div_ceil(PIECES)).peekable();
        while let Some(piece) = pieces.next() {
            if pieces.peek().is_none() {
                return Ok(ask(&mut stream, piece)?.status);
            }
            stream.write_all(piece)?;
            thread::sleep(UPLOAD_TIME / PIECES as u32);
        }
        Ok(0)
    };
    sent().map_or_else(|err| err.to_string(), |status| status.to_string())
}

/// Clients that ask for long answers one after the other, and read them slowly.
fn download(machine: &Arc<Machine>, record: &Record, has_trouble: bool) {
    let what = if has_trouble { "slowly" } else { "at once" };
    record.line(format!(
        "{DOWNLOADERS} clients of {} ask for {DOWNLOAD_BYTES} bytes, {DOWNLOAD_GAP:?} apart, and read {what}",
        machine.name
    ));
    let target = format!("{DOWNLOAD_BYTES}");
    let whole = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..DOWNLOADERS)
        .map(|_| {
            let (machine, whole) = (Arc::clone(machine), Arc::clone(&whole));
            let request = read("ledger", KEY);
            thread::sleep(DOWNLOAD_GAP);
            thread::spawn(move || {
                // A client that is cut off shows in the count of whole answers.
                if let Ok(read) = read_slowly(&machine, &request, has_trouble) {
                    whole.fetch_add(usize::from(read >= DOWNLOAD_BYTES), Ordering::Relaxed);
                }
            })
        })
        .collect();
    for client in clients {
        // A panic shows in the count of whole answers.
        let _ = client.join();
    }
    record.line(format!(
        "{} downloads of {target} bytes read whole: {}",
        machine.name,
        whole.load(Ordering::Relaxed)
    ));
}

/// Reads for some seconds, and returns how many bytes there were.
fn read_slowly(machine: &Machine, request: &Request, is_slow: bool) -> std::io::Result<usize> {
    const READ_TIME: Duration = Duration::from_secs(4);
    let mut stream = open(machine.requests)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(&request.encode())?;
    let mut piece = vec![
        0;
        if is_slow {
            SLOW_BYTES_PER_S / 10
        } else {
            1 << 20
        }
    ];
    let (began, mut sum) = (Instant::now(), 0);
    while began.elapsed() < READ_TIME && sum < DOWNLOAD_BYTES {
        match stream.read(&mut piece)? {
            0 => break,
            read => sum += read,
        }
        if is_slow {
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(sum)
}
