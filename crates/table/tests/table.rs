//! Tests of rows, routes and keys, of their lookup, and of how a node applies heads and records.

use std::time::Duration;

use cassiashunt_table::{
    Applied, Binding, Change, Column, Edit, EditId, Head, Key, KeyState, Lookup, MinuteLimit,
    Offer, Rate, RateLimit, RowKey, Scope, SpillLimits, Table, Value, Verifier, diff, edit,
};
use cassiashunt_types::{Revision, Workspace};

fn row(text: &str) -> RowKey {
    text.parse().expect("invalid row key")
}

fn set_cell(key: &str, column: &str, new: &str) -> Change {
    let column: Column = column.parse().expect("unknown column");
    Change::Cell {
        row: row(key),
        column,
        old: None,
        new: Some(column.parse(new).expect("invalid value")),
    }
}

fn set_route(endpoint: &str, binding: &str) -> Change {
    let names: Vec<_> = binding.split(',').collect();
    Change::Route {
        endpoint: endpoint.parse().expect("invalid endpoint"),
        old: None,
        new: Some(Binding {
            route: names[0].parse().expect("invalid name"),
            class: names[1].parse().expect("invalid name"),
            service: names[2].parse().expect("invalid name"),
        }),
    }
}

fn apply_edit(head: &Head, id: u64, changes: Vec<Change>) -> Result<Head, edit::Error> {
    let edit = Edit {
        id: EditId(id),
        who: "ada".into(),
        when: "now".into(),
        changes,
    };
    edit::apply(head, &edit)
}

fn workspace(name: &str) -> Workspace {
    name.parse().expect("invalid name")
}

fn resolve(
    lookup: &Lookup,
    workspace: &str,
    route: &str,
    class: &str,
) -> cassiashunt_table::RequestPolicy {
    let invalid = "invalid name";
    lookup.resolve(
        workspace.parse().expect(invalid),
        route.parse().expect(invalid),
        class.parse().expect(invalid),
    )
}

#[test]
fn a_cell_comes_from_the_most_specific_row_that_sets_its_column() {
    let rows = [
        ("*,*,*", "1"),
        ("*,*,c", "2"),
        ("*,r,*", "3"),
        ("*,r,c", "4"),
        ("w,*,*", "5"),
        ("w,*,c", "6"),
        ("w,r,*", "7"),
        ("w,r,c", "8"),
    ];
    for row_count in 1..=rows.len() {
        let changes = rows[..row_count]
            .iter()
            .map(|(key, value)| set_cell(key, "weight", value));
        let head = apply_edit(&Head::default(), 1, changes.collect()).expect("edit rejected");
        let lookup = Lookup::new(&head);
        let weight = resolve(&lookup, "w", "r", "c").weight;
        assert_eq!(usize::try_from(weight), Ok(row_count));
    }
}

#[test]
fn each_column_is_resolved_separately_and_the_row_sets_the_scope_of_a_minute_limit() {
    let changes = vec![
        set_cell("*,*,*", "rate", "12.5"),
        set_cell("paint,*,*", "burst", "40"),
        set_cell("*,booking,*", "per-minute", "600"),
        set_cell("*,*,sign-off", "priority", "200"),
        set_cell("paint,booking,*", "idempotent", "yes"),
        set_cell("*,booking,*", "open", "yes"),
        set_cell("*,*,*", "deadline-ms", "1500"),
    ];
    let lookup = Lookup::new(&apply_edit(&Head::default(), 1, changes).expect("edit rejected"));
    let policy = resolve(&lookup, "paint", "booking", "sign-off");
    let rate = Rate::from_milli(12_500);
    assert_eq!(policy.limit, Some(RateLimit { rate, burst: 40 }));
    let scope = Scope {
        route: true,
        class: false,
    };
    assert_eq!(policy.minute, Some(MinuteLimit { limit: 600, scope }));
    assert_eq!(
        (policy.priority, policy.idempotent, policy.open),
        (200, true, true)
    );
    assert_eq!(
        (policy.deadline, policy.retries),
        (Duration::from_millis(1_500), 2)
    );
    let other = resolve(&lookup, "wigs", "catalogue", "read");
    assert_eq!(
        other.limit,
        Some(RateLimit { rate, burst: 13 }),
        "the default burst is one second of the rate"
    );
    assert_eq!((other.minute, other.weight, other.open), (None, 1, false));
}

