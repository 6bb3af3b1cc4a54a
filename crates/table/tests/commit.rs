//! Commits of edits, step by step and against the in-memory platform.

use std::sync::Arc;

use cassiashunt_platform::{Memory, Platform, Version, swap};
use cassiashunt_table::{
    AUDIT_PREFIX, Block, Change, Column, Edit, EditId, HEAD_KEY, Head, RowKey, SpillLimits, Value,
    audit_prefix,
    commit::{self, Action, Commit, Event, Options, Outcome, Peers, Refused, Stored, Swapped},
    edit,
};
use cassiashunt_types::Revision;

fn set(id: u64, old: Option<u32>, new: u32) -> Edit {
    let change = Change::Cell {
        row: RowKey::DEFAULTS,
        column: Column::PerMinute,
        old: old.map(Value::Number),
        new: Some(Value::Number(new)),
    };
    Edit {
        id: EditId(id),
        who: "ada".into(),
        when: "2026-12-04T03:00:00Z".into(),
        changes: vec![change],
    }
}

fn options(max_records: usize) -> Options {
    Options {
        spill: SpillLimits {
            max_records,
            kept_records: 2,
            ..SpillLimits::default()
        },
        ..Options::default()
    }
}

fn commit(platform: &Memory, edit: Edit, options: Options) -> Outcome {
    commit::run(platform, &Peers::none(), Commit::start(edit, None, options))
}

fn stored(platform: &Memory) -> Head {
    let entry = platform
        .get(HEAD_KEY)
        .expect("the platform is up")
        .expect("a head was written");
    Head::from_bytes(&entry.value).expect("the head is valid")
}

fn revision(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Accepted { revision, .. } => Some(revision.0),
        _ => None,
    }
}

#[test]
fn an_edit_whose_swap_answer_was_lost_is_found_and_not_swapped_again() {
    let platform = Memory::default();
    platform.lose_next_answer();
    let outcome = commit(&platform, set(1, None, 10), Options::default());
    assert_eq!(revision(&outcome), Some(1));
    assert_eq!(platform.calls().swap, 1);
    assert_eq!(stored(&platform).recent().count(), 1);
}

#[test]
fn an_edit_spilled_from_the_head_while_its_answer_was_lost_is_found_in_the_audit_trail() {
    let (mut commit, action) = Commit::start(set(1, None, 10), None, options(4));
    assert!(matches!(action, Action::Read { .. }));
    let Action::Swap(proposal) = commit.on(Event::Read(None)) else {
        panic!("an edit of an empty table must be swapped at once");
    };
    let mut head = Head::clone(&proposal.head);
    let mut audit = Vec::new();
    for (id, old, new) in [(2, 10, 20), (3, 20, 30), (4, 30, 40), (5, 40, 50)] {
        head = edit::apply(&head, &set(id, Some(old), new)).expect("the expected value matches");
    }
    let (block, head) = head
        .spill(&options(4).spill)
        .expect("five records exceed max_records");
    audit.extend(Block::parse(&block.value).expect("the block is valid"));
    let action = commit.on(Event::Swapped(Swapped::Unknown));
    assert!(matches!(action, Action::Read { .. }));
    let head = Arc::new(head);
    let version = Version(9);
    let (from, to) = (Revision(1), Revision(5));
    assert_eq!(
        commit.on(Event::Read(Some(Stored { version, head }))),
        Action::ReadAudit { from, to }
    );
    let action = commit.on(Event::Audit(audit));
    assert!(matches!(action, Action::Replicate(_)), "{action:?}");
}

#[test]
fn an_edit_repeated_after_its_record_was_spilled_takes_effect_once() {
    let platform = Memory::default();
    for (id, old, new) in [
        (1, None, 10),
        (2, Some(10), 20),
        (3, Some(20), 10),
        (4, Some(10), 20),
    ] {
        let outcome = commit(&platform, set(id, old, new), options(3));
        assert!(revision(&outcome).is_some(), "{outcome}");
    }
    let restored = commit(&platform, set(5, Some(20), 10), options(3));
    assert_eq!(revision(&restored), Some(5));
    assert!(
        stored(&platform).find(EditId(2)).is_none(),
        "the record of edit 2 was not spilled from the head"
    );
    let repeated = Options {
        repeated: true,
        ..options(3)
    };
    let outcome = commit(&platform, set(2, Some(10), 20), repeated);
    assert!(revision(&outcome).is_some(), "{outcome}");
    assert_eq!(stored(&platform).revision(), Revision(5));
}

#[test]
fn records_are_written_to_the_audit_trail_before_they_are_removed_from_the_head() {
    let platform = Memory::default();
    let mut old = None;
    for id in 1..=10 {
        let value = u32::try_from(id).expect("the value fits u32");
        let outcome = commit(&platform, set(id, old, value), options(4));
        assert_eq!(revision(&outcome), Some(id));
        old = Some(value);
        let kept = platform.list(AUDIT_PREFIX).expect("the platform is up");
        let mut trail: Vec<_> = kept
            .iter()
            .flat_map(|entry| Block::parse(&entry.value).expect("the block is valid"))
            .map(|record| record.edit.0)
            .collect();
        trail.extend(stored(&platform).recent().map(|record| record.edit.0));
        assert_eq!(trail, (1..=id).collect::<Vec<_>>());
    }
}

