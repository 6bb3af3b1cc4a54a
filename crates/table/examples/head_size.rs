//! Prints what the head costs for each row, key and audit record, and at a large fleet's size.

use std::{error::Error, hint::black_box, time::Instant};

use cassiashunt_table::{
    Binding, Change, Column, Edit, EditId, Endpoint, Head, Lookup, Verifier, csv, edit,
};

type Outcome<T> = Result<T, Box<dyn Error>>;

/// How many rows, keys and records the costs are averaged over.
const COUNT: u64 = 1_000;
/// How many lookups are timed.
const LOOKUPS: u32 = 1_000_000;
/// How many workspaces the large table has, each with a row of three cells and two keys.
const WORKSPACES: u64 = 1_500;
/// How many routes the large table has, each with a row of two cells.
const ROUTES: u64 = 350;

fn main() -> Outcome<()> {
    costs("a row of 3 cells", |n| cells(&workspace_row(n), &THREE))?;
    costs("a row of 8 cells", |n| cells(&workspace_row(n), &EIGHT))?;
    costs("a key", |n| Ok(vec![key(n, n)?]))?;
    costs("a route", |n| Ok(vec![route(n)?]))?;
    let large = large()?;
    sizes(&large);
    times(&large)
}

const THREE: [(&str, &str); 3] = [("weight", "10"), ("rate", "120.5"), ("burst", "240")];

const EIGHT: [(&str, &str); 8] = [
    ("weight", "10"),
    ("rate", "120.5"),
    ("burst", "240"),
    ("per-minute", "6000"),
    ("priority", "100"),
    ("idempotent", "yes"),
    ("deadline-ms", "2500"),
    ("retries", "2"),
];

fn workspace_row(n: u64) -> String {
    format!("workspace-{n:04},*,*")
}

fn cells(row: &str, cells: &[(&str, &str)]) -> Outcome<Vec<Change>> {
    cells
        .iter()
        .map(|(column, value)| cell(row, column, value))
        .collect()
}

fn cell(row: &str, column: &str, value: &str) -> Outcome<Change> {
    let column: Column = column.parse()?;
    Ok(Change::Cell {
        row: row.parse()?,
        column,
        old: None,
        new: Some(column.parse(value)?),
    })
}

fn key(n: u64, workspace: u64) -> Outcome<Change> {
    let workspace = format!("workspace-{workspace:04}").parse()?;
    let verifier = Verifier::of(&n.to_string());
    Ok(Change::GiveKey {
        workspace,
        verifier,
    })
}

fn route(n: u64) -> Outcome<Change> {
    let endpoint: Endpoint = format!("POST /service-{:02}/route-{n:03}", n % 35).parse()?;
    let binding = Binding {
        route: format!("route-{n:03}").parse()?,
        class: "write".parse()?,
        service: format!("service-{:02}", n % 35).parse()?,
    };
    Ok(Change::Route {
        endpoint,
        old: None,
        new: Some(binding),
    })
}

/// One edit, with what is too old taken out of the head.
fn apply(head: &Head, id: u64, changes: Vec<Change>) -> Outcome<Head> {
    let edit = Edit {
        id: EditId(id),
        who: "ada@example.org".into(),
        when: "2026-12-04T03:00:00Z".into(),
        changes,
    };
    let head = edit::apply(head, &edit)?;
    Ok(head
        .spill(&Default::default())
        .map_or(head, |(_, rest)| rest))
}

/// Prints what one more of these costs in the head, and its audit record besides.
fn costs(what: &str, changes: impl Fn(u64) -> Outcome<Vec<Change>>) -> Outcome<()> {
    let mut head = Head::default();
    let mut records = 0;
    for n in 0..COUNT {
        head = apply(&head, n, changes(n)?)?;
        records += last_record_bytes(&head);
    }
    let each = content_bytes(&head) / COUNT;
    println!(
        "{what}: {each} bytes, {} for its audit record",
        records / COUNT
    );
    Ok(())
}

fn last_record_bytes(head: &Head) -> u64 {
    let last = head.recent().next_back();
    last.map_or(0, json_bytes)
}

fn json_bytes(record: &cassiashunt_table::Record) -> u64 {
    serde_json::to_vec(record).map_or(0, |json| json.len() as u64)
}

/// The bytes of a head without its audit records.
fn content_bytes(head: &Head) -> u64 {
    let records: u64 = head.recent().map(json_bytes).sum();
    head.to_bytes().len() as u64 - records
}

fn large() -> Outcome<Head> {
    let mut head = Head::default();
    for n in 0..WORKSPACES {
        let mut changes = cells(&workspace_row(n), &THREE)?;
        changes.push(key(2 * n, n)?);
        changes.push(key(2 * n + 1, n)?);
        head = apply(&head, n, changes)?;
    }
    for n in 0..ROUTES {
        let mut changes = cells(&format!("*,route-{n:03},*"), &EIGHT[6..])?;
        changes.push(route(n)?);
        head = apply(&head, WORKSPACES + n, changes)?;
    }
    Ok(head)
}

fn sizes(head: &Head) {
    let bytes = head.to_bytes().len();
    let records = head.recent().count();
    println!("{WORKSPACES} workspaces with 2 keys each, {ROUTES} routes: head of {bytes} bytes");
    println!(
        "of these {} for {records} audit records",
        bytes as u64 - content_bytes(head)
    );
    println!("CSV: {} bytes of rows", csv::write_rows(head.table()).len());
}

fn times(head: &Head) -> Outcome<()> {
    let bytes = head.to_bytes();
    timed("head written", || head.to_bytes());
    timed("head read", || {
        Head::from_bytes(&bytes).map(|head| head.revision())
    });
    timed("lookup compiled", || Lookup::new(head));
    let change = cell("workspace-0500,*,*", "priority", "9")?;
    timed("edit applied", || {
        apply(head, u64::MAX, vec![change.clone()])
            .map(|head| head.revision())
            .ok()
    });
    let lookup = Lookup::new(head);
    let names = (
        "workspace-0500".parse()?,
        "route-100".parse()?,
        "read".parse()?,
    );
    let started = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(lookup.resolve(black_box(names.0), names.1, names.2));
    }
    println!("cell looked up in {:?}", started.elapsed() / LOOKUPS);
    let started = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(lookup.bind(black_box("POST"), black_box("/service-30/route-100/7")));
    }
    println!("endpoint looked up in {:?}", started.elapsed() / LOOKUPS);
    Ok(())
}

/// Prints the shortest of a few runs.
fn timed<T>(what: &str, run: impl Fn() -> T) {
    let shortest = (0..20).map(|_| {
        let started = Instant::now();
        black_box(run());
        started.elapsed()
    });
    println!("{what} in {:?}", shortest.min().unwrap_or_default());
}
