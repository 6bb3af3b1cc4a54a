//! One process that contains a crashing request by itself, without other nodes.
//! `cargo run -p cassiashunt-suspect --example suspect_embed`.

use std::time::Instant;

use cassiashunt_suspect::{Crash, Decision, Fingerprint, Suspects, suspects::Options};
use cassiashunt_types::prelude::*;

fn main() {
    let began = Instant::now();
    let clock = || Time::ZERO + began.elapsed();
    let mut suspects = Suspects::new(Options::default());
    let workspace: Workspace = "ward-7".parse().expect("a valid label");
    let route: Route = "sign-off".parse().expect("a valid label");
    let crasher = Fingerprint::of(workspace, route, 0xbad);
    let innocent = Fingerprint::of(workspace, route, 0x600d);
    let show = |suspects: &Suspects, what| {
        let decisions = [crasher, innocent].map(|it| suspects.check(clock(), it));
        println!(
            "{what}: crasher {:?}, innocent {:?}",
            decisions[0], decisions[1]
        );
    };
    let death = |number| Crash {
        owner: NodeId(1),
        number,
    };
    show(&suspects, "at first");
    suspects.on_server_crash(clock(), death(1), &[crasher, innocent]);
    show(&suspects, "a server died with both in flight");
    assert_eq!(suspects.check(clock(), innocent), Decision::RunAlone);
    suspects.on_finished(innocent, clock());
    show(&suspects, "the innocent one ran alone and finished");
    suspects.on_server_crash(clock(), death(2), &[crasher]);
    suspects.on_server_crash(clock(), death(3), &[crasher]);
    show(&suspects, "the crasher killed two more, alone");
    println!("for others: {:?}", suspects.next_update(clock()));
}
