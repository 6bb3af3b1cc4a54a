//! Exchange of tables, nodes' entries and strikes between peers, on either end of a connection.

use std::rc::Rc;

use cassiashunt_mesh::{DirectoryUpdate, EntryChange, StoreRevision};
use cassiashunt_types::prelude::*;

use super::{EntryChanges, EntryRow, Kind, StorePosition};
use crate::{
    clock,
    node::Node,
    store::{apply_peer_entries, apply_table},
};

/// Handles a request for newer state, or its answer. `send` sends to the peer `name`, which asks
/// again if it gets no answer.
pub(super) fn on_frame(node: &Rc<Node>, name: &str, kind: Kind, send: impl Fn(Kind) -> bool) {
    match kind {
        Kind::AskTable(_) => {
            let (in_force, refused) = (&node.table_value, &node.refused_table);
            for table in [in_force, refused] {
                if let Some(table) = table.borrow().clone() {
                    send(Kind::Table(table));
                }
            }
        }
        Kind::Table(table) => {
            log::info!(peer:% = name, era = table.era, revision = table.revision,
                version = table.version; "table-from-peer");
            apply_table(node, table);
        }
        Kind::AskEntries(since) => {
            send_entries(node, StoreRevision::new(0, Revision(since)), send);
        }
        Kind::AskEntriesOfEra(StorePosition { era, revision }) => {
            send_entries(node, StoreRevision::new(era, Revision(revision)), send);
        }
        Kind::Entries(row) => {
            let known = node.directory.borrow().revision();
            log::info!(peer:% = name, known_era = known.era, known = known.revision.0, era = row.era,
                at = row.revision; "entries-from-peer");
            apply_peer_entries(node, from_row(row));
        }
        Kind::Strikes(strikes) => {
            if node.suspicion.merge(clock::now(), &strikes) {
                log::info!(peer:% = name, strikes = strikes.strikes.len(); "strikes-from-peer");
                node.report_now.notify_one();
            }
        }
        other => log::warn!(peer:% = name, frame:? = other; "odd-frame"),
    }
}

fn send_entries(node: &Node, since: StoreRevision, send: impl Fn(Kind) -> bool) {
    let update = node.directory.borrow().update_since(since);
    send(Kind::Entries(to_row(update)));
}

fn to_row(update: DirectoryUpdate) -> EntryChanges {
    let changes = update.changes.into_iter().map(|change| EntryRow {
        name: change.name,
        revision: change.revision.0,
        value: change.value.map(Into::into),
    });
    EntryChanges {
        era: update.revision.era,
        revision: update.revision.revision.0,
        is_full: update.is_full,
        changes: changes.collect(),
    }
}

fn from_row(row: EntryChanges) -> DirectoryUpdate {
    let changes = row.changes.into_iter().map(|change| EntryChange {
        name: change.name,
        revision: Revision(change.revision),
        value: change.value.map(|value| value.to_vec()),
    });
    DirectoryUpdate {
        revision: StoreRevision::new(row.era, Revision(row.revision)),
        is_full: row.is_full,
        changes: changes.collect(),
    }
}
