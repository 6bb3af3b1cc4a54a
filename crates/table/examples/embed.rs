//! Embeds the table without the daemon: edits it through a platform, asks it, and prints what the
//! head costs for each row, key and audit record.

use std::{error::Error, hint::black_box, time::Instant};

use cassiashunt_platform::{Memory, Platform};
use cassiashunt_table::{
    Change, Column, Edit, EditId, HEAD_KEY, Head, Key, Lookup, RowKey, Value, Verifier,
    commit::{self, Commit, Options, Outcome, Peers},
    csv, edit,
};

/// How many rows, keys and records the costs are averaged over.
const COUNT: u64 = 1_000;
/// How many lookups are timed.
const LOOKUPS: u32 = 1_000_000;

fn main() -> Result<(), Box<dyn Error>> {
    let platform = Memory::default();
    let key = Key::generate();
    let changes = vec![
        cell("*,*,*", "rate", "5")?,
        cell("paint-crews,*,*", "rate", "120")?,
        cell("*,*,sign-off", "priority", "200")?,
        Change::GiveKey {
            workspace: "paint-crews".parse()?,
            verifier: key.verifier(),
        },
    ];
    let outcome = commit(&platform, changes);
    println!("{outcome}");
    let entry = platform.get(HEAD_KEY)?.ok_or("nothing was written")?;
    let head = Head::from_bytes(&entry.value)?;
    print!("{}", csv::write_rows(head.table()));
    let lookup = Lookup::new(&head);
    let caller = lookup.key(&Verifier::of(key.reveal())).ok_or("no key")?;
    let found = lookup.resolve(caller.workspace, "sections".parse()?, "sign-off".parse()?);
    println!("{found:?}");
    print_costs()
}

fn commit(platform: &Memory, changes: Vec<Change>) -> Outcome {
    let edit = Edit {
        id: EditId::random(),
        who: "ada".into(),
        when: "2026-12-04T03:00:00Z".into(),
        changes,
    };
    let begun = Commit::start(edit, None, Options::default());
    commit::run(platform, &Peers::none(), begun)
}

fn cell(row: &str, column: &str, value: &str) -> Result<Change, Box<dyn Error>> {
    let column: Column = column.parse()?;
    Ok(Change::Cell {
        row: row.parse()?,
        column,
        old: None,
        new: Some(column.parse(value)?),
    })
}

fn print_costs() -> Result<(), Box<dyn Error>> {
    let row = |row: u64| format!("workspace-{row:04},*,*");
    let sparse = costs("a row of 3 cells", |n| {
        let row = row(n);
        let cells = [("weight", "10"), ("rate", "120.5"), ("burst", "240")];
        cells
            .map(|(column, value)| cell(&row, column, value))
            .into_iter()
            .collect()
    })?;
    costs("a row of all 8 cells that a workspace may set", |n| {
        let row = row(n);
        let cells = [
            ("weight", "10"),
            ("rate", "120.5"),
            ("burst", "240"),
            ("per-minute", "6000"),
            ("priority", "100"),
            ("idempotent", "yes"),
            ("deadline-ms", "2500"),
            ("retries", "2"),
        ];
        cells
            .map(|(column, value)| cell(&row, column, value))
            .into_iter()
            .collect()
    })?;
    costs("a key", |n| {
        let workspace = format!("workspace-{n:04}").parse()?;
        let verifier = Verifier::of(&n.to_string());
        Ok(vec![Change::GiveKey {
            workspace,
            verifier,
        }])
    })?;
    let rows = csv::write_rows(sparse.table());
    println!(
        "CSV: {} bytes for a row of 3 cells",
        rows.len() as u64 / COUNT
    );
    time_lookups(&sparse)
}

/// Prints what one more of these costs in the head, and its audit record besides.
fn costs(
    what: &str,
    changes: impl Fn(u64) -> Result<Vec<Change>, Box<dyn Error>>,
) -> Result<Head, Box<dyn Error>> {
    let mut head = Head::default();
    let mut record_bytes = 0;
    for n in 0..COUNT {
        let edit = Edit {
            id: EditId(n),
            who: "ada@example.org".into(),
            when: "2026-12-04T03:00:00Z".into(),
            changes: changes(n)?,
        };
        head = edit::apply(&head, &edit)?;
        let record = head.recent().last().ok_or("no record")?;
        record_bytes += serde_json::to_vec(record)?.len() as u64;
        head = head
            .spill(&Default::default())
            .map_or(head, |(_, rest)| rest);
    }
    let records: u64 = head
        .recent()
        .map(|record| serde_json::to_vec(record).map_or(0, |json| json.len() as u64))
        .sum();
    let content = head.to_bytes().len() as u64 - records;
    println!(
        "head: {} bytes for {what}, {} for its audit record",
        content / COUNT,
        record_bytes / COUNT
    );
    Ok(head)
}

fn time_lookups(head: &Head) -> Result<(), Box<dyn Error>> {
    let started = Instant::now();
    let lookup = Lookup::new(head);
    println!(
        "lookup: compiled from {COUNT} rows in {:?}",
        started.elapsed()
    );
    let names = (
        "workspace-0500".parse()?,
        "sections".parse()?,
        "read".parse()?,
    );
    let started = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(lookup.resolve(black_box(names.0), names.1, names.2));
    }
    println!("lookup: {:?} each", started.elapsed() / LOOKUPS);
    let started = Instant::now();
    let bytes = head.to_bytes();
    let written = started.elapsed();
    let started = Instant::now();
    Head::from_bytes(&bytes)?;
    println!(
        "head of {} bytes: written in {written:?}, read in {:?}",
        bytes.len(),
        started.elapsed()
    );
    let row = RowKey::DEFAULTS;
    assert_eq!(head.table().get(&row, Column::Weight), None::<Value>);
    Ok(())
}