#[test]
fn the_longest_prefix_takes_precedence_and_then_a_named_method() {
    let changes = vec![
        set_route("* /", "site,read,showroom"),
        set_route("* /sections", "sections,read,rota"),
        set_route("POST /sections", "sections,write,rota"),
        set_route("POST /sections/signoffs", "signoffs,sign-off,ledger"),
    ];
    let lookup = Lookup::new(&apply_edit(&Head::default(), 1, changes).expect("edit rejected"));
    let class = |method, path| lookup.bind(method, path).expect("bound").class.to_string();
    assert_eq!(class("GET", "/sections/today"), "read");
    assert_eq!(class("POST", "/sections"), "write");
    assert_eq!(class("POST", "/sections/signoffs/7"), "sign-off");
    assert_eq!(class("GET", "/sections/signoffs"), "read");
    assert_eq!(class("POST", "/sectionsx"), "read");
    assert_eq!(Lookup::default().bind("GET", "/"), None);
}

#[test]
fn invalid_values_are_rejected_with_the_valid_range_or_rows() {
    let rejection = |key: &str, column: &str, value: Value| {
        let change = Change::Cell {
            row: row(key),
            column: column.parse().expect("unknown column"),
            old: None,
            new: Some(value),
        };
        apply_edit(&Head::default(), 1, vec![change])
            .expect_err("an invalid value was accepted")
            .to_string()
    };
    assert!(
        rejection("w,r,*", "rate", Value::Rate(Rate::from_whole(1))).contains("route and class")
    );
    assert!(rejection("w,*,*", "open", Value::Flag(true)).contains("workspace is *"));
    assert!(rejection("w,*,*", "weight", Value::Number(0)).contains("1 to 1000"));
    assert!(rejection("w,*,*", "weight", Value::Flag(true)).contains("wrong kind"));
}

#[test]
fn keys_are_found_by_verifier_and_stay_withdrawn() {
    let key = Key::generate();
    let id = key.verifier().key_id();
    let give_key = Change::GiveKey {
        workspace: workspace("paint"),
        verifier: key.verifier(),
    };
    let issued = apply_edit(&Head::default(), 1, vec![give_key.clone()]).expect("new key rejected");
    let entry = Lookup::new(&issued)
        .key(&Verifier::of(key.reveal()))
        .expect("issued key not found");
    assert_eq!((entry.id, entry.workspace), (id, workspace("paint")));
    assert_eq!(
        (entry.state, entry.changed),
        (KeyState::Active, Revision(1))
    );
    assert!(apply_edit(&issued, 2, vec![Change::ForgetKey { id }]).is_err());
    let withdrawn = apply_edit(&issued, 2, vec![Change::WithdrawKey { id }])
        .expect("withdrawal of an active key rejected");
    let entry = Lookup::new(&withdrawn)
        .key(&key.verifier())
        .expect("withdrawn key not found");
    assert_eq!(
        (entry.state, entry.changed),
        (KeyState::Withdrawn, Revision(2))
    );
    assert!(apply_edit(&withdrawn, 3, vec![Change::WithdrawKey { id }]).is_err());
    assert!(apply_edit(&withdrawn, 3, vec![give_key]).is_err());
    let forgotten = apply_edit(&withdrawn, 3, vec![Change::ForgetKey { id }])
        .expect("removal of a withdrawn key rejected");
    assert_eq!(Lookup::new(&forgotten).key(&key.verifier()), None);
}

#[test]
fn neither_debug_output_nor_the_head_contains_a_key() {
    let key = Key::generate();
    assert!(key.reveal().starts_with("cassia_"));
    assert_ne!(key.reveal(), Key::generate().reveal());
    let give_key = Change::GiveKey {
        workspace: workspace("paint"),
        verifier: key.verifier(),
    };
    let head = apply_edit(&Head::default(), 1, vec![give_key]).expect("new key rejected");
    let json = String::from_utf8(head.to_bytes()).expect("head is not UTF-8");
    for text in [format!("{key:?}"), format!("{head:?}"), json] {
        assert!(!text.contains(key.reveal()));
    }
}

