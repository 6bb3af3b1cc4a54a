//! What workspaces are entitled to.

use cassiashunt_property::check;
use std::time::Duration;

use cassiashunt_load::share::{conforming, fair};

fn near(a: &[f64], b: &[f64]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-9)
}

#[test]
fn requests_inside_the_rate_and_burst_conform_and_the_others_take_no_token() {
    let at = [0, 0, 0, 100, 150, 200].map(Duration::from_millis);
    let conforms = conforming(&at, 10.0, 2.0);
    assert_eq!(conforms, [true, true, false, true, false, true]);
}

#[test]
fn a_burst_does_not_grow_past_its_size() {
    let at = [0, 3_600_000, 3_600_000, 3_600_000].map(Duration::from_millis);
    assert_eq!(conforming(&at, 10.0, 2.0), [true, true, true, false]);
}

#[test]
fn what_one_leaves_is_dealt_out_among_the_others_by_weight() {
    assert!(near(
        &fair(&[1.0, 10.0, 10.0], &[1.0, 1.0, 1.0], 9.0),
        &[1.0, 4.0, 4.0]
    ));
    assert!(near(&fair(&[10.0, 10.0], &[2.0, 1.0], 9.0), &[6.0, 3.0]));
    assert!(near(&fair(&[1.0, 2.0], &[1.0, 1.0], 9.0), &[1.0, 2.0]));
}

#[test]
fn nobody_gets_more_than_its_demand_and_all_of_the_capacity_is_used_when_it_is_short() {
    check(|u| {
        let count = u.int_in_range(1..=8)?;
        let mut draw = || Ok(f64::from(u.int_in_range(1..=1_000_u32)?));
        let demands = (0..count).map(|_| draw()).collect::<Result<Vec<_>, _>>()?;
        let weights = (0..count).map(|_| draw()).collect::<Result<Vec<_>, _>>()?;
        let capacity = draw()?;
        let given = fair(&demands, &weights, capacity);
        assert!(
            given
                .iter()
                .zip(&demands)
                .all(|(given, demand)| *given <= demand + 1e-6)
        );
        let total: f64 = given.iter().sum();
        let demand: f64 = demands.iter().sum();
        assert!((total - demand.min(capacity)).abs() < 1e-6);
        Ok(())
    });
}
