//! `cassiashunt table`.

use std::path::Path;

use cassiashunt_table::{Binding, Change, Column, Endpoint, RowKey, Table, csv, diff};
use eyre::{Result, WrapErr};

use super::edit::{self, Options};
use crate::{
    client::Client,
    exit::Exit,
    flags::{self, TableCmd},
};

/// Shows or changes the table.
pub fn run(flags: flags::Table) -> Result<Exit> {
    let client = Client::new(flags.node)?;
    let opts = Options {
        who: flags.who,
        json: flags.json,
        wait: flags.wait,
    };
    match flags.subcommand {
        TableCmd::Get(get) => show(&client, get.row.as_deref()),
        TableCmd::Export(export) => {
            let head = client.head()?;
            let write = if export.routes {
                csv::write_routes
            } else {
                csv::write_rows
            };
            print!("{}", write(head.table()));
            Ok(Exit::Done)
        }
        TableCmd::Set(set) => {
            let change = set_cell(&client, &set)?;
            edit::send(&client, &opts, vec![change])
        }
        TableCmd::Clear(clear) => {
            let change = clear_cell(&client, &clear)?;
            edit::send(&client, &opts, vec![change])
        }
        TableCmd::Bind(bind) => {
            let change = bind_endpoint(&client, &bind)?;
            edit::send(&client, &opts, vec![change])
        }
        TableCmd::Import(import) => {
            let changes = changes(&client, &import.file, import.routes)?;
            if changes.is_empty() {
                println!("nothing to change");
                return Ok(Exit::Done);
            }
            edit::send(&client, &opts, changes)
        }
        TableCmd::Diff(diff) => {
            for change in changes(&client, &diff.file, diff.routes)? {
                println!("{}", serde_json::to_string(&change)?);
            }
            Ok(Exit::Done)
        }
    }
}

fn show(client: &Client, row: Option<&str>) -> Result<Exit> {
    let head = client.head()?;
    println!("revision {}", head.revision().0);
    match row {
        None => print!(
            "{}{}",
            csv::write_rows(head.table()),
            csv::write_routes(head.table())
        ),
        Some(row) => {
            let row: RowKey = parse(row)?;
            for column in Column::ALL {
                let value = head.table().get(&row, column);
                println!(
                    "{column}: {}",
                    value.map_or_else(|| "-".into(), |v| v.to_string())
                );
            }
        }
    }
    Ok(Exit::Done)
}

fn set_cell(client: &Client, set: &flags::Set) -> Result<Change> {
    let row: RowKey = parse(&set.row)?;
    let column: Column = parse(&set.column)?;
    let new = column.parse(&set.value).map_err(usage)?;
    let old = match &set.expect {
        Some(text) => Some(column.parse(text).map_err(usage)?),
        None => client.head()?.table().get(&row, column),
    };
    Ok(Change::Cell {
        row,
        column,
        old,
        new: Some(new),
    })
}

fn clear_cell(client: &Client, clear: &flags::Clear) -> Result<Change> {
    let row: RowKey = parse(&clear.row)?;
    let column: Column = parse(&clear.column)?;
    let old = client.head()?.table().get(&row, column);
    Ok(Change::Cell {
        row,
        column,
        old,
        new: None,
    })
}

fn bind_endpoint(client: &Client, bind: &flags::Bind) -> Result<Change> {
    let endpoint: Endpoint = parse(&bind.endpoint)?;
    let new = Binding {
        route: parse(&bind.route)?,
        class: parse(&bind.class)?,
        service: parse(&bind.service)?,
    };
    let old = client.head()?.table().binding(&endpoint);
    Ok(Change::Route {
        endpoint,
        old,
        new: Some(new),
    })
}

/// What makes the table in force match the file.
fn changes(client: &Client, file: &Path, routes: bool) -> Result<Vec<Change>> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let head = client.head()?;
    let read: fn(&str, &Table) -> Result<Table, csv::Error> = if routes {
        csv::read_routes
    } else {
        csv::read_rows
    };
    let after = read(&text, head.table())
        .map_err(|err| Exit::Usage.err(format!("{}: {err}", file.display())))?;
    Ok(diff::diff(head.table(), &after))
}

fn parse<T>(text: &str) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(usage)
}

fn usage(err: impl std::fmt::Display) -> eyre::Report {
    Exit::Usage.err(err.to_string())
}
