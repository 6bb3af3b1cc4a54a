//! What chains cost, learned from runs and calls.

use cassiashunt_admit::{
    Usage,
    chain::{ChainCosts, RouteUse},
};
use cassiashunt_types::prelude::*;

fn name<T: std::str::FromStr>(name: &str) -> T {
    name.parse().ok().expect("a plain name")
}

fn at(millis: u64) -> Time {
    Time::from_millis(1_000 + millis)
}

fn cost_at(chains: &ChainCosts, route: &str, service: &str) -> f64 {
    let cost = chains.cost(name(route)).iter();
    cost.filter(|(it, _)| *it == name::<Service>(service))
        .map(|(_, slot_s)| slot_s)
        .sum()
}

fn told(route: &str, slot_s: f64, calls: &[(&str, f64)]) -> RouteUse {
    RouteUse {
        route: name(route),
        runs_per_s: 10.0,
        slot_s,
        calls: calls
            .iter()
            .map(|(route, count)| (name(route), *count))
            .collect(),
    }
}

#[test]
fn the_cost_of_a_chain_multiplies_along_its_calls() {
    // The users' schedule read: two lookups, each with an index read, each with four tin reads.
    let mut chains = ChainCosts::default();
    chains.on_report(
        at(0),
        "a",
        name("rota"),
        vec![told("read", 0.5, &[("payee", 2.0)])],
    );
    chains.on_report(
        at(0),
        "b",
        name("ledger"),
        vec![told("payee", 0.2, &[("index", 1.0)])],
    );
    chains.on_report(
        at(0),
        "c",
        name("archive"),
        vec![told("index", 0.2, &[("tins", 4.0)])],
    );
    chains.on_report(at(0), "d", name("stores"), vec![told("tins", 0.05, &[])]);
    chains.on_report(at(0), "e", name("stores"), vec![told("tins", 0.06, &[])]);
    chains.update(at(0));
    assert!((cost_at(&chains, "read", "stores") - 8.0 * 0.055).abs() < 1e-9);
    assert!((cost_at(&chains, "read", "ledger") - 0.4).abs() < 1e-9);
    assert!(chains.pace("d").expect("seen") < 1.0 && chains.pace("e").expect("seen") > 1.0);
    assert!(chains.cost(name("unseen")).is_empty());
}

#[test]
fn routes_that_call_each_other_end() {
    let mut chains = ChainCosts::default();
    chains.on_report(
        at(0),
        "a",
        name("one"),
        vec![told("ping", 0.1, &[("pong", 1.0)])],
    );
    chains.on_report(
        at(0),
        "b",
        name("two"),
        vec![told("pong", 0.1, &[("ping", 1.0)])],
    );
    chains.update(at(0));
    assert!(cost_at(&chains, "ping", "one").is_finite());
}

#[test]
fn words_of_owners_that_are_gone_are_forgotten() {
    let mut chains = ChainCosts::default();
    chains.on_report(at(0), "a", name("one"), vec![told("ping", 0.1, &[])]);
    chains.update(at(61_000));
    assert!(chains.cost(name("ping")).is_empty());
}

/// One server: downloads that call nobody beside index reads that call tins four times each.
fn usage(knows_runs: bool, breaks_off: bool) -> Vec<RouteUse> {
    let mut usage = Usage::default();
    let mut now = 0;
    usage.report(at(0));
    for step in 0..2_000_u64 {
        now = step * 10;
        // The mix changes, as it must for runs to be told apart.
        let is_index = step % (4 + (step / 150) % 9) != 0;
        let route: Route = name(if is_index { "index" } else { "download" });
        usage.on_start(at(now), route);
        let made = if breaks_off && step % 2 == 0 { 1 } else { 4 };
        let made = if is_index { made } else { 0 };
        for _ in 0..made {
            usage.on_call(at(now), name("tins"), knows_runs);
        }
        let is_whole = !is_index || made == 4;
        let calls: Vec<(Route, u32)> = if made > 0 && knows_runs {
            vec![(name("tins"), made)]
        } else {
            Vec::new()
        };
        usage.on_end(
            at(now + 5),
            route,
            Duration::from_millis(100),
            is_whole,
            &calls,
        );
    }
    usage.report(at(now))
}

fn calls_of(uses: &[RouteUse], route: &str) -> f64 {
    let told = uses
        .iter()
        .find(|it| it.route == name::<Route>(route))
        .expect("it ran");
    told.calls.iter().map(|(_, count)| count).sum()
}

#[test]
fn calls_are_counted_by_their_run_where_it_is_known() {
    let uses = usage(true, false);
    assert!(calls_of(&uses, "download") < 1e-9);
    assert!((calls_of(&uses, "index") - 4.0).abs() < 1e-9);
}

#[test]
fn calls_are_explained_by_runs_where_it_is_not() {
    let uses = usage(false, false);
    let index = calls_of(&uses, "index");
    assert!((index - 4.0).abs() < 0.5, "{index}");
}

/// hoasen-mesh, scale-2 --seed 646748687510: chains that broke made the next ones look cheap.
#[test]
fn broken_chains_do_not_make_a_chain_look_cheaper() {
    let uses = usage(true, true);
    assert!((calls_of(&uses, "index") - 4.0).abs() < 1e-9);
}

#[test]
fn costs_are_known_after_a_restart_until_owners_have_seen_runs_of_their_own() {
    let mut before = ChainCosts::default();
    before.on_report(
        at(0),
        "a",
        name("rota"),
        vec![told("read", 0.5, &[("tins", 8.0)])],
    );
    before.on_report(at(0), "b", name("stores"), vec![told("tins", 0.05, &[])]);
    let mut after = ChainCosts::default();
    after.restore(at(0), before.summary());
    after.update(at(0));
    assert!((cost_at(&after, "read", "stores") - 0.4).abs() < 1e-9);
    after.on_report(at(500), "b", name("stores"), vec![told("tins", 0.1, &[])]);
    after.update(at(500));
    let cost = cost_at(&after, "read", "stores");
    assert!(
        (cost - 0.8).abs() < 0.01,
        "what is seen outweighs memory: {cost}"
    );
}

#[test]
fn a_summary_is_the_same_after_its_way_through_the_store() {
    let mut chains = ChainCosts::default();
    chains.on_report(
        at(0),
        "a",
        name("rota"),
        vec![told("read", 0.5, &[("tins", 8.0)])],
    );
    let summary = chains.summary();
    let text = serde_json::to_string(&summary).expect("it has plain keys");
    assert_eq!(
        serde_json::from_str::<std::collections::BTreeMap<Service, Vec<RouteUse>>>(&text)
            .expect("it was written so"),
        summary
    );
}
