//! P5: after its withdrawal was accepted, a key stops working within the freshness bound, also for
//! callers that are connected.

mod support;

use std::time::Duration;

use cassiashunt_control::ClaimOptions;
use cassiashunt_types::{Epoch, Revision, Time};
use support::{
    Fault, FaultKind, NODES, NODES_PER_DOMAIN, Plan,
    history::{Accepted, History, HolderAction, Run, check_succession, check_withdrawals},
    random_faults, run,
};

/// The freshness bound of 2 s, measured on a clock that is 1% slow.
const FRESHNESS_BOUND: Duration = Duration::from_micros(2_000_000 * 100 / 99 + 1);
/// The time in which a report reaches every node by gossip.
const GOSSIP_SPREAD: Duration = Duration::from_millis(1_500);

fn fault(at_millis: u64, kind: FaultKind) -> Fault {
    Fault {
        at: Time::from_millis(at_millis),
        kind,
    }
}

fn lossy_plan(seed: u64) -> Plan {
    Plan {
        seed,
        loss_percent: 5,
        late_percent: 3,
        skewed_clocks: true,
        ..Plan::default()
    }
}

fn check(plan: Plan, bound: Duration) -> History {
    let seed = plan.seed;
    let faults = plan.faults.clone();
    let history = run(plan);
    if let Err(late) = check_withdrawals(&history, bound) {
        panic!("seed {seed}: {late:?} under {faults:#?}");
    }
    let validity = ClaimOptions::default().validity;
    if let Err(overlap) = check_succession(&history.holder_actions, validity) {
        panic!("seed {seed}: {overlap:?} under {faults:#?}");
    }
    history
}

fn runs_between(history: &History, from: u64, to: u64) -> usize {
    let range = Time::from_millis(from)..Time::from_millis(to);
    history
        .runs
        .iter()
        .filter(|run| range.contains(&run.at))
        .count()
}

fn side_of(domain: usize) -> Vec<bool> {
    (0..NODES)
        .map(|node| node / NODES_PER_DOMAIN == domain)
        .collect()
}

#[test]
fn p05_no_run_begins_after_the_bound_under_random_faults() {
    let mut accepted = 0;
    let mut holder_actions = 0;
    let mut runs = 0;
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xca55);
        let plan = lossy_plan(seed);
        let faults = random_faults(&mut rng, plan.span);
        let history = check(Plan { faults, ..plan }, FRESHNESS_BOUND);
        accepted += history.accepted.len();
        holder_actions += history.holder_actions.len();
        runs += history.runs.len();
    }
    println!("{accepted} accepted, {holder_actions} holder actions, {runs} runs");
    assert!(accepted > 300 && holder_actions > 10_000 && runs > 500_000);
}

#[test]
fn p05_no_run_begins_after_the_bound_when_the_platform_fails_just_after_the_withdrawal() {
    for seed in 0..30 {
        let faults = vec![
            fault(4_000, FaultKind::Withdraw(1)),
            fault(4_030, FaultKind::Outage(Duration::from_secs(9))),
            fault(
                4_030,
                FaultKind::Partition(side_of(1), [false, false], Duration::from_secs(7)),
            ),
        ];
        check(
            Plan {
                faults,
                ..lossy_plan(seed)
            },
            FRESHNESS_BOUND,
        );
    }
}

#[test]
fn p05_no_run_begins_after_the_bound_at_an_ingress_that_is_partitioned_or_paused() {
    for seed in 0..30 {
        let sides: Vec<bool> = (0..NODES).map(|node| node == 7).collect();
        let faults = vec![
            fault(
                3_990,
                FaultKind::Partition(sides, [true, false], Duration::from_secs(6)),
            ),
            fault(3_990, FaultKind::Pause(11, Duration::from_secs(5))),
            fault(4_000, FaultKind::Withdraw(0)),
        ];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        assert_eq!(history.accepted.len(), 1, "seed {seed}");
    }
}

