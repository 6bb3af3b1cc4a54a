//! Strikes, their news and what they mean.

use cassiashunt_property::{Result, Unstructured, arbtest, check};
use cassiashunt_suspect::{
    Crash, Decision, Fingerprint, Suspects, message::StrikeUpdate, suspects::Options,
};
use cassiashunt_types::prelude::*;
use prost::Message;

const CRASHER: Fingerprint = Fingerprint(1);
const BESIDE: Fingerprint = Fingerprint(2);

fn death(number: u32) -> Crash {
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
fn a_request_in_flight_at_a_death_runs_alone_until_it_finishes() {
    let mut suspects = suspects();
    assert_eq!(suspects.check(at(0), BESIDE), Decision::Run);
    suspects.on_server_crash(at(1), death(1), &[CRASHER, BESIDE]);
    assert_eq!(suspects.check(at(1), BESIDE), Decision::RunAlone);
    assert!(!suspects.on_finished(BESIDE, at(0)));
    assert_eq!(
        suspects.check(at(1), BESIDE),
        Decision::RunAlone,
        "it ran before the death"
    );
    assert!(suspects.on_finished(BESIDE, at(2)));
    assert_eq!(suspects.check(at(2), BESIDE), Decision::Run);
}

#[test]
fn a_request_that_kills_servers_alone_is_refused_for_a_time() {
    let mut suspects = suspects();
    suspects.on_server_crash(at(1), death(1), &[CRASHER]);
    assert!(!suspects.on_finished(CRASHER, at(2)));
    assert_eq!(
        suspects.check(at(2), CRASHER),
        Decision::RunAlone,
        "it was alone"
    );
    suspects.on_server_crash(at(3), death(2), &[CRASHER]);
    let Decision::Refuse(refusal) = suspects.check(at(4), CRASHER) else {
        panic!("two servers are enough");
    };
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::Suspect)
    );
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(599)));
    assert_eq!(suspects.check(at(604), CRASHER), Decision::Run);
}

#[test]
fn requests_that_only_were_beside_are_never_refused() {
    let mut suspects = suspects();
    for number in 1..=50 {
        suspects.on_server_crash(at(1), death(number), &[CRASHER, BESIDE]);
    }
    assert_eq!(suspects.check(at(1), BESIDE), Decision::RunAlone);
}

#[test]
fn a_lost_node_and_its_servers_death_do_not_make_a_request_run_alone_twice() {
    let mut suspects = suspects();
    suspects.on_node_lost(at(1), NodeId(9), &[CRASHER]);
    suspects.on_node_lost(at(1), NodeId(9), &[CRASHER]);
    assert_eq!(suspects.check(at(1), CRASHER), Decision::RunAlone);
}

#[test]
fn news_survive_the_wire_and_count_once() {
    let mut from = suspects();
    from.on_server_crash(at(5), death(1), &[CRASHER]);
    from.on_server_crash(at(5), death(2), &[CRASHER]);
    let news = from.next_update(at(6)).encode_to_vec();
    let news = StrikeUpdate::decode(news.as_slice()).expect("it was just encoded");
    let mut to = suspects();
    to.merge(at(100), &news);
    to.merge(at(100), &news);
    assert!(matches!(to.check(at(100), CRASHER), Decision::Refuse(_)));
    assert_eq!(
        to.check(at(699), CRASHER),
        Decision::Run,
        "the age came with the news"
    );
}

#[test]
fn a_clearing_travels_and_old_news_do_not_undo_it() {
    let (mut from, mut to) = (suspects(), suspects());
    from.on_server_crash(at(1), death(1), &[CRASHER, BESIDE]);
    let old = from.next_update(at(1));
    to.merge(at(1), &old);
    from.on_finished(BESIDE, at(2));
    to.merge(at(2), &from.next_update(at(2)));
    to.merge(at(3), &old);
    assert_eq!(to.check(at(3), BESIDE), Decision::Run);
}

#[test]
fn news_are_bounded_and_each_strike_comes_in_turn() {
    let mut suspects = suspects();
    let in_flight: Vec<_> = (0..200).map(Fingerprint).collect();
    suspects.on_server_crash(at(1), death(1), &in_flight);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..7 {
        let news = suspects.next_update(at(1));
        assert!(news.strikes.len() <= Options::default().max_news);
        assert!(news.encoded_len() < 1_024);
        seen.extend(news.strikes.iter().map(|it| it.fingerprint));
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
        suspects.on_server_crash(at(n), death(1), &[Fingerprint(n)]);
    }
    assert_eq!(suspects.len(), 10);
    assert_eq!(suspects.check(at(100), Fingerprint(99)), Decision::RunAlone);
}

#[test]
fn a_node_that_missed_a_clearing_does_not_undo_it_where_the_strike_was_dropped_for_want_of_room() {
    let most = u32::try_from(Options::default().max_strikes_each).expect("a small bound");
    let (mut unaware, mut to) = (suspects(), suspects());
    unaware.on_server_crash(at(1), death(1), &[BESIDE, CRASHER]);
    to.merge(at(1), &unaware.next_update(at(1)));
    for number in 2..=most + 1 {
        let now = at(number.into());
        to.on_server_crash(now, death(number), &[BESIDE, CRASHER]);
        to.on_finished(BESIDE, now);
    }
    to.merge(at(20), &unaware.next_update(at(20)));
    assert_eq!(to.check(at(20), BESIDE), Decision::Run);
}

