//! Rows, routes, keys and their lookup.

use std::time::Duration;

use cassiashunt_table::{
    Applied, Binding, Change, Column, Edit, EditId, Head, Key, KeyState, Lookup, MinuteLimit,
    Offer, Rate, RateLimit, RowKey, Scope, SpillLimits, Table, Value, Verifier, diff, edit,
};
use cassiashunt_types::{Revision, Workspace};

fn row(text: &str) -> RowKey {
    text.parse().expect("a row")
}

fn cell(key: &str, column: &str, new: &str) -> Change {
    let column: Column = column.parse().expect("a column");
    Change::Cell {
        row: row(key),
        column,
        old: None,
        new: Some(column.parse(new).expect("a value")),
    }
}

fn route(endpoint: &str, bound: &str) -> Change {
    let names: Vec<_> = bound.split(',').collect();
    Change::Route {
        endpoint: endpoint.parse().expect("an endpoint"),
        old: None,
        new: Some(Binding {
            route: names[0].parse().expect("a name"),
            class: names[1].parse().expect("a name"),
            service: names[2].parse().expect("a name"),
        }),
    }
}

fn edited(head: &Head, id: u64, changes: Vec<Change>) -> Result<Head, edit::Error> {
    let edit = Edit {
        id: EditId(id),
        who: "ada".into(),
        when: "now".into(),
        changes,
    };
    edit::apply(head, &edit)
}

fn workspace(name: &str) -> Workspace {
    name.parse().expect("a name")
}

