//! Runs a home, its backup and a client in one program, without a node.
//!
//! `cargo run -p cassiashunt-once --example once_embed`

#[path = "../tests/support/pair.rs"]
mod pair;

use std::time::Duration;

use cassiashunt_once::{Decision, Key, Outcome, Request, issue};
use cassiashunt_types::{Epoch, Time};
use pair::{Pair, SHARD};

fn main() {
    let now = Time::from_millis(1);
    let mut pair = Pair::new(Default::default());
    pair.deliver_all(now);
    let workspace = "hoa-sen".parse().expect("valid workspace name");
    let text = issue(SHARD, Epoch(1), 4_711);
    let req = Request {
        key: Key::new(workspace, &text),
        fingerprint: 17,
        deadline: now + Duration::from_secs(2),
    };
    for sending in ["first", "again"] {
        let attempt = pair
            .client
            .begin(req)
            .expect("fewer attempts than max_attempts");
        pair.deliver_all(now);
        match pair.client.hand_over(now, attempt) {
            Decision::Run => {
                println!("{sending}: the server runs it");
                let answer = Outcome::Answered(b"deposit taken".as_slice().into());
                pair.client.finish(now, attempt, answer);
                pair.deliver_all(now);
            }
            Decision::Answered(bytes) => {
                println!("{sending}: stored {:?}", String::from_utf8_lossy(&bytes));
            }
            other => println!("{sending}: {other:?}"),
        }
    }
}
