//! The decision on a single retry.

use cassiashunt_property::check;
use cassiashunt_route::retry::{
    Allowance, Budget, FailedAttempt, Lending, Retry, budget, may_retry,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

fn failure(refusal: Refusal) -> FailedAttempt {
    FailedAttempt {
        refusal,
        is_idempotent: false,
        retries: 0,
        remaining: Duration::from_secs(1),
        expected_duration: Duration::from_millis(20),
        has_other_server: true,
    }
}

fn decide(failure: &FailedAttempt, tokens: u32) -> Option<Retry> {
    let mut allowance = Allowance::new(tokens);
    let mut budget = Budget::new(budget::Options::default());
    may_retry(
        Time::ZERO,
        failure,
        &mut allowance,
        &mut budget,
        &mut Rng::with_seed(1),
    )
}

#[test]
fn a_call_that_may_have_run_is_retried_only_if_idempotent() {
    let lost = failure(Refusal::may_have_run(Reason::Lost));
    let idempotent = FailedAttempt {
        is_idempotent: true,
        ..lost
    };
    assert_eq!(decide(&lost, 1), None);
    assert!(decide(&idempotent, 1).is_some());
    assert!(decide(&failure(Refusal::not_run(Reason::Lost)), 1).is_some());
}

#[test]
fn no_retry_without_allowance_or_time_or_a_retryable_reason() {
    let shed = failure(Refusal::not_run(Reason::Shed));
    let late = FailedAttempt {
        remaining: shed.expected_duration,
        ..shed
    };
    assert!(decide(&shed, 1).is_some());
    assert_eq!(decide(&shed, 0), None);
    assert_eq!(decide(&late, 1), None);
    assert_eq!(decide(&failure(Refusal::not_run(Reason::BadKey)), 1), None);
    assert_eq!(decide(&failure(Refusal::not_run(Reason::Suspect)), 1), None);
}

#[test]
fn a_retry_at_the_only_server_waits_for_its_retry_after_delay() {
    let delay = Duration::from_millis(200);
    let shed = failure(Refusal::not_run(Reason::Shed).retry_after(delay));
    let only = FailedAttempt {
        has_other_server: false,
        ..shed
    };
    assert!(
        decide(&shed, 1)
            .expect("no retry although another server is available")
            .wait
            < delay
    );
    assert!(
        decide(&only, 1)
            .expect("no retry although time remains")
            .wait
            >= delay
    );
}

#[test]
fn retries_are_limited_to_a_fraction_of_recent_first_tries() {
    let mut budget = Budget::new(budget::Options::default());
    (0..1_000).for_each(|_| budget.on_first_try(Time::ZERO));
    let mut retries = 0;
    while budget.allows_retry(Time::ZERO) {
        budget.on_retry(Time::ZERO);
        retries += 1;
    }
    assert_eq!(retries, 103);
    let later = Time::ZERO + budget::Options::default().window;
    assert!(budget.allows_retry(later));
}

#[test]
fn no_order_of_lending_settling_and_spending_creates_tokens() {
    check(|u| {
        let given = u.int_in_range(0..=20)?;
        let mut allowance = Allowance::new(given);
        let (mut loans, mut spent) = (Vec::new(), 0);
        while !u.is_empty() {
            match u.int_in_range(0..=3)? {
                0 => loans.push(allowance.lend(Lending::Half)),
                1 => spent += u32::from(allowance.spend()),
                2 if !loans.is_empty() => {
                    let loan = u.choose(&loans)?;
                    allowance.settle(loan.key, u.int_in_range(0..=30)?);
                }
                _ if !loans.is_empty() => allowance.write_off(u.choose(&loans)?.key),
                _ => {}
            }
            assert!(allowance.remaining() + spent <= given);
        }
        Ok(())
    });
}