#[test]
fn nodes_that_heard_of_more_suspects_than_are_kept_in_another_order_know_the_same() {
    let bounded = || {
        Suspects::new(Options {
            max_suspects: 10,
            ..Options::default()
        })
    };
    let mut sources: Vec<_> = (0..30).map(|_| suspects()).collect();
    let struck = sources.iter_mut().zip((0..).map(Fingerprint));
    struck.for_each(|(it, fp)| it.on_server_crash(at(1 + fp.0 / 3), death(1), &[fp]));
    let news: Vec<_> = sources
        .iter_mut()
        .map(|it| it.next_update(at(20)))
        .collect();
    let (mut forth, mut back) = (bounded(), bounded());
    news.iter().for_each(|it| forth.merge(at(20), it));
    news.iter().rev().for_each(|it| back.merge(at(20), it));
    assert_eq!(forth.len(), 10);
    assert_eq!(forth.digest(at(20)), back.digest(at(20)));
}

#[test]
fn strikes_beside_others_do_not_push_out_those_of_a_request_that_ran_alone() {
    let mut suspects = suspects();
    suspects.on_server_crash(at(1), death(1), &[CRASHER]);
    suspects.on_server_crash(at(2), death(2), &[CRASHER]);
    for number in 3..20 {
        suspects.on_server_crash(at(3), death(number), &[CRASHER, BESIDE]);
    }
    assert!(matches!(
        suspects.check(at(3), CRASHER),
        Decision::Refuse(_)
    ));
}

#[test]
fn nodes_that_heard_the_same_news_in_any_order_decide_alike() {
    check(decides_alike_in_any_order);
}

/// The request beside all others gets a ninth strike here, one more than are kept.
#[test]
fn nodes_decide_alike_on_a_request_with_more_strikes_than_are_kept() {
    arbtest(decides_alike_in_any_order).seed(0x31d3_34c7_0000_61d0);
}

fn decides_alike_in_any_order(u: &mut Unstructured<'_>) -> Result<()> {
    let mut messages = Vec::new();
    for owner in 0..3 {
        let mut source = suspects();
        // `ratio` is true for ever once the input is used up.
        while !u.is_empty() && u.ratio(3, 4)? {
            let fingerprint = Fingerprint(u.int_in_range(0..=2)?);
            let number = u.int_in_range(1..=3)?;
            let death = Crash {
                owner: NodeId(owner),
                number,
            };
            source.on_server_crash(at(1), death, &[fingerprint, Fingerprint(7)]);
            if u.arbitrary()? {
                source.on_finished(fingerprint, at(2));
            }
            messages.push(source.next_update(at(2)));
        }
    }
    let (mut forth, mut back) = (suspects(), suspects());
    messages.iter().for_each(|news| forth.merge(at(2), news));
    messages
        .iter()
        .rev()
        .for_each(|news| back.merge(at(2), news));
    for n in 0..8 {
        assert_eq!(
            forth.check(at(2), Fingerprint(n)),
            back.check(at(2), Fingerprint(n))
        );
    }
    Ok(())
}

/// Two strikes make a suspect, and a third refuses it where it was the only suspect.
fn shared() -> Suspects {
    Suspects::new(Options {
        max_strikes: 1,
        suspect_after: 2,
        refuse_after: 3,
        ..Options::default()
    })
}

#[test]
fn a_request_is_refused_after_three_deaths_in_the_last_of_which_it_was_the_only_suspect() {
    let mut suspects = shared();
    suspects.on_shared_server_crash(at(1), death(1), &[CRASHER, BESIDE]);
    assert_eq!(suspects.check(at(1), CRASHER), Decision::Run);
    suspects.on_shared_server_crash(at(2), death(2), &[CRASHER]);
    assert_eq!(suspects.check(at(2), CRASHER), Decision::RunAlone);
    suspects.on_shared_server_crash(at(3), death(3), &[CRASHER, BESIDE]);
    assert!(matches!(
        suspects.check(at(3), CRASHER),
        Decision::Refuse(_)
    ));
    assert_eq!(
        suspects.check(at(3), BESIDE),
        Decision::RunAlone,
        "twice beside it"
    );
    suspects.on_finished(BESIDE, at(4));
    assert_eq!(suspects.check(at(4), BESIDE), Decision::Run);
}

#[test]
fn a_request_beside_others_at_many_deaths_is_not_refused() {
    let mut suspects = shared();
    for number in 1..=5 {
        suspects.on_shared_server_crash(at(1), death(number), &[CRASHER, BESIDE]);
        let decision = suspects.check(at(1), BESIDE);
        assert!(!matches!(decision, Decision::Refuse(_)), "{decision:?}");
    }
    assert!(suspects.on_finished(BESIDE, at(2)));
    assert_eq!(suspects.check(at(2), BESIDE), Decision::Run);
}

#[test]
fn nodes_that_know_the_same_strikes_have_the_same_digest() {
    let (mut one, mut other) = (shared(), shared());
    assert_eq!(one.digest(at(1)), 0);
    one.on_shared_server_crash(at(1), death(1), &[CRASHER, BESIDE]);
    other.on_shared_server_crash(at(1), death(2), &[CRASHER]);
    assert_ne!(one.digest(at(1)), other.digest(at(1)));
    let (of_one, of_other) = (one.next_update(at(2)), other.next_update(at(2)));
    one.merge(at(2), &of_other);
    other.merge(at(2), &of_one);
    assert_eq!(one.digest(at(2)), other.digest(at(2)));
    one.on_finished(BESIDE, at(2));
    assert_ne!(one.digest(at(2)), other.digest(at(2)), "a clearing is news");
    other.merge(at(3), &one.next_update(at(3)));
    assert_eq!(one.digest(at(3)), other.digest(at(3)));
    assert_eq!(one.digest(at(700)), 0, "all have lapsed");
}
