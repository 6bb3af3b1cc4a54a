//! Prints the size that each row, key, route and audit record adds to a head, and the size and
//! processing times of the head of a large fleet.

use std::{error::Error, hint::black_box, time::Instant};

use cassiashunt_table::{
    Binding, Change, Column, Edit, EditId, Endpoint, Head, Lookup, Verifier, csv, edit,
};

type BoxedResult<T> = Result<T, Box<dyn Error>>;

/// The number of rows, keys and records over which the sizes are averaged.
const SAMPLE_COUNT: u64 = 1_000;
/// The number of timed lookups.
const LOOKUP_COUNT: u32 = 1_000_000;
/// The number of workspaces of the large table, each with a row of three cells and two keys.
const WORKSPACE_COUNT: u64 = 1_500;
/// The number of routes of the large table, each with a row of two cells.
const ROUTE_COUNT: u64 = 350;

fn main() -> BoxedResult<()> {
    print_costs("a row of 3 cells", |n| set_cells(&row_key(n), &THREE_CELLS))?;
    print_costs("a row of 8 cells", |n| set_cells(&row_key(n), &EIGHT_CELLS))?;
    print_costs("a key", |n| Ok(vec![give_key(n, n)?]))?;
    print_costs("a route", |n| Ok(vec![set_route(n)?]))?;
    let head = large_head()?;
    print_sizes(&head);
    print_times(&head)
}

const THREE_CELLS: [(&str, &str); 3] = [("weight", "10"), ("rate", "120.5"), ("burst", "240")];

const EIGHT_CELLS: [(&str, &str); 8] = [
    ("weight", "10"),
    ("rate", "120.5"),
    ("burst", "240"),
    ("per-minute", "6000"),
    ("priority", "100"),
    ("idempotent", "yes"),
    ("deadline-ms", "2500"),
    ("retries", "2"),
];

fn row_key(n: u64) -> String {
    format!("workspace-{n:04},*,*")
}

fn set_cells(row: &str, cells: &[(&str, &str)]) -> BoxedResult<Vec<Change>> {
    cells
        .iter()
        .map(|(column, value)| set_cell(row, column, value))
        .collect()
}

fn set_cell(row: &str, column: &str, value: &str) -> BoxedResult<Change> {
    let column: Column = column.parse()?;
    Ok(Change::Cell {
        row: row.parse()?,
        column,
        old: None,
        new: Some(column.parse(value)?),
    })
}

fn give_key(n: u64, workspace: u64) -> BoxedResult<Change> {
    let workspace = format!("workspace-{workspace:04}").parse()?;
    let verifier = Verifier::of(&n.to_string());
    Ok(Change::GiveKey {
        workspace,
        verifier,
    })
}

fn set_route(n: u64) -> BoxedResult<Change> {
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

/// Applies one edit and moves audit records that exceed the head's limits out of it.
fn apply(head: &Head, id: u64, changes: Vec<Change>) -> BoxedResult<Head> {
    let edit = Edit {
        id: EditId(id),
        who: "ada@example.org".into(),
        when: "2026-12-04T03:00:00Z".into(),
        changes,
    };
    let head = edit::apply(head, &edit)?;
    Ok(head
        .spill(&Default::default())
        .map_or(head, |(_, remaining)| remaining))
}

/// Prints the average size of one such change in the head, and that of its audit record.
fn print_costs(what: &str, changes: impl Fn(u64) -> BoxedResult<Vec<Change>>) -> BoxedResult<()> {
    let mut head = Head::default();
    let mut record_bytes = 0;
    for n in 0..SAMPLE_COUNT {
        head = apply(&head, n, changes(n)?)?;
        record_bytes += last_record_bytes(&head);
    }
    let bytes_each = content_bytes(&head) / SAMPLE_COUNT;
    println!(
        "{what}: {bytes_each} bytes, {} for its audit record",
        record_bytes / SAMPLE_COUNT
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

/// The size of a head without its audit records, in bytes.
fn content_bytes(head: &Head) -> u64 {
    let record_bytes: u64 = head.recent().map(json_bytes).sum();
    head.to_bytes().len() as u64 - record_bytes
}

fn large_head() -> BoxedResult<Head> {
    let mut head = Head::default();
    for n in 0..WORKSPACE_COUNT {
        let mut changes = set_cells(&row_key(n), &THREE_CELLS)?;
        changes.push(give_key(2 * n, n)?);
        changes.push(give_key(2 * n + 1, n)?);
        head = apply(&head, n, changes)?;
    }
    for n in 0..ROUTE_COUNT {
        let mut changes = set_cells(&format!("*,route-{n:03},*"), &EIGHT_CELLS[6..])?;
        changes.push(set_route(n)?);
        head = apply(&head, WORKSPACE_COUNT + n, changes)?;
    }
    Ok(head)
}

fn print_sizes(head: &Head) {
    let bytes = head.to_bytes().len();
    let records = head.recent().count();
    println!(
        "{WORKSPACE_COUNT} workspaces with 2 keys each, {ROUTE_COUNT} routes: head of {bytes} bytes"
    );
    println!(
        "of these {} for {records} audit records",
        bytes as u64 - content_bytes(head)
    );
    println!("CSV: {} bytes of rows", csv::write_rows(head.table()).len());
}

fn print_times(head: &Head) -> BoxedResult<()> {
    let bytes = head.to_bytes();
    print_min_time("head written", || head.to_bytes());
    print_min_time("head read", || {
        Head::from_bytes(&bytes).map(|head| head.revision())
    });
    print_min_time("lookup compiled", || Lookup::new(head));
    let change = set_cell("workspace-0500,*,*", "priority", "9")?;
    print_min_time("edit applied", || {
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
    for _ in 0..LOOKUP_COUNT {
        black_box(lookup.resolve(black_box(names.0), names.1, names.2));
    }
    println!("cell looked up in {:?}", started.elapsed() / LOOKUP_COUNT);
    let started = Instant::now();
    for _ in 0..LOOKUP_COUNT {
        black_box(lookup.bind(black_box("POST"), black_box("/service-30/route-100/7")));
    }
    println!(
        "endpoint looked up in {:?}",
        started.elapsed() / LOOKUP_COUNT
    );
    Ok(())
}

/// Prints the shortest time of 20 runs.
fn print_min_time<T>(what: &str, run: impl Fn() -> T) {
    let shortest = (0..20).map(|_| {
        let started = Instant::now();
        black_box(run());
        started.elapsed()
    });
    println!("{what} in {:?}", shortest.min().unwrap_or_default());
}
