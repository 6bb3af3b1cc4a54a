//! Simulated fleets of 5 to 1,026 nodes that aggregate sums along the tree, in virtual time.

mod simulation;

use cassiashunt_mesh::{SumTimes, TreePosition};
use cassiashunt_types::prelude::*;
use simulation::{Fault, Fleet};

const SIZES: [usize; 7] = [5, 14, 60, 85, 196, 300, 1_026];
/// The platform's bound on the control traffic of a node, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 6_000.0;

#[test]
fn every_node_knows_the_sums_of_all_within_a_second() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 1);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn a_change_of_demand_reaches_every_node_within_a_second() {
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 2);
        fleet.run(Duration::from_secs(2));
        fleet.set_demand(7.0);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn control_traffic_of_a_node_does_not_grow_with_the_fleet() {
    // The mean over all nodes, and the traffic of the node with the most, by size of the fleet.
    let mut maxima = Vec::new();
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
            mean <= MAX_CONTROL_BYTES_PER_S,
            "{size} nodes: {mean} bytes a second"
        );
        let highest = spent.into_iter().fold(0.0, f64::max);
        println!("{size} nodes: {mean:.0} bytes a second, {highest:.0} at most");
        maxima.push(highest);
    }
    // Whatever the size of the fleet, the first node of a cell serves only its cell, and the head of
    // a domain the first nodes of its cells.
    assert!(
        maxima[2] <= 2.0 * maxima[0],
        "{maxima:?} bytes a second at most"
    );
}

#[test]
fn sums_are_accurate_again_within_a_second_after_lost_heads_are_detected() {
    for (seed, size) in [(4, 14), (5, 196), (6, 1_026)] {
        let mut fleet = Fleet::new(size, 5, seed);
        fleet.run(Duration::from_secs(2));
        let heads = fleet.heads();
        assert_eq!(heads.len(), 5, "one head per failure domain: {heads:?}");
        for head in &heads {
            fleet.set(head, Fault::Dead);
        }
        // The time until the links count as lost, and one second more.
        fleet.run(fleet.loss_timeout() + Duration::from_secs(1));
        assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new(), "{size} nodes");
    }
}

#[test]
fn a_head_that_resumes_after_a_pause_causes_double_counting_only_briefly() {
    let mut fleet = Fleet::new(196, 5, 7);
    fleet.run(Duration::from_secs(2));
    let head = fleet.heads().remove(0);
    fleet.set(&head, Fault::Paused);
    fleet.run(Duration::from_secs(5));
    fleet.set(&head, Fault::None);
    let mut highest: f64 = 0.0;
    for _ in 0..30 {
        fleet.run(Duration::from_millis(100));
        highest = highest.max(fleet.highest_ratio_to_true());
    }
    // Its failure domain may be counted at both heads while the older report is valid.
    assert!(
        highest <= 1.0 + 1.0 / 5.0 + 0.05,
        "{highest} of the true sum"
    );
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new());
    assert_eq!(fleet.heads().len(), 5);
}

#[test]
fn nodes_that_disagree_on_reachability_never_feed_a_sum_back_into_itself() {
    for seed in 10..20 {
        let mut fleet = Fleet::new(60, 3, seed);
        fleet.run(Duration::from_secs(1));
        // A third of the ordered pairs of nodes lose their messages, so some links fail in one direction
        // only.
        fleet.cut_pairs(0.33);
        for _ in 0..50 {
            fleet.run(Duration::from_millis(200));
            let highest = fleet.highest_ratio_to_true();
            // The members of a node that changes its parent are briefly counted at both parents, and
            // forwarded sums reach a head on several paths, but no sum is added to itself.
            assert!(highest <= 2.5, "seed {seed}: {highest} of the true sum");
        }
        fleet.restore_links();
        fleet.run(fleet.loss_timeout() + Duration::from_secs(4));
        assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_partitioned_failure_domain_keeps_its_own_sums_and_rejoins_within_seconds() {
    let mut fleet = Fleet::new(196, 5, 21);
    fleet.run(Duration::from_secs(2));
    fleet.cut_domain(0);
    fleet.run(fleet.loss_timeout() + Duration::from_secs(1));
    for name in fleet.names_of(0) {
        assert_eq!(fleet.nodes_known(&name), 40, "{name}");
    }
    for name in fleet.names_of(1) {
        assert_eq!(fleet.nodes_known(&name), 156, "{name}");
    }
    fleet.restore_links();
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.inaccurate(0.01), Vec::<String>::new());
}

#[test]
fn message_loss_does_not_make_sums_inaccurate() {
    let mut fleet = Fleet::new(196, 5, 22);
    fleet.set_loss(0.05);
    fleet.run(Duration::from_secs(3));
    let mut inaccurate = 0;
    for _ in 0..50 {
        fleet.run(Duration::from_millis(100));
        inaccurate += fleet.inaccurate(0.1).len();
    }
    // On average, a node is off by more than a tenth in less than one of fifty checks.
    assert!(inaccurate < 196, "{inaccurate} of {} checks", 50 * 196);
}

#[test]
fn proofs_are_recent_enough_at_every_node() {
    // The platform's bound on withdrawn keys is 5 s. A head queries the store at least every 1.7 s,
    // jitter included.
    let bound = Duration::from_secs(5);
    let prove_interval = Duration::from_millis(1_700);
    for size in SIZES {
        let mut fleet = Fleet::new(size, 5, 8);
        fleet.run(Duration::from_secs(2));
        let hops = fleet.depth();
        let age = prove_interval
            + u32::try_from(hops).expect("hops fit in u32") * SumTimes::default().max_age();
        assert!(age < bound, "{size} nodes: {hops} hops, {age:?}");
    }
}

#[test]
fn a_single_node_is_the_head() {
    let fleet = Fleet::new(1, 1, 9);
    assert_eq!(fleet.position(0), TreePosition::Head(Vec::new()));
}
