//! Tests of the owner's side of permits.

use cassiashunt_suspect::{
    Fingerprint, Holder,
    holder::{Action, Options},
    message::{PermitAnswer, ReleasePermit},
};
use cassiashunt_types::prelude::*;

const COORDINATOR: NodeId = NodeId(7);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn answer(number: u64, is_given: bool) -> PermitAnswer {
    PermitAnswer {
        number,
        is_given,
        retry_after_ms: 0,
    }
}

/// A holder that requested its first permit at time 0, for request 1.
fn holder() -> Holder {
    let mut holder = Holder::new(NodeId(1), Options::default());
    let actions = holder.begin(at(0), RequestId(1), Fingerprint(5), Some(COORDINATOR));
    assert!(matches!(actions[..], [Action::Ask(COORDINATOR, _)]));
    holder
}

fn release(action: &Action) -> Option<&ReleasePermit> {
    match action {
        Action::Release(_, release) => Some(release),
        _ => None,
    }
}

fn releases(actions: &[Action]) -> Vec<&ReleasePermit> {
    actions.iter().filter_map(release).collect()
}

fn is_refused(actions: &[Action], id: u64) -> bool {
    let is_refusal = |action: &Action| match action {
        Action::Refuse(request, refusal) => {
            *request == RequestId(id) && refusal.verdict == Verdict::NotRun
        }
        _ => false,
    };
    actions.iter().any(is_refusal)
}

#[test]
fn a_permit_is_valid_from_when_it_was_asked_for() {
    let mut holder = holder();
    let until = at(0) + Options::default().validity;
    let actions = holder.on_answer(at(200), &answer(1, true));
    assert_eq!(actions, [Action::Run(RequestId(1), until)]);
    assert_eq!(
        holder.on_answer(at(201), &answer(1, true)),
        [],
        "a duplicate answer"
    );
}

#[test]
fn a_second_suspect_is_refused_while_one_waits() {
    let mut holder = holder();
    let actions = holder.begin(at(1), RequestId(2), Fingerprint(6), Some(COORDINATOR));
    assert!(is_refused(&actions, 2));
    holder.on_answer(at(2), &answer(1, true));
    holder.done(at(3), RequestId(1), None);
    assert!(!holder.is_busy());
}

#[test]
fn a_permit_request_without_an_answer_times_out_and_its_permit_is_released() {
    let mut holder = holder();
    assert_eq!(holder.tick(at(299)), []);
    let actions = holder.tick(at(300));
    assert!(is_refused(&actions, 1));
    assert_eq!(releases(&actions).len(), 1);
    assert_eq!(
        holder.on_answer(at(301), &answer(1, true)),
        [],
        "answer after the time-out"
    );
}

#[test]
fn a_release_is_resent_until_it_is_acknowledged() {
    let mut holder = holder();
    holder.on_answer(at(1), &answer(1, true));
    let actions = holder.done(at(2), RequestId(1), None);
    assert_eq!(releases(&actions).len(), 1);
    assert_eq!(releases(&holder.tick(at(102))).len(), 1);
    holder.on_acknowledged(1);
    assert_eq!(holder.tick(at(300)), []);
}
