//! A holder: when it admits, delays and refuses requests, and when its tokens expire.

use std::time::Duration;

use cassiashunt_limit::{
    Attempt, Authority, Decision, Holder, InitialTokens, Key, Limit, authority, holder, msg,
};
use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, Time};

fn workspace() -> Key {
    Key::workspace("lagos".parse().expect("the label is valid"))
}

fn cell() -> Key {
    let route = "rota/sign-off".parse().expect("the label is valid");
    let class = "protected".parse().expect("the label is valid");
    Key::cell(workspace().workspace, route, class)
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn holder() -> Holder {
    let mut holder = Holder::new(NodeId(1), holder::Options::default());
    holder.follow_epoch(Epoch(1));
    holder
}

fn authority(cap: u64) -> Authority {
    let options = authority::Options::default();
    let mut authority = Authority::new(Epoch(1), millis(60_000), options);
    let rate = Limit::Rate {
        per_sec: 100,
        burst: 60,
    };
    authority.set_limit(millis(0), workspace(), rate, InitialTokens::Full);
    authority.set_limit(
        millis(0),
        cell(),
        Limit::Minute { cap },
        InitialTokens::Full,
    );
    authority
}

fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Refused(refusal) => refusal,
        Decision::Taken | Decision::Wait => panic!("{decision:?}"),
    }
}

/// Attempts a request, and again after an immediate answer of the authority if it has to wait.
fn request(holder: &mut Holder, authority: &mut Authority, at: Time, keys: &[Key]) -> Decision {
    let decision = holder.try_take(at, keys, 1, Attempt::First);
    if decision != Decision::Wait {
        return decision;
    }
    let frame = holder.poll(at).expect("a waiting request causes a frame");
    let answer = authority
        .handle_frame(at, &frame)
        .expect("the frame contains a token request");
    holder.handle_frame(at, &answer);
    holder.try_take(at, keys, 1, Attempt::Last)
}

#[test]
fn a_request_takes_from_its_workspace_and_its_cell_or_from_neither() {
    let mut holder = holder();
    let mut authority = authority(2);
    let keys = [workspace(), cell()];
    for _ in 0..2 {
        assert_eq!(
            request(&mut holder, &mut authority, millis(1), &keys),
            Decision::Taken
        );
    }
    let refused = refusal(request(&mut holder, &mut authority, millis(1), &keys));
    assert_eq!(refused.reason, Reason::OverMinute);
    assert_eq!(refused.retry_after, Some(Duration::from_millis(59_999)));
    holder
        .poll(millis(100))
        .map(|frame| authority.handle_frame(millis(100), &frame));
    let taken = request(&mut holder, &mut authority, millis(100), &[workspace()]);
    assert_eq!(taken, Decision::Taken);
}

#[test]
fn without_an_authority_the_reason_is_not_in_touch() {
    let mut holder = Holder::new(NodeId(1), holder::Options::default());
    let refused = holder.try_take(millis(1), &[workspace()], 1, Attempt::First);
    assert_eq!(refusal(refused).reason, Reason::NotInTouch);
    holder.follow_epoch(Epoch(1));
    let waits = holder.try_take(millis(1), &[workspace()], 1, Attempt::First);
    assert_eq!(waits, Decision::Wait);
    assert!(holder.poll(millis(1)).is_some());
    let refused = holder.try_take(millis(11), &[workspace()], 1, Attempt::Last);
    assert_eq!(refusal(refused).reason, Reason::NotInTouch);
}

#[test]
fn validity_counts_from_when_the_token_request_was_sent() {
    let mut holder = holder();
    let mut authority = authority(9);
    let keys = [workspace()];
    for _ in 0..3 {
        holder.try_take(millis(0), &keys, 1, Attempt::First);
    }
    let frame = holder
        .poll(millis(0))
        .expect("waiting requests cause a frame");
    let answer = authority
        .handle_frame(millis(0), &frame)
        .expect("the frame contains a token request");
    let mut late = holder.clone();
    holder.handle_frame(millis(900), &answer);
    assert_eq!(
        holder.try_take(millis(999), &keys, 1, Attempt::Retry),
        Decision::Taken
    );
    assert_ne!(
        holder.try_take(millis(1_000), &keys, 1, Attempt::Retry),
        Decision::Taken
    );
    late.handle_frame(millis(1_000), &answer);
    assert_ne!(
        late.try_take(millis(1_000), &keys, 1, Attempt::Retry),
        Decision::Taken
    );
}

#[test]
fn a_duplicate_grant_counts_once() {
    let mut holder = holder();
    let mut authority = authority(9);
    let keys = [workspace()];
    holder.try_take(millis(0), &keys, 1, Attempt::First);
    let frame = holder
        .poll(millis(0))
        .expect("a waiting request causes a frame");
    let answer = authority
        .handle_frame(millis(0), &frame)
        .expect("the frame contains a token request");
    holder.handle_frame(millis(1), &answer);
    assert_eq!(
        holder.try_take(millis(1), &keys, 1, Attempt::Retry),
        Decision::Taken
    );
    holder.handle_frame(millis(2), &answer);
    assert_eq!(
        holder.try_take(millis(2), &keys, 1, Attempt::First),
        Decision::Wait
    );
}

#[test]
fn unused_tokens_are_returned_before_they_expire() {
    let mut holder = holder();
    let mut authority = authority(9);
    let keys = [workspace()];
    for _ in 0..5 {
        holder.try_take(millis(0), &keys, 1, Attempt::First);
    }
    let frame = holder
        .poll(millis(0))
        .expect("waiting requests cause a frame");
    let answer = authority
        .handle_frame(millis(0), &frame)
        .expect("the frame contains a token request");
    holder.handle_frame(millis(1), &answer);
    let frames = (0..100).filter_map(|n| holder.poll(millis(10 * n)));
    let reports: Vec<msg::Report> = frames.flat_map(|frame| frame.reports).collect();
    let returned = reports.iter().map(|report| report.returned).max();
    assert!(returned >= Some(5), "{reports:?}");
}

#[test]
fn frames_of_an_older_epoch_are_ignored_but_its_tokens_stay_valid() {
    let mut holder = holder();
    let mut authority = authority(9);
    let keys = [workspace()];
    for _ in 0..2 {
        holder.try_take(millis(0), &keys, 1, Attempt::First);
    }
    let frame = holder
        .poll(millis(0))
        .expect("waiting requests cause a frame");
    let answer = authority
        .handle_frame(millis(0), &frame)
        .expect("the frame contains a token request");
    holder.handle_frame(millis(1), &answer);
    holder.follow_epoch(Epoch(2));
    let mut taken = 0;
    while holder.try_take(millis(2), &keys, 1, Attempt::Retry) == Decision::Taken {
        taken += 1;
    }
    assert_eq!(taken, answer.grants[0].amount);
    holder
        .poll(millis(3))
        .expect("a waiting request causes a frame");
    let mut stale = answer;
    stale.grants[0].number += 1;
    holder.handle_frame(millis(4), &stale);
    assert_eq!(
        holder.try_take(millis(4), &keys, 1, Attempt::Retry),
        Decision::Wait
    );
}
