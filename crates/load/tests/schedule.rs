//! Schedules depend on the seed and the file alone, and have the rates that were asked for.

mod common;

use cassiashunt_property::check;
use std::time::Duration;

use cassiashunt_load::{
    experiment::Arrivals,
    schedule::{Arrival, schedule},
};

#[test]
fn the_same_seed_gives_the_same_schedule_and_another_seed_another() {
    check(|u| {
        let seed = u.arbitrary()?;
        let experiment = common::experiment();
        assert_eq!(schedule(&experiment, seed), schedule(&experiment, seed));
        assert_ne!(
            schedule(&experiment, seed),
            schedule(&experiment, seed.wrapping_add(1))
        );
        Ok(())
    });
}

#[test]
fn arrivals_are_in_order_of_time_and_within_their_phase() {
    let experiment = common::experiment();
    let arrivals = schedule(&experiment, 7);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    let starts = experiment.phase_starts();
    for arrival in &arrivals {
        let seconds = experiment.phases[arrival.phase].seconds;
        let end = starts[arrival.phase] + Duration::from_secs_f64(seconds);
        assert!((starts[arrival.phase]..end).contains(&arrival.at));
    }
}

#[test]
fn each_workspace_sends_its_part_times_the_demand_and_its_own_surge() {
    for arrivals in [Arrivals::Poisson, Arrivals::Even] {
        let mut experiment = common::experiment();
        experiment.arrivals = arrivals;
        experiment.requests_per_second = 20_000.0;
        let schedule = schedule(&experiment, 11);
        let count = |phase, workspace| {
            let own = schedule
                .iter()
                .filter(|a| (a.phase, a.workspace) == (phase, workspace));
            f64::from(u32::try_from(own.count()).expect("the schedule is short"))
        };
        let expected = [[30_000.0, 10_000.0], [60_000.0, 40_000.0]];
        for (phase, row) in expected.iter().enumerate() {
            for (workspace, expected) in row.iter().enumerate() {
                let share = count(phase, workspace) / expected;
                assert!(
                    (share - 1.0).abs() < 0.05,
                    "{arrivals:?}: {share} of {expected}"
                );
            }
        }
    }
}

#[test]
fn a_change_to_one_phase_leaves_the_arrivals_of_the_other_be() {
    let before = schedule(&common::experiment(), 3);
    let mut changed = common::experiment();
    changed.phases[1].demand = 5.0;
    let after = schedule(&changed, 3);
    let first = |list: &[Arrival]| -> Vec<Arrival> {
        let first = list.iter().filter(|arrival| arrival.phase == 0);
        first.copied().collect()
    };
    assert_eq!(first(&before), first(&after));
    assert!(after.len() > before.len());
}
