//! A client that chooses among three servers and retries within a chain's allowance, without a
//! node. `cargo run -p cassiashunt-route --example route_embed`.

use std::time::Instant;

use cassiashunt_route::{
    Candidate, Chooser, Options, Outcome, ServerKey,
    retry::{Allowance, Budget, FailedAttempt, Lending, budget, may_retry},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// Simulates a call over the network; the connection to the first server is lost.
fn call(server: &Candidate, _retries_left: u32) -> Result<u32, Refusal> {
    match server.owner {
        NodeId(1) => Err(Refusal::not_run(Reason::Lost)),
        _ => Ok(0),
    }
}

fn main() {
    let started = Instant::now();
    let clock = || Time::ZERO + started.elapsed();
    let mut rng = Rng::new();
    let mut chooser = Chooser::new(Options::default());
    for owner in 1..=3 {
        chooser.add(
            clock(),
            Candidate {
                owner: NodeId(owner),
                domain: "ikeja".parse().expect("invalid label"),
                slots: 70,
                is_cold: false,
            },
        );
    }
    let mut budget = Budget::new(budget::Options::default());
    for number in 0..10 {
        let mut allowance = Allowance::new(3);
        let mut tried: Vec<ServerKey> = Vec::new();
        budget.on_first_try(clock());
        while let Some(key) = chooser.choose(clock(), &tried, &mut rng) {
            let server = *chooser
                .candidate(key)
                .expect("chosen server is not a candidate");
            let loan = allowance.lend(Lending::Half);
            let refusal = match call(&server, loan.tokens) {
                Ok(returned) => {
                    allowance.settle(loan.key, returned);
                    chooser.done(clock(), key, Outcome::Served);
                    println!("request {number}: served by {}", server.owner);
                    break;
                }
                Err(refusal) => refusal,
            };
            // The call did not run, so all of the lent tokens are returned.
            allowance.settle(loan.key, loan.tokens);
            chooser.done(clock(), key, Outcome::Failed);
            println!("request {number}: {refusal} from {}", server.owner);
            let failure = FailedAttempt {
                refusal,
                is_idempotent: true,
                retries: tried.len() as u32,
                remaining: Duration::from_secs(1),
                expected_duration: Duration::from_millis(20),
                has_other_server: true,
            };
            tried.push(key);
            if may_retry(clock(), &failure, &mut allowance, &mut budget, &mut rng).is_none() {
                println!("request {number}: given up");
                break;
            }
        }
    }
}
