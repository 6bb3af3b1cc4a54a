//! Signals: a planned stop that cuts nothing off, and changed settings.

use std::{path::Path, rc::Rc};

use cassiashunt_types::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    clock,
    node::Node,
    settings::Settings,
    store::{StoreClient, withdraw},
};

/// How long clients are given to see that the node is not ready: it is asked once a second, and
/// two misses take it out.
const NOTICE: Duration = Duration::from_millis(2_600);
/// The part of the grace period that the work in hand may take.
const USED_GRACE: f64 = 0.93;
/// The time between two looks whether all work is done.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Waits for the signal to stop, and then for the end of the work in hand.
pub(crate) async fn wait(
    node: &Rc<Node>,
    store: &Rc<StoreClient>,
    path: &Path,
) -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hup.recv() => reload(node, path),
        }
    }
    drain(node, store).await;
    Ok(())
}

/// Finishes the work in hand. Nothing is awaited between the last look and the end, so that no
/// request is read that would not be answered.
async fn drain(node: &Rc<Node>, store: &Rc<StoreClient>) {
    let began = clock::now();
    node.stopping.set(Some(began));
    log::info!(open = node.open_requests.get(), owned = node.owner.pending_requests(); "stopping");
    node.owner.drain(node);
    tokio::task::spawn_local(withdraw_entry(Rc::clone(node), Rc::clone(store)));
    finish(node, began, NOTICE).await;
    // What was accepted by now is read and answered; further clients are refused by the system.
    node.accept_no_more.notify_one();
    finish(node, began, Duration::ZERO).await;
    log::info!(open = node.open_requests.get(), owned = node.owner.pending_requests(); "stopped");
}

/// Waits for `least` since the beginning of the stop, and for the end of the work in hand.
async fn finish(node: &Node, began: Time, least: Duration) {
    let grace = Duration::from_secs_f64(node.settings().bounds.grace_s).mul_f64(USED_GRACE);
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let spent = clock::now().since(began);
        let is_done = node.open_requests.get() == 0 && node.owner.pending_requests() == 0;
        if spent >= grace || (is_done && spent >= least) {
            return;
        }
    }
}

/// Takes the entry back once peers have heard of the stop from this node itself.
async fn withdraw_entry(node: Rc<Node>, store: Rc<StoreClient>) {
    tokio::time::sleep(NOTICE / 2).await;
    let Some(lease) = node.lease.take() else {
        return;
    };
    if let Err(err) = withdraw(&store, lease).await {
        log::info!(reason:% = err; "entry-left-to-lapse");
    }
}

/// Takes in settings that can change while the node runs; what can't is logged.
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
