//! Measures how many servers a crashing request takes with it in 20 s, for each way to contain
//! it. Virtual time; `cargo run -p cassiashunt-suspect --example containment`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Containment, Scene, check, run};

/// Seeds that each figure is taken over.
const SEEDS: u64 = 100;

fn measure(name: &str, containment: Containment, node_loss: f64, is_cut: bool) {
    let (mut deaths, mut most, mut unwarned, mut served, mut broken) = (0, 0, 0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(Scene {
            seed,
            containment,
            nodes: 8,
            crash_callers: 3,
            innocents: 30,
            loss: 0.1,
            node_loss,
            is_cut,
        });
        let lost = history.deaths().count();
        deaths += lost;
        most = most.max(lost);
        unwarned += history.deaths().filter(|run| !run.is_permitted).count();
        served += history.innocents_served;
        broken += u32::from(check(&history, if is_cut { 2 } else { 1 }).is_err());
    }
    let mean = |n: usize| n as f64 / SEEDS as f64;
    println!(
        "{name:36}{:>8.2}{most:>6}{:>11.2}{:>14.0}{broken:>9}",
        mean(deaths),
        mean(unwarned),
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