fn resolve(
    lookup: &Lookup,
    workspace: &str,
    route: &str,
    class: &str,
) -> cassiashunt_table::RequestPolicy {
    let name = "names are short";
    lookup.resolve(
        workspace.parse().expect(name),
        route.parse().expect(name),
        class.parse().expect(name),
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
    for set in 1..=rows.len() {
        let changes = rows[..set]
            .iter()
            .map(|(key, value)| cell(key, "weight", value));
        let head = edited(&Head::default(), 1, changes.collect()).expect("valid");
        let lookup = Lookup::new(&head);
        let weight = resolve(&lookup, "w", "r", "c").weight;
        assert_eq!(usize::try_from(weight), Ok(set));
    }
}

#[test]
fn each_column_is_looked_for_by_itself_and_scopes_follow_the_row() {
    let changes = vec![
        cell("*,*,*", "rate", "12.5"),
        cell("paint,*,*", "burst", "40"),
        cell("*,booking,*", "per-minute", "600"),
        cell("*,*,sign-off", "priority", "200"),
        cell("paint,booking,*", "idempotent", "yes"),
        cell("*,booking,*", "open", "yes"),
        cell("*,*,*", "deadline-ms", "1500"),
    ];
    let lookup = Lookup::new(&edited(&Head::default(), 1, changes).expect("valid"));
    let found = resolve(&lookup, "paint", "booking", "sign-off");
    let rate = Rate::from_milli(12_500);
    assert_eq!(found.limit, Some(RateLimit { rate, burst: 40 }));
    let scope = Scope {
        route: true,
        class: false,
    };
    assert_eq!(found.minute, Some(MinuteLimit { limit: 600, scope }));
    assert_eq!(
        (found.priority, found.idempotent, found.open),
        (200, true, true)
    );
    assert_eq!(
        (found.deadline, found.retries),
        (Duration::from_millis(1_500), 2)
    );
    let other = resolve(&lookup, "wigs", "catalogue", "read");
    assert_eq!(
        other.limit,
        Some(RateLimit { rate, burst: 13 }),
        "one second of the rate"
    );
    assert_eq!((other.minute, other.weight, other.open), (None, 1, false));
}

#[test]
fn the_longest_prefix_wins_and_then_the_method() {
    let changes = vec![
        route("* /", "site,read,showroom"),
        route("* /sections", "sections,read,rota"),
        route("POST /sections", "sections,write,rota"),
        route("POST /sections/signoffs", "signoffs,sign-off,ledger"),
    ];
    let lookup = Lookup::new(&edited(&Head::default(), 1, changes).expect("valid"));
    let class = |method, path| lookup.bind(method, path).expect("bound").class.to_string();
    assert_eq!(class("GET", "/sections/today"), "read");
    assert_eq!(class("POST", "/sections"), "write");
    assert_eq!(class("POST", "/sections/signoffs/7"), "sign-off");
    assert_eq!(class("GET", "/sections/signoffs"), "read");
    assert_eq!(class("POST", "/sectionsx"), "read");
    assert_eq!(Lookup::default().bind("GET", "/"), None);
}

#[test]
fn values_that_make_no_sense_are_refused_with_what_to_write() {
    let refused = |key: &str, column: &str, value: Value| {
        let change = Change::Cell {
            row: row(key),
            column: column.parse().expect("a column"),
            old: None,
            new: Some(value),
        };
        edited(&Head::default(), 1, vec![change])
            .expect_err("makes no sense")
            .to_string()
    };
    assert!(refused("w,r,*", "rate", Value::Rate(Rate::from_whole(1))).contains("route and class"));
    assert!(refused("w,*,*", "open", Value::Flag(true)).contains("workspace is *"));
    assert!(refused("w,*,*", "weight", Value::Number(0)).contains("1 to 1000"));
    assert!(refused("w,*,*", "weight", Value::Flag(true)).contains("wrong kind"));
}

#[test]
fn keys_are_found_by_verifier_and_withdrawn_for_good() {
    let key = Key::generate();
    let id = key.verifier().key_id();
    let give = Change::GiveKey {
        workspace: workspace("paint"),
        verifier: key.verifier(),
    };
    let given = edited(&Head::default(), 1, vec![give.clone()]).expect("a new key");
    let entry = Lookup::new(&given)
        .key(&Verifier::of(key.reveal()))
        .expect("given");
    assert_eq!((entry.id, entry.workspace), (id, workspace("paint")));
    assert_eq!(
        (entry.state, entry.changed),
        (KeyState::Active, Revision(1))
    );
    assert!(edited(&given, 2, vec![Change::ForgetKey { id }]).is_err());
    let withdrawn = edited(&given, 2, vec![Change::WithdrawKey { id }]).expect("active");
    let entry = Lookup::new(&withdrawn)
        .key(&key.verifier())
        .expect("still known");
    assert_eq!(
        (entry.state, entry.changed),
        (KeyState::Withdrawn, Revision(2))
    );
    assert!(edited(&withdrawn, 3, vec![Change::WithdrawKey { id }]).is_err());
    assert!(edited(&withdrawn, 3, vec![give]).is_err());
    let forgotten = edited(&withdrawn, 3, vec![Change::ForgetKey { id }]).expect("withdrawn");
    assert_eq!(Lookup::new(&forgotten).key(&key.verifier()), None);
}

#[test]
fn a_key_shows_neither_in_debug_forms_nor_in_the_head() {
    let key = Key::generate();
    assert!(key.reveal().starts_with("cassia_"));
    assert_ne!(key.reveal(), Key::generate().reveal());
    let give = Change::GiveKey {
        workspace: workspace("paint"),
        verifier: key.verifier(),
    };
    let head = edited(&Head::default(), 1, vec![give]).expect("a new key");
    let json = String::from_utf8(head.to_bytes()).expect("JSON");
    for text in [format!("{key:?}"), format!("{head:?}"), json] {
        assert!(!text.contains(key.reveal()));
    }
}

#[test]
fn a_node_takes_newer_heads_and_reports_older_ones_and_forks() {
    let first = edited(&Head::default(), 1, vec![cell("*,*,*", "weight", "1")]).expect("valid");
    let second = edited(&first, 2, vec![cell("*,*,*", "retries", "1")]).expect("valid");
    let fork = edited(&first, 3, vec![cell("*,*,*", "priority", "1")]).expect("valid");
    let fork = edited(&fork, 4, vec![cell("*,*,*", "burst", "1")]).expect("valid");
    let mut applied = Applied::default();
    let (ours, theirs) = (Revision(2), Revision(1));
    assert_eq!(
        applied.offer(second.clone().into()),
        Offer::Taken { revision: ours }
    );
    assert_eq!(applied.offer(first.into()), Offer::Older { ours, theirs });
    assert_eq!(applied.offer(second.into()), Offer::Same);
    let theirs = Revision(3);
    assert_eq!(applied.offer(fork.into()), Offer::Forked { ours, theirs });
    assert_eq!(applied.lookup().revision(), Revision(2));
}

#[test]
fn a_node_that_follows_records_has_the_same_table_and_keys() {
    let first = edited(&Head::default(), 1, vec![cell("*,*,*", "weight", "1")]).expect("valid");
    let verifier = Key::generate().verifier();
    let workspace = workspace("paint");
    let give = Change::GiveKey {
        workspace,
        verifier,
    };
    let second = edited(&first, 2, vec![give]).expect("a new key");
    let id = verifier.key_id();
    let third = edited(&second, 3, vec![Change::WithdrawKey { id }]).expect("active");
    let line = first.line().expect("one edit");
    let records = third.records_after(line).expect("all recent");
    assert_eq!(records.len(), 2);
    let mut applied = Applied::default();
    assert_eq!(
        applied.offer(first.into()),
        Offer::Taken {
            revision: Revision(1)
        }
    );
    let limits = SpillLimits::default();
    let revision = Revision(3);
    assert_eq!(
        applied.offer_records(&records, &limits),
        Ok(Offer::Taken { revision })
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
fn an_edit_that_would_pass_a_megabyte_is_refused() {
    let mut head = Head::default();
    for id in 1.. {
        let cells = (0..2_000).map(|row| cell(&format!("w{id}-{row},*,*"), "weight", "3"));
        match edited(&head, id, cells.collect()) {
            Ok(next) => {
                head = next
                    .spill(&Default::default())
                    .map_or(next, |(_, rest)| rest)
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
    let before = edited(
        &Head::default(),
        1,
        vec![
            cell("a,*,*", "weight", "1"),
            cell("b,*,*", "weight", "2"),
            route("* /a", "a,read,rota"),
        ],
    );
    let before = before.expect("valid");
    let mut after = Table::default();
    let weight = Some(Value::Number(9));
    after
        .set(row("b,*,*"), Column::Weight, weight)
        .expect("valid");
    after
        .set(row("c,*,*"), Column::Retries, weight)
        .expect("valid");
    let changes = diff::diff(before.table(), &after);
    let turned = edited(&before, 2, changes).expect("nothing else changed");
    assert_eq!(*turned.table(), after);
    assert_eq!(diff::diff(turned.table(), &after), []);
}
