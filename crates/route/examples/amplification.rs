//! Measures how retries multiply along a chain of depth 6 and fan-out 2 with failing leaves, for
//! each way to bound them. Virtual time; `cargo run --release -p cassiashunt-route --example
//! amplification`.

#[path = "../tests/chain/mod.rs"]
mod chain;

use cassiashunt_route::retry::Lending;
use chain::{Bound, Scene, check, run};

/// Seeds that each figure is summed over.
const SEEDS: u64 = 20;
/// Leaves of a chain of depth 6 and fan-out 2.
const LEAVES: f64 = 32.0;

struct Way {
    name: &'static str,
    bound: Bound,
    budget: Option<f64>,
}

struct Outcome {
    /// Attempts at leaves for each leaf and chain.
    amplification: f64,
    /// Chains that succeeded, of those begun.
    whole: f64,
    has_kept_three: bool,
}

fn way(name: &'static str, bound: Bound, budget: Option<f64>) -> Way {
    Way {
        name,
        bound,
        budget,
    }
}

fn measure(way: &Way, leaf_failure: f64) -> Outcome {
    let (mut leaves, mut succeeded, mut chains) = (0, 0, 0);
    let mut has_kept_three = true;
    for seed in 0..SEEDS {
        let scene = Scene {
            seed,
            bound: way.bound,
            budget: way.budget,
            chains: 20,
            resends: 0,
            leaf_failure,
            loss: 0.0,
            kills: 0,
            ..Scene::default()
        };
        let history = run(scene);
        leaves += history.attempts.iter().filter(|it| it.is_leaf).count();
        succeeded += history.succeeded;
        chains += history.succeeded + history.failed;
        has_kept_three &= check(&history.attempts, 3).is_ok();
    }
    Outcome {
        amplification: leaves as f64 / LEAVES / chains as f64,
        whole: succeeded as f64 / chains as f64,
        has_kept_three,
    }
}

fn main() {
    let ways = [
        way("no retries", Bound::None, None),
        way("2 retries at each hop", Bound::EachHop(2), None),
        way("2 at each hop, 10% budget", Bound::EachHop(2), Some(0.1)),
        way("3 copied to each child", Bound::Copied(3), None),
        way(
            "3 split, lends nothing",
            Bound::Split(3, Lending::Nothing),
            None,
        ),
        way("3 split, lends all", Bound::Split(3, Lending::All), None),
        way("3 split, lends half", Bound::Split(3, Lending::Half), None),
        way(
            "3 split, half, 10% budget",
            Bound::Split(3, Lending::Half),
            Some(0.1),
        ),
        way("8 split, lends half", Bound::Split(8, Lending::Half), None),
        way("3 in one ideal store", Bound::Shared(3), None),
    ];
    println!(
        "{:32}{:>8}{:>8}{:>8}   <=3 retries",
        "way", "failing", "leaf x", "whole"
    );
    for way in &ways {
        for leaf_failure in [0.01, 0.1, 1.0] {
            let out = measure(way, leaf_failure);
            println!(
                "{:32}{:>7.0}%{:>8.2}{:>7.1}%   {}",
                way.name,
                leaf_failure * 100.0,
                out.amplification,
                out.whole * 100.0,
                out.has_kept_three,
            );
        }
    }
}