#[test]
fn p05_no_run_begins_after_the_bound_while_relays_are_replaced_and_killed() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = Vec::new();
        for round in 0..6 {
            let at = 2_000 + round * 2_000 + rng.u64(0..500);
            let node = rng.usize(0..NODES);
            let into = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN + rng.usize(0..4);
            faults.push(fault(at, FaultKind::ReplaceAt(node, rng.usize(0..3), into)));
            let sides = (0..NODES).map(|_| rng.bool()).collect();
            let span = Duration::from_millis(rng.u64(200..3_000));
            let partition = FaultKind::Partition(sides, [true, rng.bool()], span);
            faults.push(fault(at + rng.u64(0..60), partition));
            faults.push(fault(
                at + rng.u64(0..60),
                FaultKind::Withdraw(rng.usize(0..NODES)),
            ));
        }
        faults.push(fault(9_000, FaultKind::Kill(rng.usize(0..NODES))));
        check(
            Plan {
                faults,
                ..lossy_plan(seed)
            },
            FRESHNESS_BOUND,
        );
    }
}

#[test]
fn p05_no_run_begins_after_the_bound_when_the_entry_node_pauses_before_it_reports() {
    for seed in 0..30 {
        let faults = vec![
            fault(4_000, FaultKind::Withdraw(0)),
            fault(
                4_004 + seed / 10,
                FaultKind::Pause(0, Duration::from_secs(4)),
            ),
            fault(4_100, FaultKind::ReplaceAt(2, 1, 3)),
            fault(5_500, FaultKind::ReplaceAt(2, 0, 1)),
        ];
        let history = check(
            Plan {
                faults,
                ..lossy_plan(seed)
            },
            FRESHNESS_BOUND,
        );
        assert_eq!(history.accepted.len(), 1, "seed {seed}");
    }
}

#[test]
fn p05_a_lost_answer_of_the_platform_neither_loses_nor_repeats_an_edit() {
    for seed in 0..30 {
        let faults = vec![
            fault(
                3_990,
                FaultKind::LostAnswers(5, Duration::from_millis(1_500)),
            ),
            fault(4_000, FaultKind::Withdraw(5)),
        ];
        let plan = Plan {
            faults,
            seed,
            ..Plan::default()
        };
        let history = check(plan, FRESHNESS_BOUND);
        assert_eq!(history.accepted.len(), 1, "seed {seed}");
        assert_eq!(history.accepted[0].table, Revision(2));
    }
}

#[test]
fn p05_no_run_begins_after_the_bound_and_the_gossip_spread_when_the_platform_is_restored_to_an_older_state()
 {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let faults = vec![
            fault(4_000, FaultKind::Withdraw(rng.usize(0..NODES))),
            fault(4_000 + rng.u64(10..600), FaultKind::Restore(1)),
            fault(8_000, FaultKind::Withdraw(rng.usize(0..NODES))),
            fault(8_000 + rng.u64(10..600), FaultKind::Restore(rng.u64(1..3))),
        ];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND + GOSSIP_SPREAD,
        );
        assert!(!history.accepted.is_empty(), "seed {seed}");
    }
}

#[test]
fn p05_racing_claims_never_act_at_the_same_time() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first = rng.usize(0..8);
        let faults = vec![
            fault(2_000, FaultKind::Claim(first)),
            fault(
                2_000 + rng.u64(0..20),
                FaultKind::Claim(rng.usize(0..NODES)),
            ),
            fault(
                7_000,
                FaultKind::PlatformUnreachable(first, Duration::from_secs(8)),
            ),
            fault(7_100, FaultKind::LostAnswers(8, Duration::from_millis(700))),
            fault(7_200, FaultKind::Claim(8)),
        ];
        let history = check(
            Plan {
                faults,
                ..lossy_plan(seed)
            },
            FRESHNESS_BOUND,
        );
        let epochs = history
            .holder_actions
            .iter()
            .map(|action| action.epoch)
            .max();
        assert!(epochs >= Some(Epoch(2)), "seed {seed}: {epochs:?}");
    }
}

