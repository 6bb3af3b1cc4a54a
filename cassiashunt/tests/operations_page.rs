//! The page on explaining a request names each event of the platform's node, and no other.

use std::{collections::BTreeSet, fs, path::Path};

/// Takes in the events that the sources in a folder log.
fn logged(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the sources are there") {
        let path = entry.expect("the folder can be read").path();
        if path.is_dir() {
            logged(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).expect("sources are text");
        for statement in text.split("log::").skip(1) {
            let is_line = ["info!(", "warn!(", "error!("]
                .iter()
                .any(|it| statement.starts_with(it));
            if is_line {
                events.extend(event_of(statement));
            }
        }
    }
}

/// The first string of a log statement that closes it and is made like an event's name.
fn event_of(statement: &str) -> Option<String> {
    let parts: Vec<_> = statement.split('"').collect();
    let is_name = |part: &str| {
        !part.is_empty() && part.bytes().all(|it| it == b'-' || it.is_ascii_lowercase())
    };
    let pairs = parts.windows(2);
    let mut closing = pairs.filter(|it| is_name(it[0]) && it[1].trim_start().starts_with(')'));
    closing.next().map(|it| it[0].to_owned())
}

#[test]
fn every_event_is_on_the_page_and_every_event_of_the_page_is_logged() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut in_code = BTreeSet::new();
    logged(&root.join("crates/sidecar/src"), &mut in_code);
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page is there");
    let table = page
        .split("## Events")
        .nth(1)
        .and_then(|it| it.split("\n## ").next());
    let rows = table.expect("the page has the table").lines();
    let first_cells = rows.filter_map(|row| row.strip_prefix("| `")?.split(" | ").next());
    let on_page: BTreeSet<_> = first_cells
        .flat_map(|cell| cell.split('`'))
        .filter(|word| !word.is_empty() && !word.contains(','))
        .map(str::to_owned)
        .collect();
    assert_eq!(in_code, on_page);
}
