//! Tests of permits: one at a time per fingerprint, from one coordinator, and a strike for one that
//! expires.

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

fn coordinator_id() -> NodeId {
    coordinator(SUSPECT, &LIVE).expect("`LIVE` is not empty")
}

fn holder() -> NodeId {
    LIVE.into_iter()
        .find(|node| *node != coordinator_id())
        .expect("`LIVE` has three nodes")
}

/// The permits of the coordinator, which may give permits at 100 s because the permits of any
/// earlier coordinator have expired by then.
fn permits() -> (Permits, Suspects) {
    let mut permits = Permits::new(at(0), coordinator_id(), permits::Options::default());
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
fn one_permit_is_given_until_it_is_released() {
    let (mut permits, mut suspects) = permits();
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
    assert_eq!(
        permits.ask(at(100), &ask(1), &mut suspects),
        Ok(()),
        "a repeated permit request"
    );
    assert!(permits.ask(at(100), &ask(2), &mut suspects).is_err());
    permits.release(at(101), &release(1), &mut suspects);
    assert_eq!(permits.ask(at(101), &ask(2), &mut suspects), Ok(()));
}

#[test]
fn a_permit_request_that_arrives_after_its_release_is_refused() {
    let (mut permits, mut suspects) = permits();
    permits.release(at(100), &release(1), &mut suspects);
    assert!(permits.ask(at(100), &ask(1), &mut suspects).is_err());
    assert_eq!(permits.ask(at(100), &ask(2), &mut suspects), Ok(()));
}

#[test]
fn the_coordinators_own_server_runs_no_suspect() {
    let (mut permits, mut suspects) = permits();
    let own = AskPermit {
        holder: coordinator_id().0,
        ..ask(1)
    };
    assert!(permits.ask(at(100), &own, &mut suspects).is_err());
}

#[test]
fn a_permit_that_expires_is_a_strike() {
    let (mut permits, mut suspects) = permits();
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
    permits.tick(at(130), &mut suspects);
    assert_eq!(suspects.check(at(130), SUSPECT), Decision::Run);
    permits.tick(at(132), &mut suspects);
    assert_eq!(suspects.check(at(132), SUSPECT), Decision::RunAlone);
}

#[test]
fn a_new_coordinator_waits_until_the_permits_of_the_previous_one_have_expired() {
    let (mut permits, mut suspects) = permits();
    assert!(
        permits.ask(at(10), &ask(1), &mut suspects).is_err(),
        "the node has just started"
    );
    let others = [holder()];
    permits.on_members(at(100), &others);
    permits.on_members(at(110), &LIVE);
    assert!(
        permits.ask(at(120), &ask(2), &mut suspects).is_err(),
        "another node was coordinator"
    );
    assert_eq!(permits.ask(at(150), &ask(3), &mut suspects), Ok(()));
}

#[test]
fn a_membership_change_that_keeps_the_coordinator_causes_no_delay() {
    let (mut permits, mut suspects) = permits();
    permits.on_members(at(100), &[coordinator_id(), holder()]);
    assert_eq!(permits.ask(at(100), &ask(1), &mut suspects), Ok(()));
}
