//! The table of events in docs/OPERATIONS.md lists exactly the events that the sidecar logs.

use std::{collections::BTreeSet, fs, path::Path};

/// Adds the events that the sources in a folder log to `events`.
fn collect_logged_events(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("cannot list the source folder") {
        let path = entry
            .expect("cannot read an entry of the source folder")
            .path();
        if path.is_dir() {
            collect_logged_events(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).expect("cannot read the source file");
        for statement in text.split("log::").skip(1) {
            let is_log_statement = ["info!(", "warn!(", "error!("]
                .iter()
                .any(|it| statement.starts_with(it));
            if is_log_statement {
                events.extend(event_name(statement));
            }
        }
    }
}

/// The event of a log statement: the first string that ends the statement and consists of lowercase
/// letters and hyphens.
fn event_name(statement: &str) -> Option<String> {
    let parts: Vec<_> = statement.split('"').collect();
    let is_name = |part: &str| {
        !part.is_empty() && part.bytes().all(|it| it == b'-' || it.is_ascii_lowercase())
    };
    let pairs = parts.windows(2);
    let mut closing = pairs.filter(|it| is_name(it[0]) && it[1].trim_start().starts_with(')'));
    closing.next().map(|it| it[0].to_owned())
}

#[test]
fn the_operations_page_lists_exactly_the_events_that_are_logged() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut in_code = BTreeSet::new();
    collect_logged_events(&root.join("crates/sidecar/src"), &mut in_code);
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md"))
        .expect("cannot read docs/OPERATIONS.md");
    let table = page
        .split("## Events")
        .nth(1)
        .and_then(|it| it.split("\n## ").next());
    let rows = table
        .expect("docs/OPERATIONS.md has no section `## Events`")
        .lines();
    let first_cells = rows.filter_map(|row| row.strip_prefix("| `")?.split(" | ").next());
    let on_page: BTreeSet<_> = first_cells
        .flat_map(|cell| cell.split('`'))
        .filter(|word| !word.is_empty() && !word.contains(','))
        .map(str::to_owned)
        .collect();
    assert_eq!(in_code, on_page);
}
