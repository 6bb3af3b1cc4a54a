//! Permits: one at a time, by one node, and a strike for one that lapses.

use cassiashunt_suspect::{
    Decision, Fingerprint, Permits, Suspects, coordinator,
    message::{AskPermit, ReleasePermit},
    permits, suspects,
};
use cassiashunt_types::prelude::*;

const SUSPECT: Fingerprint = Fingerprint(1);
const LIVE: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

fn me() -> NodeId {
    coordinator(SUSPECT, &LIVE).expect("nodes are live")
}

fn holder() -> NodeId {
    LIVE.into_iter()
        .find(|node| *node != me())
        .expect("there are three")
}

/// The coordinator, long enough in office to give permits at 100 s.
fn permits() -> (Permits, Suspects) {
    let mut permits = Permits::new(at(0), me(), permits::Options::default());
    permits.on_members(at(0), &LIVE);
    (permits, Suspects::new(suspects::Options::default()))
}

fn ask(number: u64) -> AskPermit {
    AskPermit {
        fingerprint: SUSPECT.0,
        holder: holder().0,
        number,
    }
}

fn release(number: u64) -> ReleasePermit {
    ReleasePermit {
        fingerprint: SUSPECT.0,
        holder: holder().0,
        number,
        strike: None,
    }
}

#[test]
fn one_permit_is_given_until_it_comes_back() {
    let (mut permits, mut suspects) = permits();
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
    assert_eq!(
        permits.ask(at(100), &ask(1), &mut suspects),
        Ok(()),
        "the same question"
    );
    assert!(permits.ask(at(100), &ask(2), &mut suspects).is_err());
    permits.release(at(101), &release(1), &mut suspects);
    assert_eq!(permits.ask(at(101), &ask(2), &mut suspects), Ok(()));
}

#[test]
fn a_question_that_comes_after_its_release_is_refused() {
    let (mut permits, mut suspects) = permits();
    permits.release(at(100), &release(1), &mut suspects);
    assert!(permits.ask(at(100), &ask(1), &mut suspects).is_err());
    assert_eq!(permits.ask(at(100), &ask(2), &mut suspects), Ok(()));
}

#[test]
fn the_coordinators_own_server_runs_no_suspect() {
    let (mut permits, mut suspects) = permits();
    let own = AskPermit {
        holder: me().0,
        ..ask(1)
    };
    assert!(permits.ask(at(100), &own, &mut suspects).is_err());
}

#[test]
fn a_permit_that_lapses_is_a_strike() {
    let (mut permits, mut suspects) = permits();
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
    permits.tick(at(130), &mut suspects);
    assert_eq!(suspects.check(at(130), SUSPECT), Decision::Run);
    permits.tick(at(132), &mut suspects);
    assert_eq!(suspects.check(at(132), SUSPECT), Decision::RunAlone);
}

#[test]
fn a_new_coordinator_waits_until_permits_of_another_have_lapsed() {
    let (mut permits, mut suspects) = permits();
    assert!(
        permits.ask(at(10), &ask(1), &mut suspects).is_err(),
        "it has just started"
    );
    let without = [holder()];
    permits.on_members(at(100), &without);
    permits.on_members(at(110), &LIVE);
    assert!(
        permits.ask(at(120), &ask(2), &mut suspects).is_err(),
        "another was in office"
    );
    assert_eq!(permits.ask(at(150), &ask(3), &mut suspects), Ok(()));
}

#[test]
fn a_change_that_leaves_the_coordinator_in_office_holds_nothing_up() {
    let (mut permits, mut suspects) = permits();
    permits.on_members(at(100), &[me(), holder()]);
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
}
