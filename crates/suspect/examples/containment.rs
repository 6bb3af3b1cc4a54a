//! Measures how many servers a crashing request crashes in 20 s of virtual time, for each
//! containment mechanism: `cargo run -p cassiashunt-suspect --example containment`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Containment, Scenario, check, run};

/// Number of seeds per measurement.
const SEEDS: u64 = 100;

fn measure(name: &str, containment: Containment, node_loss_ratio: f64, is_partitioned: bool) {
    let (mut lost_servers, mut max_lost, mut unpermitted, mut served, mut bound_violations) =
        (0, 0, 0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(Scenario {
            seed,
            containment,
            nodes: 8,
            crasher_callers: 3,
            harmless_requests: 30,
            message_loss_ratio: 0.1,
            node_loss_ratio,
            is_partitioned,
        });
        let lost = history.crashes().count();
        lost_servers += lost;
        max_lost = max_lost.max(lost);
        unpermitted += history.crashes().filter(|run| !run.is_permitted).count();
        served += history.harmless_served;
        bound_violations += u32::from(check(&history, if is_partitioned { 2 } else { 1 }).is_err());
    }
    let mean = |n: usize| n as f64 / SEEDS as f64;
    println!(
        "{name:36}{:>8.2}{max_lost:>6}{:>11.2}{:>14.0}{bound_violations:>9}",
        mean(lost_servers),
        mean(unpermitted),
        mean(served as usize),
    );
}

fn main() {
    println!(
        "{:36}{:>8}{:>6}{:>11}{:>14}{:>9}",
        "way", "lost", "most", "unwarned", "innocents ok", "broken"
    );
    measure("nothing", Containment::Nothing, 0.0, false);
    measure(
        "strikes, each owner decides",
        Containment::NoPermits,
        0.0,
        false,
    );
    measure("strikes and permits", Containment::Permits, 0.0, false);
    measure("nothing, nodes lost too", Containment::Nothing, 1.0, false);
    measure(
        "each owner decides, nodes lost too",
        Containment::NoPermits,
        1.0,
        false,
    );
    measure("permits, nodes lost too", Containment::Permits, 1.0, false);
    measure("permits, fleet cut in two", Containment::Permits, 0.0, true);
}
