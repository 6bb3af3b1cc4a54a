//! Questions for newer tables and entries, their answers, and strikes, on either end of a connection.

use std::rc::Rc;

use cassiashunt_mesh::{DirectoryUpdate, EntryChange};
use cassiashunt_types::prelude::*;

use super::{EntryNews, EntryRow, Kind};
use crate::{
    clock,
    node::Node,
    store::{take_in_news, take_in_table},
};

/// Takes in a question or its answer; `send` sends to the peer that it is from. A peer that gets no
/// answer asks again.
pub(super) fn on_frame(node: &Rc<Node>, name: &str, kind: Kind, send: impl Fn(Kind) -> bool) {
    match kind {
        Kind::AskTable(_) => {
            if let Some(table) = node.table_value.borrow().clone() {
                send(Kind::Table(table));
            }
        }
        Kind::Table(table) => {
            log::info!(peer:% = name, revision = table.revision; "table-from-peer");
            take_in_table(node, table);
        }
        Kind::AskNews(since) => {
            let news = node.directory.borrow().update_since(Revision(since));
            send(Kind::News(to_row(news)));
        }
        Kind::News(row) => {
            let known = node.directory.borrow().revision();
            log::info!(peer:% = name, known = known.0, at = row.at; "entries-from-peer");
            take_in_news(node, from_row(row));
        }
        Kind::Strikes(strikes) => {
            if node.suspicion.merge(clock::now(), &strikes) {
                log::info!(peer:% = name, strikes = strikes.strikes.len(); "strikes-from-peer");
                node.tell_now.notify_one();
            }
        }
        other => log::warn!(peer:% = name, frame:? = other; "odd-frame"),
    }
}

fn to_row(news: DirectoryUpdate) -> EntryNews {
    let changes = news.changes.into_iter().map(|change| EntryRow {
        name: change.name,
        revision: change.revision.0,
        value: change.value.map(Into::into),
    });
    EntryNews {
        at: news.revision.0,
        is_all: news.is_full,
        changes: changes.collect(),
    }
}

fn from_row(row: EntryNews) -> DirectoryUpdate {
    let changes = row.changes.into_iter().map(|change| EntryChange {
        name: change.name,
        revision: Revision(change.revision),
        value: change.value.map(|value| value.to_vec()),
    });
    DirectoryUpdate {
        revision: Revision(row.at),
        is_full: row.is_all,
        changes: changes.collect(),
    }
}
