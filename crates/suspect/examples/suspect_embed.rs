//! Contains a crashing request in one process, without other nodes:
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
    let harmless = Fingerprint::of(workspace, route, 0x600d);
    let show = |suspects: &Suspects, what| {
        let decisions = [crasher, harmless].map(|it| suspects.check(clock(), it));
        println!(
            "{what}: crasher {:?}, harmless request {:?}",
            decisions[0], decisions[1]
        );
    };
    let crash = |number| Crash {
        owner: NodeId(1),
        number,
    };
    show(&suspects, "initially");
    suspects.on_server_crash(clock(), crash(1), &[crasher, harmless]);
    show(&suspects, "a server crashed with both in flight");
    assert_eq!(suspects.check(clock(), harmless), Decision::RunAlone);
    suspects.on_finished(harmless, clock());
    show(&suspects, "the harmless request ran alone and finished");
    suspects.on_server_crash(clock(), crash(2), &[crasher]);
    suspects.on_server_crash(clock(), crash(3), &[crasher]);
    show(
        &suspects,
        "the crasher crashed two more servers while alone",
    );
    println!(
        "update for other nodes: {:?}",
        suspects.next_update(clock())
    );
}
