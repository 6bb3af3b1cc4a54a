//! Uses the table as a library, without the daemon: commits an edit to a platform, then reads the
//! head back and looks up the policy of a request.

use std::error::Error;

use cassiashunt_platform::{Memory, Platform};
use cassiashunt_table::{
    Change, Column, Edit, EditId, HEAD_KEY, Head, Key, Lookup, Verifier,
    commit::{self, Commit, Options, Outcome, Peers},
    csv,
};

fn main() -> Result<(), Box<dyn Error>> {
    let platform = Memory::default();
    let key = Key::generate();
    let changes = vec![
        set_cell("*,*,*", "rate", "5")?,
        set_cell("paint-crews,*,*", "rate", "120")?,
        set_cell("*,*,sign-off", "priority", "200")?,
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
    let policy = lookup.resolve(caller.workspace, "sections".parse()?, "sign-off".parse()?);
    println!("{policy:?}");
    Ok(())
}

fn commit(platform: &Memory, changes: Vec<Change>) -> Outcome {
    let edit = Edit {
        id: EditId::random(),
        who: "ada".into(),
        when: "2026-12-04T03:00:00Z".into(),
        changes,
    };
    let attempt = Commit::start(edit, None, Options::default());
    commit::run(platform, &Peers::none(), attempt)
}

fn set_cell(row: &str, column: &str, value: &str) -> Result<Change, Box<dyn Error>> {
    let column: Column = column.parse()?;
    Ok(Change::Cell {
        row: row.parse()?,
        column,
        old: None,
        new: Some(column.parse(value)?),
    })
}
