//! Follows the platform's values.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak, mpsc::SyncSender},
    thread,
    time::Duration,
};

use cassiashunt_platform::{Platform, swap};
use cassiashunt_table::{HEAD_KEY, Head, Offer};

use super::event::Event;
use crate::node::Shared;

/// How often the platform is asked.
const PERIOD: Duration = Duration::from_millis(500);

/// Follows the platform until the node is gone.
pub(super) fn run(shared: &Weak<Shared>, tx: &SyncSender<Event>) {
    let mut is_listed = false;
    while let Some(shared) = shared.upgrade() {
        read_head(&shared);
        is_listed = is_listed || list_self(&shared);
        if let Some(seeds) = read_seeds(&shared)
            && tx.send(Event::Seeds(seeds)).is_err()
        {
            return;
        }
        drop(shared);
        thread::sleep(PERIOD);
    }
}

fn read_head(shared: &Arc<Shared>) {
    let asked = shared.clock.now();
    let entry = match shared.platform.get(HEAD_KEY) {
        Ok(entry) => entry,
        Err(err) => {
            log::warn!(event = "platform-read-failed"; "{err}");
            return;
        }
    };
    let freshness = Duration::from_millis(shared.settings.times.freshness_ms);
    shared.control.set_in_touch_until(asked + freshness);
    let Some(entry) = entry else { return };
    match Head::from_bytes(&entry.value) {
        Ok(head) => {
            if let offer @ (Offer::Older { .. } | Offer::Forked { .. }) = shared.config.offer(head)
            {
                log::error!(event = "table-refused"; "{offer:?}");
            }
        }
        Err(err) => log::error!(event = "table-unreadable"; "{err}"),
    }
}

/// Adds this node's address to its domain's list.
fn list_self(shared: &Shared) -> bool {
    let key = format!("roster/{}", shared.settings.node.failure_domain);
    let Ok(entry) = shared.platform.get(&key) else {
        return false;
    };
    let text = entry
        .as_ref()
        .map(|entry| String::from_utf8_lossy(&entry.value).into_owned());
    let text = format!("{}{}\n", text.unwrap_or_default(), shared.control.addr);
    let expected = swap::Expected::of(entry.as_ref());
    let req = swap::Request {
        key: &key,
        expected,
        value: text.as_bytes(),
        lease: None,
    };
    matches!(shared.platform.swap(req), Ok(swap::Outcome::Applied { .. }))
}

fn read_seeds(shared: &Shared) -> Option<Vec<SocketAddr>> {
    let entries = shared.platform.list("roster/").ok()?;
    let text = entries
        .iter()
        .map(|entry| String::from_utf8_lossy(&entry.value).into_owned());
    let lines: String = text.collect();
    Some(lines.lines().filter_map(|line| line.parse().ok()).collect())
}
