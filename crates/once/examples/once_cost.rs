//! Measures messages, bytes, elapsed time and memory per request that runs at most once.
//!
//! `cargo run --release -p cassiashunt-once --example once_cost`

#[path = "../tests/support/pair.rs"]
mod pair;

use std::time::{Duration, Instant};

use cassiashunt_once::{Decision, Key, Outcome, Request, home::Options, issue};
use cassiashunt_types::{Epoch, Time};
use pair::{Pair, SHARD};

const REQUEST_COUNT: u32 = 40_000;
const ANSWER_SIZES_BYTES: [usize; 3] = [0, 200, 2_000];

fn main() {
    for answer_size in ANSWER_SIZES_BYTES {
        for needs_backup in [true, false] {
            measure(answer_size, needs_backup);
        }
    }
}

fn measure(answer_size: usize, needs_backup: bool) {
    let now = Time::from_millis(1);
    let options = Options {
        max_answer_bytes: usize::MAX,
        needs_backup,
        ..Options::default()
    };
    let mut pair = Pair::new(options);
    if !needs_backup {
        pair.remove_backup(options);
    }
    pair.deliver_all(now);
    (pair.messages, pair.bytes) = (0, 0);
    let answer = vec![0_u8; answer_size];
    let memory = resident_bytes();
    let began = Instant::now();
    for number in 0..REQUEST_COUNT {
        run(&mut pair, now, number, &answer);
    }
    let took = began.elapsed();
    let grown = resident_bytes().saturating_sub(memory);
    let each = f64::from(REQUEST_COUNT);
    println!(
        "answer {answer_size:>5} B, backup {needs_backup:>5}: {:.1} messages, {:.0} B, {:.1} us, {:.0} B of memory for each request",
        pair.messages as f64 / each,
        pair.bytes as f64 / each,
        took.as_secs_f64() * 1e6 / each,
        grown as f64 / each,
    );
}

fn run(pair: &mut Pair, now: Time, number: u32, answer: &[u8]) {
    let workspace = "hoa-sen".parse().expect("valid workspace name");
    let text = issue(SHARD, Epoch(1), number.into());
    let req = Request {
        key: Key::new(workspace, &text),
        fingerprint: number.into(),
        deadline: now + Duration::from_secs(2),
    };
    let attempt = pair
        .client
        .begin(req)
        .expect("fewer attempts than max_attempts");
    pair.deliver_all(now);
    assert_eq!(pair.client.hand_over(now, attempt), Decision::Run);
    pair.client
        .finish(now, attempt, Outcome::Answered(answer.into()));
    pair.deliver_all(now);
}

/// Resident memory of this process, from `/proc/self/statm`, in pages of 4 KiB.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * 4_096
}
