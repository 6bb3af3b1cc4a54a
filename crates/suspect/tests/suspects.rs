//! Tests of strikes, the updates that spread them and the decisions derived from them.

use cassiashunt_property::{Result, Unstructured, arbtest, check};
use cassiashunt_suspect::{
    Crash, Decision, Fingerprint, Suspects, message::StrikeUpdate, suspects::Options,
};
use cassiashunt_types::prelude::*;
use prost::Message;

const CRASHER: Fingerprint = Fingerprint(1);
const BESIDE: Fingerprint = Fingerprint(2);

fn crash(number: u32) -> Crash {
    Crash {
        owner: NodeId(9),
        number,
    }
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

fn suspects() -> Suspects {
    Suspects::new(Options::default())
}

#[test]
fn a_request_in_flight_at_a_crash_runs_alone_until_it_finishes() {
    let mut suspects = suspects();
    assert_eq!(suspects.check(at(0), BESIDE), Decision::Run);
    suspects.on_server_crash(at(1), crash(1), &[CRASHER, BESIDE]);
    assert_eq!(suspects.check(at(1), BESIDE), Decision::RunAlone);
    assert!(!suspects.on_finished(BESIDE, at(0)));
    assert_eq!(
        suspects.check(at(1), BESIDE),
        Decision::RunAlone,
        "the run began before the crash"
    );
    assert!(suspects.on_finished(BESIDE, at(2)));
    assert_eq!(suspects.check(at(2), BESIDE), Decision::Run);
}

#[test]
fn a_request_that_crashes_servers_while_alone_is_refused_until_its_strikes_expire() {
    let mut suspects = suspects();
    suspects.on_server_crash(at(1), crash(1), &[CRASHER]);
    assert!(!suspects.on_finished(CRASHER, at(2)));
    assert_eq!(
        suspects.check(at(2), CRASHER),
        Decision::RunAlone,
        "a strike from running alone is not cleared"
    );
    suspects.on_server_crash(at(3), crash(2), &[CRASHER]);
    let Decision::Refuse(refusal) = suspects.check(at(4), CRASHER) else {
        panic!("two strikes alone refuse the request");
    };
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::Suspect)
    );
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(599)));
    assert_eq!(suspects.check(at(604), CRASHER), Decision::Run);
}

#[test]
fn requests_that_were_never_alone_are_never_refused() {
    let mut suspects = suspects();
    for number in 1..=50 {
        suspects.on_server_crash(at(1), crash(number), &[CRASHER, BESIDE]);
    }
    assert_eq!(suspects.check(at(1), BESIDE), Decision::RunAlone);
}

#[test]
fn a_lost_node_counts_once_however_often_it_is_reported() {
    let mut suspects = suspects();
    suspects.on_node_lost(at(1), NodeId(9), &[CRASHER]);
    suspects.on_node_lost(at(1), NodeId(9), &[CRASHER]);
    assert_eq!(suspects.check(at(1), CRASHER), Decision::RunAlone);
}

#[test]
fn updates_survive_encoding_and_count_once() {
    let mut from = suspects();
    from.on_server_crash(at(5), crash(1), &[CRASHER]);
    from.on_server_crash(at(5), crash(2), &[CRASHER]);
    let update = from.next_update(at(6)).encode_to_vec();
    let update =
        StrikeUpdate::decode(update.as_slice()).expect("an encoded update does not decode");
    let mut to = suspects();
    to.merge(at(100), &update);
    to.merge(at(100), &update);
    assert!(matches!(to.check(at(100), CRASHER), Decision::Refuse(_)));
    assert_eq!(
        to.check(at(699), CRASHER),
        Decision::Run,
        "the update carries the age"
    );
}

#[test]
fn a_clearing_spreads_and_old_updates_do_not_undo_it() {
    let (mut from, mut to) = (suspects(), suspects());
    from.on_server_crash(at(1), crash(1), &[CRASHER, BESIDE]);
    let old = from.next_update(at(1));
    to.merge(at(1), &old);
    from.on_finished(BESIDE, at(2));
    to.merge(at(2), &from.next_update(at(2)));
    to.merge(at(3), &old);
    assert_eq!(to.check(at(3), BESIDE), Decision::Run);
}