#[test]
fn an_audit_prefix_covers_blocks_that_begin_before_the_searched_revisions() {
    let prefix = |from, to| audit_prefix(Revision(from), Revision(to));
    assert_eq!(prefix(0x12_3056, 0x12_3099), "table/audit/000000000012");
    assert_eq!(prefix(0x12_3856, 0x12_3899), "table/audit/0000000000123");
    assert_eq!(prefix(1, 0x12_3456), "table/audit/0000000000");
    let platform = Memory::default();
    let mut old = None;
    for id in 1..=200 {
        let value = u32::try_from(id).expect("the value fits u32");
        let outcome = commit(&platform, set(id, old, value), options(4));
        assert_eq!(revision(&outcome), Some(id));
        old = Some(value);
    }
    for from in 1..=190 {
        let prefix = audit_prefix(Revision(from), Revision(from));
        let found = platform.list(&prefix).expect("the platform is up");
        let mut records = found
            .iter()
            .flat_map(|entry| Block::parse(&entry.value).expect("the block is valid"));
        assert!(records.any(|record| record.revision.0 == from));
    }
}

#[test]
fn an_edit_of_a_changed_cell_conflicts_and_shows_its_value_while_edits_of_other_cells_merge() {
    let platform = Memory::default();
    let first = commit(&platform, set(1, None, 10), Options::default());
    assert_eq!(revision(&first), Some(1));
    let Outcome::Conflict(conflict) = commit(&platform, set(2, None, 20), Options::default())
    else {
        panic!("an edit that expects an empty cell must conflict");
    };
    assert_eq!(
        conflict.current,
        edit::Current::Cell(Some(Value::Number(10)))
    );
    let mut other = set(3, None, 30);
    other.changes = vec![Change::Cell {
        row: RowKey::DEFAULTS,
        column: Column::Weight,
        old: None,
        new: Some(Value::Number(7)),
    }];
    let (mut racing, _) = Commit::start(other, None, Options::default());
    let head = Arc::new(Head::default());
    let version = Version(1);
    let action = racing.on(Event::Read(Some(Stored { version, head })));
    assert!(matches!(action, Action::Swap(_)));
    let action = racing.on(Event::Swapped(Swapped::Conflict));
    assert!(matches!(action, Action::Read { .. }));
    let head = Arc::new(stored(&platform));
    let version = Version(2);
    let Action::Swap(proposal) = racing.on(Event::Read(Some(Stored { version, head }))) else {
        panic!("an edit of another cell must not conflict");
    };
    assert_eq!(proposal.expected, swap::Expected::At(version));
    assert_eq!(proposal.head.revision(), Revision(2));
}

#[test]
fn nothing_is_accepted_while_the_platform_is_down() {
    let platform = Memory::default();
    platform.set_down(true);
    let outcome = commit(
        &platform,
        set(1, None, 10),
        Options {
            reads: 3,
            ..Options::default()
        },
    );
    assert_eq!(outcome, Outcome::Refused(Refused::PlatformDown));
    platform.set_down(false);
    assert_eq!(platform.get(HEAD_KEY), Ok(None));
}

#[test]
fn the_known_head_is_reinstalled_on_a_restored_platform_and_no_revision_is_reused() {
    let platform = Memory::default();
    let first = commit(&platform, set(1, None, 10), Options::default());
    assert_eq!(revision(&first), Some(1));
    let second = commit(&platform, set(2, Some(10), 20), Options::default());
    assert_eq!(revision(&second), Some(2));
    let known = Arc::new(stored(&platform));
    platform.roll_back(1);
    let started = Commit::start(
        set(3, Some(20), 30),
        Some(Arc::clone(&known)),
        Options::default(),
    );
    let outcome = commit::run(&platform, &Peers::none(), started);
    assert_eq!(revision(&outcome), Some(3));
    let edits: Vec<_> = stored(&platform)
        .recent()
        .map(|record| record.edit.0)
        .collect();
    assert_eq!(edits, [1, 2, 3]);
    platform.roll_back(2);
    let started = Commit::start_reinstall(Arc::clone(&known), Options::default());
    let outcome = commit::run(&platform, &Peers::none(), started);
    assert_eq!(revision(&outcome), Some(2));
    assert_eq!(stored(&platform), *known);
}

#[test]
fn a_head_of_an_unsupported_format_is_never_overwritten() {
    let platform = Memory::default();
    let written = platform.swap(swap::Request {
        key: HEAD_KEY,
        expected: swap::Expected::Absent,
        value: br#"{"format":2,"rows":[]}"#,
        lease: None,
    });
    assert!(matches!(written, Ok(swap::Outcome::Applied { .. })));
    let outcome = commit(&platform, set(1, None, 10), Options::default());
    assert!(matches!(
        outcome,
        Outcome::Refused(Refused::Unreadable { .. })
    ));
    assert_eq!(platform.calls().swap, 1);
}
