//! The checker rejects each bad history and passes a good one.

mod common;

use cassiashunt_load::{
    Outcome, Sample,
    history::{History, request_id},
};
use cassiashunt_standin::server::{self, Record};

/// The seed of the histories.
const SEED: u64 = 5;
/// The kind of the small experiment that may run once only.
const ONCE: usize = 1;

fn record(id: &str, path: &str) -> Record {
    Record {
        id: id.into(),
        idempotency_key: None,
        workspace: Some("large".into()),
        class: None,
        chain: None,
        method: "POST".into(),
        path: path.into(),
        began_micros: 1,
        ended_micros: 2,
        outcome: server::Outcome::Done,
        query: None,
        headers: Vec::new(),
    }
}

fn check(sample: Sample, records: &[Record]) -> History {
    History::check(&common::experiment(), SEED, &[sample], records)
}

fn once() -> Sample {
    Sample {
        kind: ONCE,
        ..common::whole(0, 1)
    }
}

#[test]
fn one_run_with_its_child_call_is_a_good_history() {
    let id = request_id(SEED, 0);
    let records = [
        record(&id, "/root/sign"),
        record(&format!("{id}.0"), "/leaf/part"),
    ];
    let history = check(once(), &records);
    assert_eq!((history.ran_again, history.ran_though_refused), (0, 0));
    assert_eq!(
        (history.wrong_workspace, history.most_runs, history.runs),
        (0, 1, 2)
    );
    assert!(history.wasted.abs() < 1e-9);
}

#[test]
fn a_second_run_of_what_may_run_once_is_found() {
    let id = request_id(SEED, 0);
    let history = check(
        once(),
        &[record(&id, "/root/sign"), record(&id, "/root/sign")],
    );
    assert_eq!((history.ran_again, history.most_runs), (1, 2));
}

#[test]
fn a_run_of_what_was_refused_as_not_run_is_found_and_wasted() {
    let refused = Sample {
        outcome: Outcome::NotRun(None),
        ..once()
    };
    let records = [record(&request_id(SEED, 0), "/root/sign")];
    let history = check(refused, &records);
    assert_eq!(history.ran_though_refused, 1);
    assert!((history.wasted - 1.0).abs() < 1e-9);
    let tried_again = Sample {
        tries: 2,
        ..refused
    };
    assert_eq!(
        check(tried_again, &records).ran_though_refused,
        0,
        "an earlier try may have run"
    );
}

#[test]
fn a_run_for_another_workspace_is_found() {
    let stranger = Record {
        workspace: Some("small".into()),
        ..record(&request_id(SEED, 0), "/root/sign")
    };
    assert_eq!(check(once(), &[stranger]).wrong_workspace, 1);
}