#[test]
fn updates_are_bounded_and_send_each_strike_in_rotation() {
    let mut suspects = suspects();
    let in_flight: Vec<_> = (0..200).map(Fingerprint).collect();
    suspects.on_server_crash(at(1), crash(1), &in_flight);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..7 {
        let update = suspects.next_update(at(1));
        assert!(update.strikes.len() <= Options::default().max_news);
        assert!(update.encoded_len() < 1_024);
        seen.extend(update.strikes.iter().map(|it| it.fingerprint));
    }
    assert_eq!(seen.len(), 200);
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let mut suspects = Suspects::new(Options {
        max_suspects: 10,
        ..Options::default()
    });
    for n in 0..100 {
        suspects.on_server_crash(at(n), crash(1), &[Fingerprint(n)]);
    }
    assert_eq!(suspects.len(), 10);
    assert_eq!(suspects.check(at(100), Fingerprint(99)), Decision::RunAlone);
}

#[test]
fn a_node_that_missed_a_clearing_does_not_undo_it_where_the_strike_was_evicted() {
    let max_strikes = u32::try_from(Options::default().max_strikes_each)
        .expect("`max_strikes_each` fits in a u32");
    let (mut unaware, mut to) = (suspects(), suspects());
    unaware.on_server_crash(at(1), crash(1), &[BESIDE, CRASHER]);
    to.merge(at(1), &unaware.next_update(at(1)));
    for number in 2..=max_strikes + 1 {
        let now = at(number.into());
        to.on_server_crash(now, crash(number), &[BESIDE, CRASHER]);
        to.on_finished(BESIDE, now);
    }
    to.merge(at(20), &unaware.next_update(at(20)));
    assert_eq!(to.check(at(20), BESIDE), Decision::Run);
}

#[test]
fn nodes_that_receive_more_suspects_than_are_retained_in_any_order_retain_the_same() {
    let bounded = || {
        Suspects::new(Options {
            max_suspects: 10,
            ..Options::default()
        })
    };
    let mut sources: Vec<_> = (0..30).map(|_| suspects()).collect();
    let crashes = sources.iter_mut().zip((0..).map(Fingerprint));
    crashes.for_each(|(it, fp)| it.on_server_crash(at(1 + fp.0 / 3), crash(1), &[fp]));
    let updates: Vec<_> = sources
        .iter_mut()
        .map(|it| it.next_update(at(20)))
        .collect();
    let (mut in_order, mut reversed) = (bounded(), bounded());
    updates.iter().for_each(|it| in_order.merge(at(20), it));
    updates
        .iter()
        .rev()
        .for_each(|it| reversed.merge(at(20), it));
    assert_eq!(in_order.len(), 10);
    assert_eq!(in_order.digest(at(20)), reversed.digest(at(20)));
}

#[test]
fn strikes_beside_others_do_not_evict_strikes_from_running_alone() {
    let mut suspects = suspects();
    suspects.on_server_crash(at(1), crash(1), &[CRASHER]);
    suspects.on_server_crash(at(2), crash(2), &[CRASHER]);
    for number in 3..20 {
        suspects.on_server_crash(at(3), crash(number), &[CRASHER, BESIDE]);
    }
    assert!(matches!(
        suspects.check(at(3), CRASHER),
        Decision::Refuse(_)
    ));
}

#[test]
fn nodes_that_receive_the_same_updates_in_any_order_decide_alike() {
    check(decides_alike_in_any_order);
}

/// With this seed the request that is in flight at every crash gets nine strikes, one more than are
/// retained.
#[test]
fn nodes_decide_alike_on_a_request_with_more_strikes_than_are_retained() {
    arbtest(decides_alike_in_any_order).seed(0x31d3_34c7_0000_61d0);
}

