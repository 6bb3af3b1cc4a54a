//! CSV import and export of the table, for use with spreadsheets.
//!
//! Rows and routes are separate files. An empty field is a cell that is not set. A table that is
//! written and read again is unchanged.

use std::fmt;

use csv::{ReaderBuilder, StringRecord, Writer};

use crate::{Binding, Column, Endpoint, RowKey, Table};

/// The CSV columns of a row's key.
const KEY_COLUMNS: [&str; 3] = ["workspace", "route", "class"];
/// The CSV columns of the routes file.
const ROUTE_COLUMNS: [&str; 5] = ["method", "prefix", "route", "class", "service"];
/// Some spreadsheet programs write a byte order mark at the start of a file.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Invalid content of a CSV file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The line number, from 1; 0 if the error concerns no particular line.
    pub line: u64,
    /// What is wrong, and which content is valid.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.detail)
    }
}

impl std::error::Error for Error {}

/// Writes the rows of the table as CSV.
#[must_use]
pub fn write_rows(table: &Table) -> String {
    let columns = Column::ALL.map(Column::as_str);
    let mut lines = vec![
        KEY_COLUMNS
            .into_iter()
            .chain(columns)
            .map(String::from)
            .collect(),
    ];
    for (key, row) in table.rows() {
        let names = [
            key.workspace.to_string(),
            key.route.to_string(),
            key.class.to_string(),
        ];
        let cell = |column| row.get(column).map(|value| value.to_string());
        let cells = Column::ALL.map(|column| cell(column).unwrap_or_default());
        lines.push(names.into_iter().chain(cells).collect());
    }
    write_lines(&lines)
}

/// Writes the routes of the table as CSV.
#[must_use]
pub fn write_routes(table: &Table) -> String {
    let mut lines = vec![ROUTE_COLUMNS.map(String::from).to_vec()];
    for (endpoint, binding) in table.routes() {
        lines.push(vec![
            endpoint.method().to_string(),
            endpoint.prefix().into(),
            binding.route.to_string(),
            binding.class.to_string(),
            binding.service.to_string(),
        ]);
    }
    write_lines(&lines)
}

fn write_lines(lines: &[Vec<String>]) -> String {
    let mut writer = Writer::from_writer(Vec::new());
    for line in lines {
        writer
            .write_record(line)
            .expect("failed to write a CSV record to memory");
    }
    let bytes = writer
        .into_inner()
        .expect("failed to flush a CSV writer to memory");
    String::from_utf8(bytes).expect("CSV output is not UTF-8")
}

/// Reads rows from CSV into a new table with the routes of `table`.
///
/// # Errors
///
/// Fails with the first invalid line.
pub fn read_rows(text: &str, table: &Table) -> Result<Table, Error> {
    let columns = Column::ALL.map(Column::as_str);
    let expected: Vec<_> = KEY_COLUMNS.into_iter().chain(columns).collect();
    let mut parsed = Table::default();
    for (endpoint, binding) in table.routes() {
        parsed.bind(endpoint.clone(), Some(*binding));
    }
    for line in read_lines(text, &expected)? {
        add_row(&mut parsed, &line)?;
    }
    Ok(parsed)
}

/// Reads routes from CSV into a new table with the rows of `table`.
///
/// # Errors
///
/// Fails with the first invalid line.
pub fn read_routes(text: &str, table: &Table) -> Result<Table, Error> {
    let mut parsed = table.clone();
    for (endpoint, _) in table.routes() {
        parsed.bind(endpoint.clone(), None);
    }
    for line in read_lines(text, &ROUTE_COLUMNS)? {
        add_route(&mut parsed, &line)?;
    }
    Ok(parsed)
}

/// A CSV record, its fields in the order of the expected columns.
struct Line {
    number: u64,
    fields: Vec<String>,
}

impl Line {
    fn error(&self, detail: impl fmt::Display) -> Error {
        Error {
            line: self.number,
            detail: detail.to_string(),
        }
    }

    fn parse<T: std::str::FromStr<Err: fmt::Display>>(&self, field: usize) -> Result<T, Error> {
        self.fields[field].parse().map_err(|err| self.error(err))
    }
}

fn read_lines(text: &str, columns: &[&str]) -> Result<Vec<Line>, Error> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader = ReaderBuilder::new().from_reader(text.as_bytes());
    let header = reader.headers().map_err(|err| malformed(&err))?.clone();
    let positions = column_positions(&header, columns)?;
    let mut lines = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|err| malformed(&err))?;
        let number = record.position().map_or(0, |position| position.line());
        let field = |position: &usize| record.get(*position).unwrap_or_default().trim().to_owned();
        let fields = positions.iter().map(field).collect();
        lines.push(Line { number, fields });
    }
    Ok(lines)
}

/// The position of each expected column in the file.
fn column_positions(header: &StringRecord, columns: &[&str]) -> Result<Vec<usize>, Error> {
    let header: Vec<_> = header.iter().map(str::trim).collect();
    let first_line = |detail| Error { line: 1, detail };
    if let Some(name) = header.iter().find(|name| !columns.contains(name)) {
        let columns = columns.join(", ");
        let detail = format!("{name:?} is no column; there are {columns}");
        return Err(first_line(detail));
    }
    let position = |column: &&str| {
        let mut found = (0..header.len()).filter(|position| header[*position] == *column);
        match (found.next(), found.next()) {
            (Some(position), None) => Ok(position),
            (None, _) => Err(first_line(format!("column {column} is missing"))),
            (Some(_), Some(_)) => Err(first_line(format!("column {column} stands twice"))),
        }
    };
    columns.iter().map(position).collect()
}

fn add_row(table: &mut Table, line: &Line) -> Result<(), Error> {
    let key = RowKey {
        workspace: line.parse(0)?,
        route: line.parse(1)?,
        class: line.parse(2)?,
    };
    if table.row(&key).is_some() {
        return Err(line.error(format!("row {key} stands twice")));
    }
    for (column, text) in Column::ALL
        .into_iter()
        .zip(&line.fields[KEY_COLUMNS.len()..])
    {
        if text.is_empty() {
            continue;
        }
        let value = column.parse(text).map_err(|err| line.error(err))?;
        let outcome = table.set(key, column, Some(value));
        outcome.map_err(|err| line.error(err))?;
    }
    Ok(())
}

fn add_route(table: &mut Table, line: &Line) -> Result<(), Error> {
    let endpoint = Endpoint::new(line.parse(0)?, &line.fields[1]);
    let endpoint = endpoint.map_err(|err| line.error(err))?;
    if table.binding(&endpoint).is_some() {
        return Err(line.error(format!("endpoint {endpoint} stands twice")));
    }
    let binding = Binding {
        route: line.parse(2)?,
        class: line.parse(3)?,
        service: line.parse(4)?,
    };
    table.bind(endpoint, Some(binding));
    Ok(())
}

fn malformed(err: &csv::Error) -> Error {
    Error {
        line: err.position().map_or(0, |position| position.line()),
        detail: err.to_string(),
    }
}
