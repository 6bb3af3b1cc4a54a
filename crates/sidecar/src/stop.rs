//! What signals ask for: a graceful stop that interrupts no request, and reloaded settings.

use std::{path::Path, rc::Rc};

use cassiashunt_types::prelude::*;

use crate::{
    clock,
    node::Node,
    settings::Settings,
    signals::{SignalRequest, Signals},
    store::{StoreClient, withdraw},
};

/// How long the node still accepts connections after it stops being ready. Readiness is checked
/// once a second, and two failed checks take the node out of rotation.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2_600);
/// The fraction of the grace period within which pending requests must finish.
const DRAIN_GRACE_FRACTION: f64 = 0.93;
/// The time between two checks whether all requests have finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for a signal to stop, then until pending requests have finished.
pub(crate) async fn wait_and_drain(
    node: &Rc<Node>,
    store: &Rc<StoreClient>,
    path: &Path,
    mut signals: Signals,
) {
    while signals.next().await == SignalRequest::Reload {
        reload(node, path);
    }
    drain(node, store).await;
}

/// Finishes pending requests. Nothing is awaited between the last check and the end, so that no
/// request is read that would get no answer.
async fn drain(node: &Rc<Node>, store: &Rc<StoreClient>) {
    let began = clock::now();
    node.stopping.set(Some(began));
    log::info!(open = node.open_requests.get(), owned = node.owner.pending_requests(); "stopping");
    node.owner.drain(node);
    tokio::task::spawn_local(withdraw_entry(Rc::clone(node), Rc::clone(store)));
    wait_for_requests(node, began, NOT_READY_NOTICE).await;
    // Connections accepted so far are still served; the system refuses further ones.
    node.stop_accepting.notify_one();
    wait_for_requests(node, began, Duration::ZERO).await;
    log::info!(open = node.open_requests.get(), owned = node.owner.pending_requests(),
        closing = node.closing_connections.get(), spent_ms = clock::millis(clock::now().since(began));
        "stopped");
}

/// Waits until `min_wait` has passed since the start of the stop and no request is pending, or
/// until the usable fraction of the grace period has passed.
async fn wait_for_requests(node: &Node, began: Time, min_wait: Duration) {
    let grace =
        Duration::from_secs_f64(node.settings().bounds.grace_s).mul_f64(DRAIN_GRACE_FRACTION);
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let spent = clock::now().since(began);
        let is_done = node.open_requests.get() == 0 && node.owner.pending_requests() == 0;
        if spent >= grace || (is_done && spent >= min_wait) {
            return;
        }
    }
}

/// Removes the entry from the store after the peers have learned of the stop over their links.
async fn withdraw_entry(node: Rc<Node>, store: Rc<StoreClient>) {
    tokio::time::sleep(NOT_READY_NOTICE / 2).await;
    let Some(lease) = node.lease.take() else {
        return;
    };
    if let Err(err) = withdraw(&store, lease).await {
        log::info!(reason:% = err; "entry-left-to-lapse");
    }
}

/// Applies settings that can change at run time, and logs whether others need a restart.
fn reload(node: &Node, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            let needs_restart = settings.addresses != node.settings().addresses
                || settings.store != node.settings().store
                || settings.name != node.settings().name;
            log::info!(needs_restart = needs_restart; "settings-reloaded");
            node.set_settings(settings);
        }
        Err(err) => log::error!(reason:% = err; "settings-refused"),
    }
}
