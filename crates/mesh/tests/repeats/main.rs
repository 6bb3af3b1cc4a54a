//! Servers that reject what they get while slots are free, replayed in virtual time: load patterns of
//! the platform's peak days and others like them.

mod replay;

use replay::{Class, Fate, Replay, Report, Shares};

/// Clients' requests of a mesh whose leaf, service 0, is called 8, 4 and 1 times by a request; the
/// least urgent ones need most. A quarter of the real rates.
const POLLS: [Class; 3] = [
    Class::new(2, 75.0, &[(3, 1), (1, 1), (0, 4)]),
    Class::new(1, 80.0, &[(0, 1)]),
    Class::new(0, 253.0, &[(2, 1), (3, 2), (1, 2), (0, 8)]),
];
/// The same of a mesh in which both chains need four calls.
const LOOKUPS: [Class; 3] = [
    Class::new(2, 66.0, &[(3, 1), (2, 1), (0, 4)]),
    Class::new(1, 110.0, &[(1, 1), (2, 1), (0, 4)]),
    Class::new(0, 26.0, &[(0, 1)]),
];

fn replay(classes: &'static [Class], fate: fn(f64, usize, usize) -> Fate) -> (Report, Report) {
    let new = Replay::new(classes, Shares::Priced, fate).run();
    let old = Replay::new(classes, Shares::Fixed, fate).run();
    println!("priced: {new:?}\nfixed: {old:?}");
    new.assert_within_budget();
    (new, old)
}

/// While servers fail, `urgent` is served far better than with fixed shares; all is normal 2 s after.
fn assert_better((new, old): &(Report, Report), urgent: usize) {
    let (new_share, old_share) = (new.during[urgent], old.during[urgent]);
    let halfway = old_share + (1.0 - old_share) / 2.0;
    assert!(
        new_share >= halfway,
        "{new_share} served, {old_share} before"
    );
    assert_normal_after(new);
}

fn assert_normal_after(report: &Report) {
    for (class, after) in report.after.iter().enumerate() {
        assert!(
            *after >= 0.97,
            "class {class}: {after} served after the end"
        );
    }
}

fn is_on(t: f64) -> bool {
    (20.0..28.5).contains(&t)
}

fn reject_if(is_rejecting: bool, share: f64) -> Fate {
    Fate {
        rejected: if is_rejecting { share } else { 0.0 },
        lost: 0.0,
    }
}

#[test]
fn urgent_chains_end_while_all_servers_of_their_last_service_reject_half() {
    let reports = replay(&POLLS, |t, service, _| {
        reject_if(is_on(t) && service == 0, 0.55)
    });
    assert_better(&reports, 0);
}

#[test]
fn urgent_chains_end_where_two_kinds_of_chains_need_the_same_calls() {
    let reports = replay(&LOOKUPS, |t, service, _| {
        reject_if(is_on(t) && service == 0, 0.55)
    });
    // The rule's repeats pay for about a half of the urgent chains: 0.2 of 7,300 calls in 10 s, where
    // 66 chains a second need 4.9 repeats each for 8.5 s. Half of that half is asked for.
    let (new, old) = &reports;
    assert!(new.during[0] >= 0.53 / 2.0, "{new:?}");
    assert!(new.during[0] >= 2.0 * old.during[0], "{new:?} {old:?}");
    assert_normal_after(new);
}

#[test]
fn urgent_chains_end_while_one_failure_domain_rejects() {
    let reports = replay(&POLLS, |t, service, server| {
        reject_if(is_on(t) && service == 0 && server % 4 == 0, 0.9)
    });
    assert_better(&reports, 0);
}

#[test]
fn urgent_chains_end_while_a_part_of_the_servers_rejects() {
    let reports = replay(&POLLS, |t, service, server| {
        reject_if(is_on(t) && service == 0 && server % 2 == 0, 0.8)
    });
    assert_better(&reports, 0);
}

#[test]
fn urgent_chains_end_more_often_while_servers_lose_answers() {
    let reports = replay(&POLLS, |t, service, _| Fate {
        rejected: 0.0,
        lost: if is_on(t) && service == 0 { 0.2 } else { 0.0 },
    });
    let (new, old) = &reports;
    assert!(new.during[0] >= old.during[0] + 0.2, "{new:?} {old:?}");
    assert_normal_after(new);
}

#[test]
fn urgent_chains_end_while_a_service_in_the_middle_rejects() {
    let reports = replay(&POLLS, |t, service, _| {
        reject_if(is_on(t) && service == 1, 0.55)
    });
    assert_better(&reports, 0);
}

#[test]
fn urgent_chains_end_while_two_services_reject() {
    let reports = replay(&POLLS, |t, service, _| {
        reject_if(is_on(t) && service < 2, 0.4)
    });
    assert_better(&reports, 0);
}

#[test]
fn urgent_chains_end_while_rejections_come_and_go_each_second() {
    let reports = replay(&POLLS, |t, service, _| {
        reject_if(is_on(t) && service == 0 && t.fract() < 0.5, 0.55)
    });
    assert_better(&reports, 0);
}

#[test]
fn repeats_stay_within_the_budget_while_nodes_are_killed_cut_off_and_restarted() {
    let fate = |t: f64, service: usize, _| reject_if(t >= 20.0 && service == 0, 0.55);
    let mut replay = Replay::new(&POLLS, Shares::Priced, fate);
    replay.disturbed = true;
    let report = replay.run();
    report.assert_within_budget();
}

#[test]
fn repeats_stay_within_the_budget_after_clients_have_gone() {
    let fate = |t: f64, service: usize, _| reject_if(t >= 20.0 && service == 0, 0.7);
    let mut replay = Replay::new(&POLLS, Shares::Priced, fate);
    replay.load = |t| if t < 22.0 { 1.0 } else { 0.15 };
    replay.run().assert_within_budget();
}

#[test]
fn repeats_stay_within_the_budget_while_clients_move_between_nodes() {
    let fate = |t: f64, service: usize, _| reject_if(t >= 20.0 && service == 0, 0.7);
    let mut replay = Replay::new(&POLLS, Shares::Priced, fate);
    replay.moves = true;
    replay.run().assert_within_budget();
}

#[test]
fn a_service_without_failures_refuses_nobody() {
    let report = Replay::new(&POLLS, Shares::Priced, |_, _, _| reject_if(false, 0.0)).run();
    assert_eq!(report.refused, 0, "{report:?}");
}
