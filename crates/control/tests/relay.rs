//! Tests of the relay role, of the election of relays, of edits of the control value and of claims.

use cassiashunt_control::{
    Candidate, Claim, ClaimOptions, Control, Heads, Relay, ShardKey, ShardKind, Stage,
    due_replacement, edit, relay,
};
use cassiashunt_types::{Epoch, FailureDomain, NodeId, Revision, ShardId, Time};

const SHARD: ShardKey = ShardKey {
    kind: ShardKind::Home,
    id: ShardId(4),
};

fn ikeja() -> FailureDomain {
    "ikeja".parse().expect("ikeja is a valid label")
}

fn add(control: &Control, node: u64) -> Control {
    let replace = edit::Replace {
        domain: ikeja(),
        remove: None,
        add: Some(NodeId(node)),
    };
    edit::replace(control, replace).expect("the domain has fewer relays than its maximum")
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn heads(table: u64, control: u64) -> Heads {
    Heads {
        table: Revision(table),
        control: Revision(control),
    }
}

/// The only relay of the only failure domain, after its first read.
fn only_relay() -> Relay {
    let mut relay = Relay::new(NodeId(1), relay::Options::default());
    relay.on(
        millis(0),
        relay::Event::Control(add(&Control::default(), 1)),
    );
    let asked = millis(1);
    let heads = heads(5, 1);
    relay.on(millis(2), relay::Event::HeadsRead { asked, heads });
    relay
}

#[test]
fn the_first_relay_vouches_after_it_read_the_platform() {
    let mut relay = Relay::new(NodeId(1), relay::Options::default());
    relay.on(
        millis(0),
        relay::Event::Control(add(&Control::default(), 1)),
    );
    assert!(!relay.reports(millis(0))[0].vouches);
    assert_eq!(
        relay.on(millis(1), relay::Event::Tick),
        [relay::Action::ReadHeads]
    );
    let asked = millis(1);
    let actions = relay.on(
        millis(2),
        relay::Event::HeadsRead {
            asked,
            heads: heads(5, 1),
        },
    );
    assert!(matches!(actions[..], [relay::Action::PrunePrevious { .. }]));
    let report = relay.reports(millis(31))[0];
    assert!(report.vouches);
    assert_eq!(
        (report.table, report.platform_age_micros),
        (5, Some(30_000))
    );
}

#[test]
fn an_older_platform_revision_is_reported_as_reverted() {
    let mut relay = only_relay();
    let event = relay::Event::HeadsRead {
        asked: millis(1_000),
        heads: heads(4, 1),
    };
    let actions = relay.on(millis(1_001), event);
    let found = heads(4, 1);
    let known = heads(5, 1);
    assert_eq!(actions, [relay::Action::Reverted { found, known }]);
    let report = relay.reports(millis(1_001))[0];
    assert_eq!(
        (report.table, report.platform_age_micros),
        (5, Some(1_000_000))
    );
}

#[test]
fn a_read_sent_before_a_newer_revision_was_known_is_not_a_reversion() {
    let mut relay = only_relay();
    relay.on(millis(1_000), relay::Event::Table(Revision(6)));
    let event = relay::Event::HeadsRead {
        asked: millis(999),
        heads: heads(5, 1),
    };
    assert!(relay.on(millis(1_001), event).is_empty());
}

#[test]
fn a_role_is_handed_over_once_and_not_reported_afterwards() {
    let mut relay = only_relay();
    let to = Some(NodeId(2));
    let actions = relay.on(millis(100), relay::Event::Stop { to });
    let [relay::Action::HandOver(msg)] = actions[..] else {
        panic!("{actions:?}");
    };
    assert!(relay.reports(millis(101)).is_empty());
    assert!(relay.applied().is_empty());
    let control = add(&Control::default(), 1);
    let next = add(&control, 3);
    relay.on(millis(102), relay::Event::Control(next));
    assert!(relay.reports(millis(103)).is_empty());

    let mut other = Relay::new(NodeId(2), relay::Options::default());
    other.on(millis(7), relay::Event::Control(control.clone()));
    other.on(millis(8), relay::Event::HandedOver(msg));
    other.on(millis(9), relay::Event::HandedOver(msg));
    let reports = other.reports(millis(9));
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].relay, reports[0].bearer), (1, 2));
    assert!(reports[0].vouches && reports[0].table == 5);

    let mut third = Relay::new(NodeId(3), relay::Options::default());
    third.on(millis(8), relay::Event::HandedOver(msg));
    assert!(third.reports(millis(9)).is_empty());
}

