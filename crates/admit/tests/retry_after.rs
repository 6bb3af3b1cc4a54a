//! Clients refused together.

use cassiashunt_admit::jittered_retry_after;
use cassiashunt_types::prelude::*;
use fastrand::Rng;

#[test]
fn a_time_to_come_back_lies_within_a_third_of_what_is_left_and_leaves_time_for_the_work() {
    let mut rng = Rng::with_seed(1);
    for left_ms in [600, 1_200, 2_500, 5_000, 6_000] {
        let left = Duration::from_millis(left_ms);
        let told = jittered_retry_after(left, &mut rng);
        assert!(
            told <= left / 3 && told >= Duration::from_millis(100),
            "{told:?} of {left:?}"
        );
    }
}

/// lsprma-mesh, scale-2: 100 requests refused in the same moment of a surge.
#[test]
fn clients_refused_together_come_back_spread_out() {
    let mut rng = Rng::with_seed(1);
    let left = Duration::from_secs(5);
    let mut told: Vec<_> = (0..100)
        .map(|_| jittered_retry_after(left, &mut rng))
        .collect();
    told.sort_unstable();
    let most = told
        .windows(20)
        .map(|it| it[19] - it[0])
        .min()
        .expect("there are 100");
    assert!(
        most > Duration::from_millis(40),
        "20 of 100 come back within {most:?}"
    );
}
