//! The subset of a service's owners that a node keeps connections to.

use std::collections::{HashMap, HashSet};

use cassiashunt_mesh::{SUBSET_SIZE, SubsetWidth, subset};
use cassiashunt_types::prelude::*;

fn fleet(size: usize) -> Vec<(String, FailureDomain)> {
    let domain = |at: usize| format!("domain-{}", at % 5).parse().expect("a valid name");
    (0..size)
        .map(|at| (format!("node-{at}"), domain(at)))
        .collect()
}

#[test]
fn a_node_connects_to_all_owners_if_there_are_few() {
    let owners = fleet(SUBSET_SIZE);
    let (own, domain) = owners[0].clone();
    assert_eq!(subset(&own, domain, owners, 1).len(), SUBSET_SIZE);
}

#[test]
fn the_number_of_connections_is_bounded_and_they_spread_over_the_owners() {
    for size in [60, 98, 196, 500, 1_026] {
        let nodes = fleet(size);
        let owners: Vec<_> = nodes.iter().take(size / 2).cloned().collect();
        let mut chosen: HashMap<String, usize> = HashMap::new();
        for (name, domain) in &nodes {
            let own = subset(name, *domain, owners.clone(), 1);
            assert_eq!(own.len(), SUBSET_SIZE.min(owners.len()), "{size} nodes");
            assert_eq!(own.iter().collect::<HashSet<_>>().len(), own.len());
            own.into_iter()
                .for_each(|it| *chosen.entry(it).or_default() += 1);
        }
        let mean = chosen.values().sum::<usize>() as f64 / owners.len() as f64;
        let max_chosen = chosen.values().copied().max().expect("owners were chosen") as f64;
        assert_eq!(chosen.len(), owners.len(), "every owner is in a subset");
        assert!(
            max_chosen <= 1.5 * mean,
            "{size} nodes: {max_chosen} of {mean}"
        );
    }
}

#[test]
fn an_owner_that_leaves_changes_at_most_one_connection() {
    let nodes = fleet(196);
    let (own, domain) = nodes[3].clone();
    let before: HashSet<_> = subset(&own, domain, nodes.clone(), 1).into_iter().collect();
    let fewer = nodes.iter().filter(|(name, _)| name != "node-50").cloned();
    let after: HashSet<_> = subset(&own, domain, fewer.collect(), 1)
        .into_iter()
        .collect();
    assert!(before.difference(&after).count() <= 1);
}

#[test]
fn a_subset_that_is_full_while_the_service_has_free_slots_is_widened_and_later_narrowed() {
    let mut width = SubsetWidth::default();
    let at = |secs: u64| Time::from_millis(100_000 + 1_000 * secs);
    assert!(
        !width.step(at(0), Some(0.95), 0.9),
        "the whole service is as full"
    );
    assert!(
        !width.step(at(1), Some(0.5), 0.1),
        "the subset has free slots"
    );
    assert!(
        !width.step(at(2), Some(0.95), 0.6),
        "new links may still be opening"
    );
    assert!(width.step(at(3), Some(0.95), 0.6));
    assert_eq!(width.factor(), 2);
    assert!(
        width.step(at(4), None, 0.6),
        "no owner in the subset serves"
    );
    assert_eq!(width.factor(), 4);
    assert!(!width.step(at(6), Some(0.6), 0.6));
    assert!(width.step(at(15), Some(0.6), 0.6));
    assert_eq!(width.factor(), 2);
}