#[test]
fn a_node_applies_newer_heads_and_reports_older_ones_and_forks() {
    let first = apply_edit(&Head::default(), 1, vec![set_cell("*,*,*", "weight", "1")])
        .expect("edit rejected");
    let second =
        apply_edit(&first, 2, vec![set_cell("*,*,*", "retries", "1")]).expect("edit rejected");
    let fork =
        apply_edit(&first, 3, vec![set_cell("*,*,*", "priority", "1")]).expect("edit rejected");
    let fork = apply_edit(&fork, 4, vec![set_cell("*,*,*", "burst", "1")]).expect("edit rejected");
    let mut applied = Applied::default();
    let (ours, theirs) = (Revision(2), Revision(1));
    assert_eq!(
        applied.offer(second.clone().into()),
        Offer::Applied { revision: ours }
    );
    assert_eq!(applied.offer(first.into()), Offer::Older { ours, theirs });
    assert_eq!(applied.offer(second.into()), Offer::Same);
    let theirs = Revision(3);
    assert_eq!(applied.offer(fork.into()), Offer::Forked { ours, theirs });
    assert_eq!(applied.lookup().revision(), Revision(2));
}

#[test]
fn a_node_that_applies_audit_records_has_the_same_table_and_keys() {
    let first = apply_edit(&Head::default(), 1, vec![set_cell("*,*,*", "weight", "1")])
        .expect("edit rejected");
    let verifier = Key::generate().verifier();
    let workspace = workspace("paint");
    let give_key = Change::GiveKey {
        workspace,
        verifier,
    };
    let second = apply_edit(&first, 2, vec![give_key]).expect("new key rejected");
    let id = verifier.key_id();
    let third = apply_edit(&second, 3, vec![Change::WithdrawKey { id }])
        .expect("withdrawal of an active key rejected");
    let line = first.line().expect("head without an edit");
    let records = third
        .records_after(line)
        .expect("records missing in the head");
    assert_eq!(records.len(), 2);
    let mut applied = Applied::default();
    assert_eq!(
        applied.offer(first.into()),
        Offer::Applied {
            revision: Revision(1)
        }
    );
    let limits = SpillLimits::default();
    let revision = Revision(3);
    assert_eq!(
        applied.offer_records(&records, &limits),
        Ok(Offer::Applied { revision })
    );
    assert_eq!(applied.head().map(|head| Head::clone(head)), Some(third));
    assert_eq!(
        applied
            .offer_records(&records, &limits)
            .map_err(|err| err.line),
        Err(records[0].line)
    );
}

#[test]
fn an_edit_that_would_grow_the_head_beyond_one_megabyte_is_rejected() {
    let mut head = Head::default();
    for id in 1.. {
        let cells = (0..2_000).map(|row| set_cell(&format!("w{id}-{row},*,*"), "weight", "3"));
        match apply_edit(&head, id, cells.collect()) {
            Ok(next) => {
                head = next
                    .spill(&Default::default())
                    .map_or(next, |(_, remaining)| remaining)
            }
            Err(edit::Error::HeadTooLarge { bytes }) => {
                assert!(bytes > 1_000_000);
                break;
            }
            Err(err) => panic!("{err}"),
        }
    }
    assert!(head.to_bytes().len() <= 1_000_000);
}

#[test]
fn the_changes_of_a_diff_turn_one_table_into_the_other() {
    let before = apply_edit(
        &Head::default(),
        1,
        vec![
            set_cell("a,*,*", "weight", "1"),
            set_cell("b,*,*", "weight", "2"),
            set_route("* /a", "a,read,rota"),
        ],
    );
    let before = before.expect("edit rejected");
    let mut after = Table::default();
    let weight = Some(Value::Number(9));
    after
        .set(row("b,*,*"), Column::Weight, weight)
        .expect("value rejected");
    after
        .set(row("c,*,*"), Column::Retries, weight)
        .expect("value rejected");
    let changes = diff::diff(before.table(), &after);
    let patched = apply_edit(&before, 2, changes).expect("diff does not apply to its first table");
    assert_eq!(*patched.table(), after);
    assert_eq!(diff::diff(patched.table(), &after), []);
}