fn decides_alike_in_any_order(u: &mut Unstructured<'_>) -> Result<()> {
    let mut messages = Vec::new();
    for owner in 0..3 {
        let mut source = suspects();
        // `ratio` always returns true once the input is used up.
        while !u.is_empty() && u.ratio(3, 4)? {
            let fingerprint = Fingerprint(u.int_in_range(0..=2)?);
            let number = u.int_in_range(1..=3)?;
            let crash = Crash {
                owner: NodeId(owner),
                number,
            };
            source.on_server_crash(at(1), crash, &[fingerprint, Fingerprint(7)]);
            if u.arbitrary()? {
                source.on_finished(fingerprint, at(2));
            }
            messages.push(source.next_update(at(2)));
        }
    }
    let (mut in_order, mut reversed) = (suspects(), suspects());
    messages
        .iter()
        .for_each(|update| in_order.merge(at(2), update));
    messages
        .iter()
        .rev()
        .for_each(|update| reversed.merge(at(2), update));
    for n in 0..8 {
        assert_eq!(
            in_order.check(at(2), Fingerprint(n)),
            reversed.check(at(2), Fingerprint(n))
        );
    }
    Ok(())
}

/// Two strikes make a request a suspect, and a third as the only suspect refuses it.
fn shared_server_suspects() -> Suspects {
    Suspects::new(Options {
        max_strikes: 1,
        suspect_after: 2,
        refuse_after: 3,
        ..Options::default()
    })
}

#[test]
fn a_request_is_refused_after_three_crashes_and_the_last_as_the_only_suspect() {
    let mut suspects = shared_server_suspects();
    suspects.on_shared_server_crash(at(1), crash(1), &[CRASHER, BESIDE]);
    assert_eq!(suspects.check(at(1), CRASHER), Decision::Run);
    suspects.on_shared_server_crash(at(2), crash(2), &[CRASHER]);
    assert_eq!(suspects.check(at(2), CRASHER), Decision::RunAlone);
    suspects.on_shared_server_crash(at(3), crash(3), &[CRASHER, BESIDE]);
    assert!(matches!(
        suspects.check(at(3), CRASHER),
        Decision::Refuse(_)
    ));
    assert_eq!(
        suspects.check(at(3), BESIDE),
        Decision::RunAlone,
        "its two strikes are not alone"
    );
    suspects.on_finished(BESIDE, at(4));
    assert_eq!(suspects.check(at(4), BESIDE), Decision::Run);
}

#[test]
fn a_request_beside_others_at_many_crashes_is_not_refused() {
    let mut suspects = shared_server_suspects();
    for number in 1..=5 {
        suspects.on_shared_server_crash(at(1), crash(number), &[CRASHER, BESIDE]);
        let decision = suspects.check(at(1), BESIDE);
        assert!(!matches!(decision, Decision::Refuse(_)), "{decision:?}");
    }
    assert!(suspects.on_finished(BESIDE, at(2)));
    assert_eq!(suspects.check(at(2), BESIDE), Decision::Run);
}

#[test]
fn nodes_with_the_same_strikes_have_the_same_digest() {
    let (mut one, mut other) = (shared_server_suspects(), shared_server_suspects());
    assert_eq!(one.digest(at(1)), 0);
    one.on_shared_server_crash(at(1), crash(1), &[CRASHER, BESIDE]);
    other.on_shared_server_crash(at(1), crash(2), &[CRASHER]);
    assert_ne!(one.digest(at(1)), other.digest(at(1)));
    let (of_one, of_other) = (one.next_update(at(2)), other.next_update(at(2)));
    one.merge(at(2), &of_other);
    other.merge(at(2), &of_one);
    assert_eq!(one.digest(at(2)), other.digest(at(2)));
    one.on_finished(BESIDE, at(2));
    assert_ne!(
        one.digest(at(2)),
        other.digest(at(2)),
        "a clearing changes the digest"
    );
    other.merge(at(3), &one.next_update(at(3)));
    assert_eq!(one.digest(at(3)), other.digest(at(3)));
    assert_eq!(one.digest(at(700)), 0, "all strikes have expired");
}
