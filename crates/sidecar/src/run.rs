//! Starts the tasks of a node and waits for its end.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use eyre::WrapErr as _;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpSocket},
    task::LocalSet,
};

use crate::{
    endpoints::{self, Endpoint},
    http::CLIENT_RECEIVE_BYTES,
    ingress::accept_clients,
    link::{LINK_RECEIVE_BYTES, accept_peers},
    logs, metrics,
    node::Node,
    peer_links,
    settings::Settings,
    settings_source::SettingsSource,
    signals::Signals,
    stop,
    store::{self, StoreClient},
    tree,
};

/// The time between two ticks of the owner's queue.
const QUEUE_TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The time between two load reports, for each ten peers that receive them.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two updates of the load shedding at the ingress, before chains start.
const SHEDDING_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two delegations of shares of limits: a third of the time that they are valid.
const DELEGATION_INTERVAL: Duration = Duration::from_millis(300);
/// The time between two checks for peers without an entry and for links to open or close.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two times at which samples of histograms are folded into their buckets.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a node until it is asked to stop.
///
/// # Errors
///
/// Fails if the settings are unusable or if it can't listen on an address.
pub fn run(source: &SettingsSource) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Before anything else: an unhandled signal ends the process.
    let signals = {
        let _runtime = runtime.enter();
        Signals::install()?
    };
    let settings = source.read()?;
    logs::init(&settings.name)?;
    log::info!(target: logs::LIFECYCLE, settings:% = source.path.display(),
        service:% = settings.service, domain:% = settings.domain,
        server_address:% = settings.addresses.server,
        version:% = env!("CARGO_PKG_VERSION"); "node-start");
    let metrics_handle = metrics::install()?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, serve(settings, source, metrics_handle, signals));
    match &result {
        Ok(()) => log::info!(target: logs::LIFECYCLE, "node-stop"),
        Err(err) => log::error!(reason:% = format!("{err:#}"); "node-failed"),
    }
    // Closes the sockets first: requests that arrive while the last lines are written would get no
    // answer.
    drop((tasks, runtime));
    logs::flush();
    std::thread::sleep(logs::FINAL_WRITE_DELAY);
    result
}

async fn serve(
    settings: Settings,
    source: &SettingsSource,
    metrics_handle: PrometheusHandle,
    signals: Signals,
) -> eyre::Result<()> {
    let addresses = settings.addresses.clone();
    let store = Rc::new(StoreClient::new(settings.store.address));
    let node = Rc::new(Node::new(settings, Rc::clone(&store)));
    let requests = listen(addresses.requests, CLIENT_RECEIVE_BYTES).await?;
    let peers = listen(addresses.peers, LINK_RECEIVE_BYTES).await?;
    let ready = listen(addresses.ready, CLIENT_RECEIVE_BYTES).await?;
    let heartbeats = listen(addresses.heartbeats, CLIENT_RECEIVE_BYTES).await?;
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    let tasks: Vec<std::pin::Pin<Box<dyn Future<Output = ()>>>> = vec![
        Box::pin(accept_clients(Rc::clone(&node), requests)),
        Box::pin(accept_peers(Rc::clone(&node), peers)),
        Box::pin(endpoints::serve_endpoint(
            Rc::clone(&node),
            ready,
            Endpoint::Ready,
        )),
        Box::pin(endpoints::serve_endpoint(
            Rc::clone(&node),
            heartbeats,
            Endpoint::Heartbeats,
        )),
        Box::pin(store::follow_config(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::prove_config(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::ask_proofs(Rc::clone(&node))),
        Box::pin(store::keep_persisted(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::follow_directory(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::announce(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(tick_queue(Rc::clone(&node))),
        Box::pin(send_load_reports(Rc::clone(&node))),
        Box::pin(tree::run_reports(Rc::clone(&node))),
        Box::pin(step_shedding(Rc::clone(&node))),
        Box::pin(delegate_shares(Rc::clone(&node))),
        Box::pin(check_peers(Rc::clone(&node))),
        Box::pin(flush_logs()),
    ];
    for task in tasks {
        spawn(task);
    }
    // A node that starts beside a running server need not wait for the next heartbeat.
    node.owner.identify(&node);
    spawn(Box::pin(keep_metrics(metrics_handle.clone())));
    if let Some(address) = addresses.metrics {
        let listener = listen(address, CLIENT_RECEIVE_BYTES).await?;
        spawn(Box::pin(endpoints::serve_metrics(
            Rc::clone(&node),
            listener,
            metrics_handle,
        )));
    }
    stop::wait_and_drain(&node, &store, source, signals).await;
    Ok(())
}

/// Listens for connections that begin with this receive buffer, also while they wait to be accepted.
async fn listen(address: SocketAddr, receive_bytes: u32) -> eyre::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(receive_bytes)?;
    socket.set_reuseaddr(true)?;
    let bound = socket
        .bind(address)
        .and_then(|()| socket.listen(LISTEN_BACKLOG));
    bound.wrap_err_with(|| format!("can't listen on {address}"))
}

/// The most connections that may wait to be accepted. A full backlog makes clients wait for
/// seconds.
const LISTEN_BACKLOG: u32 = 1_024;

async fn tick_queue(node: Rc<Node>) {
    loop {
        tokio::time::sleep(QUEUE_TICK_INTERVAL).await;
        node.owner.tick(&node);
    }
}

/// Sends load reports, at intervals that grow with the number of peers so that their total cost
/// stays constant. Answers carry the load as well.
async fn send_load_reports(node: Rc<Node>) {
    loop {
        let tens_of_peers = node.load_recipients.borrow().len().div_ceil(10).max(1);
        tokio::time::sleep(LOAD_REPORT_INTERVAL * u32::try_from(tens_of_peers).unwrap_or(u32::MAX))
            .await;
        node.send_load();
    }
}

/// Recomputes periodically how much of the clients' demand is admitted.
async fn step_shedding(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SHEDDING_INTERVAL).await;
        node.step_shedding();
    }
}

async fn delegate_shares(node: Rc<Node>) {
    loop {
        node.quotas.delegate(&node);
        tokio::time::sleep(DELEGATION_INTERVAL).await;
    }
}

async fn check_peers(node: Rc<Node>) {
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        store::drop_missing(&node);
        store::count_peers(&node);
        node.update_limits();
        peer_links::update_subsets(&node);
    }
}

/// Folds the samples of histograms into their buckets. Reading the metrics does so as well, but they
/// may not be read for hours.
async fn keep_metrics(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        handle.run_upkeep();
    }
}

async fn flush_logs() {
    loop {
        tokio::time::sleep(logs::FLUSH_INTERVAL).await;
        logs::flush();
    }
}
