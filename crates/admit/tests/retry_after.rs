//! The spread of the retry-after delays of clients that are refused together.

use cassiashunt_admit::jittered_retry_after;
use cassiashunt_types::prelude::*;
use fastrand::Rng;

#[test]
fn delays_are_at_least_100_ms_and_at_most_a_third_of_the_remaining_time() {
    let mut rng = Rng::with_seed(1);
    for left_ms in [600, 1_200, 2_500, 5_000, 6_000] {
        let left = Duration::from_millis(left_ms);
        let delay = jittered_retry_after(left, &mut rng);
        assert!(
            delay <= left / 3 && delay >= Duration::from_millis(100),
            "delay {delay:?} with {left:?} left"
        );
    }
}

/// Guards against synchronized retries: 100 requests are refused in the same moment of a surge
/// (seen with lsprma-mesh in scale-2).
#[test]
fn delays_of_clients_refused_together_are_spread() {
    let mut rng = Rng::with_seed(1);
    let left = Duration::from_secs(5);
    let mut delays: Vec<_> = (0..100)
        .map(|_| jittered_retry_after(left, &mut rng))
        .collect();
    delays.sort_unstable();
    let shortest = delays
        .windows(20)
        .map(|it| it[19] - it[0])
        .min()
        .expect("100 delays have windows of 20");
    assert!(
        shortest > Duration::from_millis(40),
        "20 of 100 clients retry within {shortest:?}"
    );
}
