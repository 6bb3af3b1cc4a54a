//! Measures the retry amplification in a chain of depth 6 and fan-out 2 with failing leaves, for
//! each strategy to bound retries. Virtual time; `cargo run --release -p cassiashunt-route
//! --example amplification`.

#[path = "../tests/chain/mod.rs"]
mod chain;

use cassiashunt_route::retry::Lending;
use chain::{Bound, Scenario, check, run};

/// The number of seeds that each result is summed over.
const SEED_COUNT: u64 = 20;
/// The number of leaves of a chain of depth 6 and fan-out 2.
const LEAF_COUNT: f64 = 32.0;

struct Strategy {
    name: &'static str,
    bound: Bound,
    budget: Option<f64>,
}

struct Outcome {
    /// Leaf attempts per leaf and chain.
    amplification: f64,
    /// The fraction of chains that succeeded.
    completed_fraction: f64,
    /// Whether every chain made at most three retries.
    keeps_bound_of_three: bool,
}

fn strategy(name: &'static str, bound: Bound, budget: Option<f64>) -> Strategy {
    Strategy {
        name,
        bound,
        budget,
    }
}

fn measure(strategy: &Strategy, leaf_failure: f64) -> Outcome {
    let (mut leaves, mut succeeded, mut chains) = (0, 0, 0);
    let mut keeps_bound_of_three = true;
    for seed in 0..SEED_COUNT {
        let scenario = Scenario {
            seed,
            bound: strategy.bound,
            budget: strategy.budget,
            chains: 20,
            resends: 0,
            leaf_failure,
            loss: 0.0,
            kills: 0,
            ..Scenario::default()
        };
        let history = run(scenario);
        leaves += history
            .attempts
            .iter()
            .filter(|attempt| attempt.is_leaf)
            .count();
        succeeded += history.succeeded;
        chains += history.succeeded + history.failed;
        keeps_bound_of_three &= check(&history.attempts, 3).is_ok();
    }
    Outcome {
        amplification: leaves as f64 / LEAF_COUNT / chains as f64,
        completed_fraction: succeeded as f64 / chains as f64,
        keeps_bound_of_three,
    }
}

fn main() {
    let strategies = [
        strategy("no retries", Bound::None, None),
        strategy("2 retries at each hop", Bound::EachHop(2), None),
        strategy("2 at each hop, 10% budget", Bound::EachHop(2), Some(0.1)),
        strategy("3 copied to each child", Bound::Copied(3), None),
        strategy(
            "3 split, lends nothing",
            Bound::Split(3, Lending::Nothing),
            None,
        ),
        strategy("3 split, lends all", Bound::Split(3, Lending::All), None),
        strategy("3 split, lends half", Bound::Split(3, Lending::Half), None),
        strategy(
            "3 split, half, 10% budget",
            Bound::Split(3, Lending::Half),
            Some(0.1),
        ),
        strategy("8 split, lends half", Bound::Split(8, Lending::Half), None),
        strategy("3 in one ideal store", Bound::Shared(3), None),
    ];
    println!(
        "{:32}{:>8}{:>8}{:>8}   <=3 retries",
        "way", "failing", "leaf x", "whole"
    );
    for strategy in &strategies {
        for leaf_failure in [0.01, 0.1, 1.0] {
            let outcome = measure(strategy, leaf_failure);
            println!(
                "{:32}{:>7.0}%{:>8.2}{:>7.1}%   {}",
                strategy.name,
                leaf_failure * 100.0,
                outcome.amplification,
                outcome.completed_fraction * 100.0,
                outcome.keeps_bound_of_three,
            );
        }
    }
}
