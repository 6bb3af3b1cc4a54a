//! Property tests of the CSV and JSON forms with arbitrary content.

use cassiashunt_property::{Result, Unstructured, check};
use cassiashunt_table::{
    Binding, Change, Column, Edit, EditId, Endpoint, Head, Pattern, Rate, RowKey, Table, Value,
    ValueType, Verifier, csv, diff, edit,
};
use cassiashunt_types::{Label, Workspace};

/// The maximum length of generated labels.
const MAX_LABEL_BYTES: usize = 31;

fn label(u: &mut Unstructured<'_>) -> Result<Label> {
    let length = u.int_in_range(1..=MAX_LABEL_BYTES)?;
    let mut text = String::new();
    while text.len() < length {
        let byte: u8 = u.int_in_range(b'!'..=b'~')?;
        text.push(if matches!(byte, b',' | b'"' | b'\'' | b'*') {
            'x'
        } else {
            byte.into()
        });
    }
    Ok(text.parse().expect("invalid label"))
}

fn pattern<T: From<Label>>(u: &mut Unstructured<'_>) -> Result<Pattern<T>> {
    Ok(if u.arbitrary()? {
        Pattern::Any
    } else {
        Pattern::Is(label(u)?.into())
    })
}

fn value(u: &mut Unstructured<'_>, column: Column) -> Result<Value> {
    Ok(match column.value_type() {
        ValueType::Number => Value::Number(u.int_in_range(1..=16)?),
        ValueType::Flag => Value::Flag(u.arbitrary()?),
        ValueType::Rate => Value::Rate(Rate::from_milli(u.arbitrary()?)),
    })
}

fn table(u: &mut Unstructured<'_>) -> Result<Table> {
    let mut table = Table::default();
    for _ in 0..u.int_in_range(0..=20)? {
        let row = RowKey {
            workspace: pattern(u)?,
            route: pattern(u)?,
            class: pattern(u)?,
        };
        let column = *u.choose(&Column::ALL)?;
        // Some columns cannot be set in every row; `set` then fails and leaves the table unchanged.
        let _ = table.set(row, column, Some(value(u, column)?));
    }
    for _ in 0..u.int_in_range(0..=5)? {
        let prefix = format!("/{}", label(u)?.as_str().replace(['?', '#', '/'], "-"));
        let method = if u.arbitrary()? {
            Pattern::Any
        } else {
            Pattern::Is(label(u)?)
        };
        let endpoint = Endpoint::new(method, &prefix).expect("invalid path prefix");
        let binding = Binding {
            route: label(u)?.into(),
            class: label(u)?.into(),
            service: label(u)?.into(),
        };
        table.bind(endpoint, Some(binding));
    }
    Ok(table)
}

fn head(u: &mut Unstructured<'_>) -> Result<Head> {
    let mut changes = diff::diff(&Table::default(), &table(u)?);
    if u.arbitrary()? {
        let workspace: Workspace = label(u)?.into();
        let verifier = Verifier::of(u.arbitrary()?);
        changes.push(Change::GiveKey {
            workspace,
            verifier,
        });
    }
    let edit = Edit {
        id: EditId(u.arbitrary()?),
        who: u.arbitrary()?,
        when: u.arbitrary()?,
        changes,
    };
    Ok(edit::apply(&Head::default(), &edit).expect("small edit of an empty head rejected"))
}

#[test]
fn a_table_written_as_csv_is_read_back_the_same() {
    check(|u| {
        let table = table(u)?;
        let rows = csv::read_rows(&csv::write_rows(&table), &table);
        assert_eq!(rows.as_ref(), Ok(&table));
        let routes = csv::read_routes(&csv::write_routes(&table), &table);
        assert_eq!(routes.as_ref(), Ok(&table));
        Ok(())
    });
}

#[test]
fn arbitrary_text_is_parsed_as_csv_or_rejected() {
    const CSV_FRAGMENTS: &[&str] = &[
        "workspace",
        "route",
        "class",
        "weight",
        "rate",
        "burst",
        "per-minute",
        "priority",
        "idempotent",
        "open",
        "deadline-ms",
        "retries",
        ",",
        ",",
        "\n",
        "\"",
        "*",
        "a",
        "1",
        "1.5",
        "yes",
        "\u{feff}",
        "é",
        " ",
    ];
    check(|u| {
        let mut text = String::new();
        if u.arbitrary()? {
            text = csv::write_rows(&Table::default());
        }
        for _ in 0..u.int_in_range(0..=60)? {
            text.push_str(u.choose(CSV_FRAGMENTS)?);
        }
        if let Ok(table) = csv::read_rows(&text, &Table::default()) {
            let reread = csv::read_rows(&csv::write_rows(&table), &Table::default());
            assert_eq!(reread, Ok(table));
        }
        // Checks only that arbitrary text causes neither a panic nor an endless loop.
        let _ = csv::read_routes(&text, &Table::default());
        Ok(())
    });
}

#[test]
fn a_head_written_as_json_is_read_back_the_same() {
    check(|u| {
        let head = head(u)?;
        let read = Head::from_bytes(&head.to_bytes()).expect("written head cannot be read");
        assert_eq!(read, head);
        Ok(())
    });
}

#[test]
fn a_corrupted_head_is_rejected_or_a_valid_head() {
    check(|u| {
        let mut bytes = head(u)?.to_bytes();
        for _ in 0..u.int_in_range(1..=4)? {
            let index = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 => bytes.truncate(index),
                1 => bytes[index] = u.arbitrary()?,
                _ => bytes.insert(index, u.arbitrary()?),
            }
            if bytes.is_empty() {
                break;
            }
        }
        if let Ok(head) = Head::from_bytes(&bytes) {
            let reread = Head::from_bytes(&head.to_bytes()).expect("written head cannot be read");
            assert_eq!(reread, head);
        }
        Ok(())
    });
}

#[test]
fn a_csv_error_contains_the_line_and_the_cause() {
    let header = csv::write_rows(&Table::default());
    let read_error = |lines: &str| {
        let text = format!("{header}{lines}");
        csv::read_rows(&text, &Table::default())
            .expect_err("invalid CSV accepted")
            .to_string()
    };
    let invalid_value = read_error("a,*,*,3,,,,,,,,\nb,*,*,x,,,,,,,,\n");
    assert!(
        invalid_value.starts_with("line 3: column weight"),
        "{invalid_value}"
    );
    let duplicate_row = read_error("a,*,*,3,,,,,,,,\na,*,*,,5,,,,,,,\n");
    assert!(duplicate_row.contains("stands twice"), "{duplicate_row}");
    let missing_column = csv::read_rows("workspace,route,class\n", &Table::default());
    assert!(
        missing_column
            .expect_err("invalid CSV accepted")
            .detail
            .contains("missing")
    );
    let unknown_column = csv::read_rows(&header.replace("rate", "rat"), &Table::default());
    assert!(
        unknown_column
            .expect_err("invalid CSV accepted")
            .detail
            .contains("no column")
    );
}

#[test]
fn rates_have_up_to_three_decimals() {
    let normalized = |text: &str| text.parse::<Rate>().map(|rate| rate.to_string());
    assert_eq!(normalized("12.50"), Ok("12.5".into()));
    assert_eq!(normalized("0.001"), Ok("0.001".into()));
    for invalid in [
        "",
        ".5",
        "1.",
        "1.2345",
        "-1",
        "+1",
        "1e3",
        "99999999999",
        "4294967.296",
    ] {
        assert!(invalid.parse::<Rate>().is_err(), "{invalid}");
    }
}
