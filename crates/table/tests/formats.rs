//! CSV and JSON forms, with arbitrary content.

use cassiashunt_property::{Result, Unstructured, check};
use cassiashunt_table::{
    Binding, Change, Column, Edit, EditId, Endpoint, Head, Pattern, Rate, RowKey, Table, Value,
    ValueType, Verifier, csv, diff, edit,
};
use cassiashunt_types::{Label, Workspace};

const LABEL_BYTES: usize = 31;

fn label(u: &mut Unstructured<'_>) -> Result<Label> {
    let length = u.int_in_range(1..=LABEL_BYTES)?;
    let mut text = String::new();
    while text.len() < length {
        let byte: u8 = u.int_in_range(b'!'..=b'~')?;
        text.push(if matches!(byte, b',' | b'"' | b'\'' | b'*') {
            'x'
        } else {
            byte.into()
        });
    }
    Ok(text.parse().expect("a label"))
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
        // Some columns do not stand in every row; the table says so and stays as it was.
        let _ = table.set(row, column, Some(value(u, column)?));
    }
    for _ in 0..u.int_in_range(0..=5)? {
        let prefix = format!("/{}", label(u)?.as_str().replace(['?', '#', '/'], "-"));
        let method = if u.arbitrary()? {
            Pattern::Any
        } else {
            Pattern::Is(label(u)?)
        };
        let endpoint = Endpoint::new(method, &prefix).expect("a path");
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
    Ok(edit::apply(&Head::default(), &edit).expect("a small edit of an empty head"))
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
fn any_text_is_read_as_csv_or_refused() {
    const PIECES: &[&str] = &[
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
            text.push_str(u.choose(PIECES)?);
        }
        if let Ok(table) = csv::read_rows(&text, &Table::default()) {
            let again = csv::read_rows(&csv::write_rows(&table), &Table::default());
            assert_eq!(again, Ok(table));
        }
        // Only that it neither panics nor hangs counts here.
        let _ = csv::read_routes(&text, &Table::default());
        Ok(())
    });
}

#[test]
fn a_head_written_as_json_is_read_back_the_same() {
    check(|u| {
        let head = head(u)?;
        let read = Head::from_bytes(&head.to_bytes()).expect("it was written as a head");
        assert_eq!(read, head);
        Ok(())
    });
}

#[test]
fn a_damaged_head_is_refused_or_still_a_head() {
    check(|u| {
        let mut bytes = head(u)?.to_bytes();
        for _ in 0..u.int_in_range(1..=4)? {
            let place = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 => bytes.truncate(place),
                1 => bytes[place] = u.arbitrary()?,
                _ => bytes.insert(place, u.arbitrary()?),
            }
            if bytes.is_empty() {
                break;
            }
        }
        if let Ok(head) = Head::from_bytes(&bytes) {
            let again = Head::from_bytes(&head.to_bytes()).expect("a head is written as a head");
            assert_eq!(again, head);
        }
        Ok(())
    });
}

#[test]
fn a_csv_error_names_the_line_and_says_what_to_write() {
    let header = csv::write_rows(&Table::default());
    let read = |lines: &str| {
        let text = format!("{header}{lines}");
        csv::read_rows(&text, &Table::default())
            .expect_err("wrong")
            .to_string()
    };
    let wrong = read("a,*,*,3,,,,,,,,\nb,*,*,x,,,,,,,,\n");
    assert!(wrong.starts_with("line 3: column weight"), "{wrong}");
    let twice = read("a,*,*,3,,,,,,,,\na,*,*,,5,,,,,,,\n");
    assert!(twice.contains("stands twice"), "{twice}");
    let missing = csv::read_rows("workspace,route,class\n", &Table::default());
    assert!(missing.expect_err("wrong").detail.contains("missing"));
    let unknown = csv::read_rows(&header.replace("rate", "rat"), &Table::default());
    assert!(unknown.expect_err("wrong").detail.contains("no column"));
}

#[test]
fn rates_have_up_to_three_decimals() {
    let text = |text: &str| text.parse::<Rate>().map(|rate| rate.to_string());
    assert_eq!(text("12.50"), Ok("12.5".into()));
    assert_eq!(text("0.001"), Ok("0.001".into()));
    for wrong in [
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
        assert!(wrong.parse::<Rate>().is_err(), "{wrong}");
    }
}
