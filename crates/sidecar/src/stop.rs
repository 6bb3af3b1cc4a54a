//! What signals ask for: a graceful stop that interrupts no request, and reloaded settings.

use std::rc::Rc;

use cassiashunt_mesh::{PauseWatch, StopSchedule};
use cassiashunt_types::prelude::*;
use tokio::time::{MissedTickBehavior, timeout};

use crate::{
    clock, link, logs,
    node::Node,
    settings::{Reading, Settings, SettingsError},
    settings_source::SettingsSource,
    signals::{SignalRequest, Signals},
    store::{StoreClient, withdraw},
};

/// The time between two checks whether all requests have finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for a signal to stop, then until pending requests have finished.
pub(crate) async fn wait_and_drain(
    node: &Rc<Node>,
    store: &Rc<StoreClient>,
    source: &SettingsSource,
    mut signals: Signals,
) {
    let mut watch = PauseWatch::new(clock::now());
    let mut ticks = tokio::time::interval(PauseWatch::TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reading = None;
    loop {
        tokio::select! {
            biased;
            request = signals.next() => match request {
                SignalRequest::Stop => break,
                // Takes the place of a reload that is still under way.
                SignalRequest::Reload => reading = start_reload(source),
            },
            settings = read_settings(&mut reading) => apply(node, settings),
            _ = ticks.tick() => watch.on_tick(clock::now()),
        }
    }
    drain(node, store, watch.earliest_signal(clock::now())).await;
}

/// Finishes pending requests of a node that was asked to stop at `began`, and closes all connections.
async fn drain(node: &Rc<Node>, store: &Rc<StoreClient>, began: Time) {
    let grace = Duration::from_secs_f64(node.settings().bounds.grace_s);
    let stop = StopSchedule::new(began, grace);
    node.stopping.set(Some(stop));
    log::info!(target: logs::LIFECYCLE, open = node.open_requests.get(),
        owned = node.owner.pending_requests(),
        paused_ms = clock::millis(clock::now().since(began)); "stopping");
    node.owner.drain(node);
    tokio::task::spawn_local(withdraw_entry(Rc::clone(node), Rc::clone(store), stop));
    wait_until(stop.gives_up(), |now| {
        now >= stop.notice_ends() && !has_pending_requests(node)
    })
    .await;
    // Connections accepted so far are still served; the system refuses further ones.
    node.stop_accepting.notify_one();
    finish_requests(node, stop).await;
    let now = clock::now();
    link::close_accepted(node, stop.closed_by(now).since(now)).await;
    // Requests of clients may have arrived meanwhile.
    finish_requests(node, stop).await;
    close_clients(node, stop).await;
    log::info!(target: logs::LIFECYCLE, open = node.open_requests.get(),
        owned = node.owner.pending_requests(),
        closing = node.closing_connections.get(), closed_idle = node.closed_idle.get(),
        spent_ms = clock::millis(clock::now().since(stop.began())); "stopped");
}

/// Waits until no request is pending, and gives up those that still are at the end.
async fn finish_requests(node: &Node, stop: StopSchedule) {
    wait_until(stop.gives_up(), |_| !is_busy(node)).await;
    if is_busy(node) {
        // The tasks that serve the clients' requests answer them.
        let given_up = node.give_up();
        wait_until(stop.ends(given_up), |_| !is_busy(node)).await;
        // Beside the links to peers, for which little time is left.
        node.closing_clients.cancel();
    }
}

/// Closes clients' connections once they are idle, and gives up requests that arrived before that
/// and are still pending at the end.
async fn close_clients(node: &Node, stop: StopSchedule) {
    node.closing_clients.cancel();
    let closed = node.clients_closed.notified();
    tokio::pin!(closed);
    let until = |time: Time| time.since(clock::now());
    if timeout(until(stop.gives_up()), &mut closed).await.is_err() {
        node.give_up();
        // Left open are those of clients that do not close their side.
        let _ = timeout(until(stop.closed_by(clock::now())), closed).await;
    }
}

fn has_pending_requests(node: &Node) -> bool {
    node.open_requests.get() > 0 || node.owner.pending_requests() > 0
}

/// Whether a request is pending or a connection is being closed after its last answer.
fn is_busy(node: &Node) -> bool {
    has_pending_requests(node) || node.closing_connections.get() > 0
}

/// Waits until the condition holds, but not beyond `latest`.
async fn wait_until(latest: Time, is_done: impl Fn(Time) -> bool) {
    loop {
        // After a pause of the process this task is polled before those that read what has arrived.
        tokio::task::yield_now().await;
        let now = clock::now();
        if now >= latest || is_done(now) {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL.min(latest.since(now))).await;
    }
}

/// Removes the entry from the store after the peers have learned of the stop over their links.
async fn withdraw_entry(node: Rc<Node>, store: Rc<StoreClient>, stop: StopSchedule) {
    tokio::time::sleep(stop.notice_ends().since(clock::now()) / 2).await;
    if let Err(err) = withdraw(&node, &store).await {
        log::info!(reason:% = err; "entry-left-to-lapse");
    }
}

fn start_reload(source: &SettingsSource) -> Option<Reading> {
    let reading = source.read_in_background();
    let log_failure = |err| log::error!(reason:% = err; "settings-refused");
    reading.map_err(log_failure).ok()
}

/// Waits for settings that are being read, if any.
async fn read_settings(reading: &mut Option<Reading>) -> Result<Settings, SettingsError> {
    let Some(rx) = reading else {
        return std::future::pending().await;
    };
    let settings = rx.await;
    *reading = None;
    match settings {
        Ok(settings) => settings,
        // The thread panicked, which it has printed.
        Err(_) => std::future::pending().await,
    }
}

/// Applies settings that can change at run time, and logs which others need a restart.
fn apply(node: &Node, settings: Result<Settings, SettingsError>) {
    let started = node.settings();
    let reload = settings.and_then(|stated| {
        let service = stated.service.clone();
        Ok((service, started.reload(stated)?))
    });
    match reload {
        Ok((stated, reload)) => {
            log::info!(target: logs::LIFECYCLE,
                needs_restart:% = reload.needs_restart.join(" "),
                service:% = reload.settings.service, stated_service:% = stated,
                server_address:% = reload.settings.addresses.server; "settings-reloaded");
            node.set_settings(reload.settings);
        }
        Err(err) => log::error!(reason:% = err; "settings-refused"),
    }
}
