//! Fleets of 5 to 1,026 nodes that tell each other sums through the tree, in virtual time.

mod replay;

use cassiashunt_mesh::{SumTimes, TreePosition};
use cassiashunt_types::prelude::*;
use replay::{Fault, Fleet};

const SIZES: [usize; 7] = [5, 14, 60, 85, 196, 300, 1_026];
/// The users' bound on control of a node.
const BYTES_A_SECOND: f64 = 6_000.0;

#[test]
fn every_node_knows_the_sums_of_all_within_a_second() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 1);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.wrong(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn a_change_of_demand_reaches_every_node_within_a_second() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 2);
        fleet.run(Duration::from_secs(2));
        fleet.set_demand(7.0);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.wrong(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn what_a_node_says_and_hears_does_not_grow_with_the_fleet() {
    // In three failure domains and five: the most members that a head has, and what it costs.
    let mut most = Vec::new();
    for size in [196, 300, 1_026] {
        let mut fleet = Fleet::new(size, 5, 3);
        fleet.run(Duration::from_secs(2));
        let before = fleet.bytes();
        fleet.run(Duration::from_secs(5));
        let spent: Vec<f64> = fleet
            .bytes()
            .iter()
            .zip(before)
            .map(|(after, before)| (after - before) / 5.0)
            .collect();
        let mean = spent.iter().sum::<f64>() / spent.len() as f64;
        assert!(
            mean <= BYTES_A_SECOND,
            "{size} nodes: {mean} bytes a second"
        );
        let highest = spent.into_iter().fold(0.0, f64::max);
        println!("{size} nodes: {mean:.0} bytes a second, {highest:.0} at most");
        most.push(highest);
    }
    // A head bears a cell, whatever the size of the fleet, and the first of a domain its cells.
    assert!(most[2] <= 2.0 * most[0], "{most:?} bytes a second at most");
}

#[test]
fn sums_are_right_again_soon_after_heads_are_lost() {
    for (seed, size) in [(4, 14), (5, 196), (6, 1_026)] {
        let mut fleet = Fleet::new(size, 5, seed);
        fleet.run(Duration::from_secs(2));
        let heads = fleet.heads();
        assert_eq!(heads.len(), 5, "one head a failure domain: {heads:?}");
        for head in &heads {
            fleet.set(head, Fault::Dead);
        }
        // The silence of a link, and then a second.
        fleet.run(fleet.silence() + Duration::from_secs(1));
        assert_eq!(fleet.wrong(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn a_head_that_was_paused_and_is_back_counts_nobody_twice_for_long() {
    let mut fleet = Fleet::new(196, 5, 7);
    fleet.run(Duration::from_secs(2));
    let head = fleet.heads().remove(0);
    fleet.set(&head, Fault::Paused);
    fleet.run(Duration::from_secs(5));
    fleet.set(&head, Fault::None);
    let mut highest: f64 = 0.0;
    for _ in 0..30 {
        fleet.run(Duration::from_millis(100));
        highest = highest.max(fleet.highest_over_true());
    }
    // Its failure domain may count at both heads for the time that a word counts.
    assert!(
        highest <= 1.0 + 1.0 / 5.0 + 0.05,
        "{highest} of the true sum"
    );
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.wrong(0.01), Vec::<String>::new());
    assert_eq!(fleet.heads().len(), 5);
}

#[test]
fn nodes_that_disagree_on_who_is_reached_never_add_a_sum_to_itself() {
    for seed in 10..20 {
        let mut fleet = Fleet::new(60, 3, seed);
        fleet.run(Duration::from_secs(1));
        // A third of all pairs can't reach each other, either way or one way.
        fleet.cut_pairs(0.33);
        for _ in 0..50 {
            fleet.run(Duration::from_millis(200));
            let highest = fleet.highest_over_true();
            // Members of a node that changes its parent count at both for a moment, and passed on
            // sums reach a head on several ways, but no sum feeds itself.
            assert!(highest <= 2.5, "seed {seed}: {highest} of the true sum");
        }
        fleet.heal();
        fleet.run(fleet.silence() + Duration::from_secs(4));
        assert_eq!(fleet.wrong(0.01), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_failure_domain_that_is_cut_off_goes_on_with_its_own_sums_and_is_back_within_seconds() {
    let mut fleet = Fleet::new(196, 5, 21);
    fleet.run(Duration::from_secs(2));
    fleet.cut_domain(0);
    fleet.run(fleet.silence() + Duration::from_secs(1));
    for name in fleet.names_of(0) {
        assert_eq!(fleet.nodes_known(&name), 40, "{name}");
    }
    for name in fleet.names_of(1) {
        assert_eq!(fleet.nodes_known(&name), 156, "{name}");
    }
    fleet.heal();
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.wrong(0.01), Vec::<String>::new());
}

#[test]
fn lost_words_do_not_unsettle_sums() {
    let mut fleet = Fleet::new(196, 5, 22);
    fleet.lose(0.05);
    fleet.run(Duration::from_secs(3));
    let mut wrong = 0;
    for _ in 0..50 {
        fleet.run(Duration::from_millis(100));
        wrong += fleet.wrong(0.1).len();
    }
    // A node is off by a tenth in less than one of fifty looks.
    assert!(wrong < 196, "{wrong} of {} looks", 50 * 196);
}

#[test]
fn proofs_are_young_enough_at_every_node() {
    // The users' bound on withdrawn keys is 5 s; a head asks the store every 1.7 s at the most, with
    // its jitter.
    let bound = Duration::from_secs(5);
    let prover = Duration::from_millis(1_700);
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 8);
        fleet.run(Duration::from_secs(2));
        let hops = fleet.depth();
        let age = prover + u32::try_from(hops).expect("few") * SumTimes::default().max_age();
        assert!(age < bound, "{size} nodes: {hops} hops, {age:?}");
    }
}

#[test]
fn a_node_that_is_alone_is_its_own_head() {
    let fleet = Fleet::new(1, 1, 9);
    assert_eq!(fleet.station(0), TreePosition::Head(Vec::new()));
}