#[test]
fn election_fills_the_domain_and_replaces_lost_relays_one_at_a_time() {
    let live = |nodes: &[u64]| -> Vec<Candidate> {
        let candidate = |node: &u64| Candidate {
            node: NodeId(*node),
            domain: ikeja(),
        };
        nodes.iter().map(candidate).collect()
    };
    let mut control = Control::default();
    let mut replacements = 0;
    while let Some(replace) = due_replacement(&control, ikeja(), &live(&[1, 2, 3, 4, 5])) {
        control = edit::replace(&control, replace).expect("the elected replacement applies");
        replacements += 1;
    }
    assert_eq!((replacements, control.relays().count()), (3, 3));
    let lost = control
        .relays()
        .next()
        .expect("the domain has three relays");
    let others: Vec<u64> = (1..=5).filter(|node| *node != lost.0).collect();
    let replace =
        due_replacement(&control, ikeja(), &live(&others)).expect("one relay is not live");
    assert_eq!(replace.remove, Some(lost));
    assert_eq!(due_replacement(&control, ikeja(), &[]), None);
}

#[test]
fn a_control_value_survives_serialization() {
    let claim = edit::TakeOver {
        key: SHARD,
        expected: Epoch(0),
        primary: NodeId(u64::MAX),
        backup: Some(NodeId(2)),
        lossy: true,
    };
    let control = add(&add(&Control::default(), 1), 2);
    let control = edit::take_over(&control, claim).expect("the shard was never claimed");
    let text = serde_json::to_string(&control).expect("the control value serializes");
    let read: Control = serde_json::from_str(&text).expect("the serialized control value parses");
    assert_eq!(read, control);
    assert_eq!(
        read.shard(SHARD).map(|shard| shard.lossy),
        Some(Some(Epoch(1)))
    );
}

#[test]
fn of_two_claims_from_the_same_epoch_one_fails() {
    let claim = |primary| edit::TakeOver {
        key: SHARD,
        expected: Epoch(0),
        primary: NodeId(primary),
        backup: None,
        lossy: false,
    };
    let first =
        edit::take_over(&Control::default(), claim(1)).expect("the shard was never claimed");
    let second = edit::take_over(&first, claim(2));
    assert_eq!(second, Err(edit::Error::EpochMoved { current: Epoch(1) }));

    let mut losing_claim = Claim::new(NodeId(2), ikeja(), SHARD, Epoch(0), ClaimOptions::default());
    losing_claim.on_control_read(millis(1), &first);
    assert_eq!(losing_claim.stage(), Stage::Lost);
}

#[test]
fn a_claim_after_a_hand_over_is_ready_once_it_is_durable() {
    let claim = edit::TakeOver {
        key: SHARD,
        expected: Epoch(0),
        primary: NodeId(2),
        backup: None,
        lossy: false,
    };
    let written = edit::take_over(&Control::default(), claim).expect("the shard was never claimed");
    let options = ClaimOptions::default();
    let mut claim = Claim::after_hand_over(NodeId(2), ikeja(), SHARD, Epoch(0), options);
    assert_eq!(claim.stage(), Stage::Writing);
    claim.on_control_read(millis(1), &written);
    assert_eq!(claim.stage(), Stage::Ready(Epoch(1)));
}
