//! Embeds the admission of one backend server in a program, without a node.
//!
//! Run with `cargo run -p cassiashunt-admit --example admit_embed`.

use std::time::Instant;

use cassiashunt_admit::{Action, Admission, Job, Options, Priority};
use cassiashunt_types::prelude::*;

fn print_actions(actions: &[Action]) {
    for action in actions {
        match action {
            Action::Start(id) => println!("request {id}: send it to the server"),
            Action::Refuse(id, refusal) => println!("request {id}: answer {refusal}"),
        }
    }
}

fn main() {
    let began = Instant::now();
    let clock = || Time::ZERO + began.elapsed();
    let mut admission = Admission::new(
        clock(),
        Options {
            slots: 2,
            min_queue: 1,
            queue_share: 0.0,
            ..Options::default()
        },
    );
    for key in 1..=4 {
        let now = clock();
        let job = Job {
            key: RequestId(key),
            workspace: "ward-7".parse().expect("a valid label"),
            weight: 1,
            priority: if key == 4 {
                Priority::PROTECTED
            } else {
                Priority(100)
            },
            depth: 0,
            deadline: now + Duration::from_secs(1),
            route: "sign-off".parse().expect("a valid label"),
        };
        print_actions(&admission.offer(now, job));
    }
    println!("request 1 is done");
    print_actions(&admission.done(clock(), RequestId(1), Duration::from_millis(20), true));
    println!(
        "signal for the other nodes: {:?}",
        admission.signal(clock())
    );
    println!("the server is draining");
    print_actions(&admission.drain());
}