#[test]
fn p05_requests_are_served_during_a_platform_outage_at_all_nodes() {
    for seed in 0..20 {
        let faults = vec![fault(4_000, FaultKind::Outage(Duration::from_secs(10)))];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        let refused = history
            .refusals
            .iter()
            .filter(|at| **at > Time::from_millis(2_000));
        assert_eq!(refused.count(), 0, "seed {seed}");
    }
}

#[test]
fn p05_requests_are_served_during_a_platform_outage_with_planned_relay_stops() {
    for seed in 0..20 {
        let faults = vec![
            fault(4_000, FaultKind::Outage(Duration::from_secs(10))),
            fault(5_000, FaultKind::Stop(0, 3)),
            fault(5_500, FaultKind::Kill(0)),
            fault(7_000, FaultKind::Stop(1, 3)),
            fault(7_500, FaultKind::Kill(1)),
        ];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        let refused = history
            .refusals
            .iter()
            .filter(|at| **at > Time::from_millis(2_000));
        assert_eq!(refused.count(), 0, "seed {seed}");
    }
}

#[test]
fn p05_both_sides_of_a_partition_serve_while_they_reach_the_platform() {
    for seed in 0..20 {
        let partition = FaultKind::Partition(side_of(2), [true, true], Duration::from_secs(8));
        let faults = vec![
            fault(4_000, partition),
            fault(6_000, FaultKind::Withdraw(0)),
        ];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        let refused = history
            .refusals
            .iter()
            .filter(|at| **at > Time::from_millis(2_000));
        assert_eq!(refused.count(), 0, "seed {seed}");
        assert_eq!(history.accepted.len(), 1, "seed {seed}");
    }
}

#[test]
fn p05_losing_a_domain_during_a_platform_outage_stops_the_others_within_the_bound() {
    for seed in 0..20 {
        let faults = vec![
            fault(4_000, FaultKind::Outage(Duration::from_secs(9))),
            fault(
                5_000,
                FaultKind::Partition(side_of(2), [true, true], Duration::from_secs(5)),
            ),
        ];
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        assert_eq!(runs_between(&history, 7_100, 9_900), 0, "seed {seed}");
        assert!(runs_between(&history, 11_500, 13_000) > 500, "seed {seed}");
    }
}

#[test]
fn p05_edits_without_faults_refuse_no_request() {
    for seed in 0..10 {
        let faults = (0..10)
            .map(|n| fault(3_000 + 1_000 * n, FaultKind::Withdraw(n as usize)))
            .collect();
        let history = check(
            Plan {
                faults,
                seed,
                ..Plan::default()
            },
            FRESHNESS_BOUND,
        );
        let refused = history
            .refusals
            .iter()
            .filter(|at| **at > Time::from_millis(2_000));
        assert_eq!(refused.count(), 0, "seed {seed}");
        assert_eq!(history.accepted.len(), 10, "seed {seed}");
    }
}

#[test]
fn check_withdrawals_rejects_a_run_after_the_bound() {
    let accepted = Accepted {
        at: Time::from_millis(1_000),
        table: Revision(5),
    };
    let run = |millis, table| Run {
        at: Time::from_millis(millis),
        node: 0,
        table: Revision(table),
    };
    let history = |runs| History {
        runs,
        accepted: vec![accepted],
        ..History::default()
    };
    let bound = Duration::from_secs(2);
    let good = history(vec![run(2_999, 4), run(9_000, 5)]);
    assert!(check_withdrawals(&good, bound).is_ok());
    let bad = history(vec![run(9_000, 5), run(3_001, 4)]);
    assert!(check_withdrawals(&bad, bound).is_err());
}

#[test]
fn check_succession_rejects_an_action_before_those_of_the_previous_epoch_expired() {
    let action = |millis, epoch| HolderAction {
        at: Time::from_millis(millis),
        node: 0,
        epoch: Epoch(epoch),
    };
    let validity = Duration::from_secs(1);
    assert!(check_succession(&[action(1_000, 1), action(2_000, 2)], validity).is_ok());
    assert!(check_succession(&[action(1_000, 1), action(1_999, 2)], validity).is_err());
    assert!(check_succession(&[action(1_000, 2), action(5_000, 1)], validity).is_err());
}
