//! Starts the tasks of a node and waits for its end.

use std::{path::Path, rc::Rc, time::Duration};

use eyre::WrapErr as _;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{net::TcpListener, task::LocalSet};

use crate::{
    control::{self, Purpose},
    ingress::accept_clients,
    link::accept_peers,
    logs, metrics,
    node::Node,
    settings::Settings,
    stop,
    store::{self, StoreClient},
    tree, wiring,
};

/// The time between two steps of the owner's queue.
const QUEUE_TICK: Duration = Duration::from_millis(25);
/// The time between two words about this node's load, for each ten peers that are told.
const LOAD_EVERY: Duration = Duration::from_millis(100);
/// The time between two steps of the shedding before chains start.
const SHED_STEP: Duration = Duration::from_millis(100);
/// The time between two delegations of shares of limits, a third of the time that they count.
const DELEGATE_EVERY: Duration = Duration::from_millis(300);
/// The time between two looks for peers that are gone.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Runs a node until it is asked to stop.
///
/// # Errors
///
/// Where the settings can't be used or an address can't be listened on.
pub fn run(path: &Path) -> eyre::Result<()> {
    let settings = Settings::read(path)?;
    logs::init(&settings.name)?;
    log::info!(settings:% = path.display(), version:% = env!("CARGO_PKG_VERSION"); "node-start");
    let rendered = metrics::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, serve(settings, path, rendered));
    match &ended {
        Ok(()) => log::info!("node-stop"),
        Err(err) => log::error!(reason:% = format!("{err:#}"); "node-failed"),
    }
    // Sockets close at once: nobody takes in what would come while the last lines are written.
    drop((tasks, runtime));
    logs::flush();
    std::thread::sleep(logs::LAST_WRITE);
    ended
}

async fn serve(settings: Settings, path: &Path, rendered: PrometheusHandle) -> eyre::Result<()> {
    let addresses = settings.addresses.clone();
    let store = Rc::new(StoreClient::new(settings.store.address));
    let node = Rc::new(Node::new(settings, Rc::clone(&store)));
    let requests = listen(addresses.requests).await?;
    let peers = listen(addresses.peers).await?;
    let ready = listen(addresses.ready).await?;
    let heartbeats = listen(addresses.heartbeats).await?;
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    let tasks: Vec<std::pin::Pin<Box<dyn Future<Output = ()>>>> = vec![
        Box::pin(accept_clients(Rc::clone(&node), requests)),
        Box::pin(accept_peers(Rc::clone(&node), peers)),
        Box::pin(control::accept_control(
            Rc::clone(&node),
            ready,
            Purpose::Ready,
        )),
        Box::pin(control::accept_control(
            Rc::clone(&node),
            heartbeats,
            Purpose::Heartbeats,
        )),
        Box::pin(control::probe_server(Rc::clone(&node))),
        Box::pin(store::follow_config(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::prove_config(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::ask_proofs(Rc::clone(&node))),
        Box::pin(store::remember(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::follow_directory(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(store::announce(Rc::clone(&node), Rc::clone(&store))),
        Box::pin(tick_queue(Rc::clone(&node))),
        Box::pin(tell_load(Rc::clone(&node))),
        Box::pin(tree::tell(Rc::clone(&node))),
        Box::pin(step_shedding(Rc::clone(&node))),
        Box::pin(delegate_shares(Rc::clone(&node))),
        Box::pin(sweep(Rc::clone(&node))),
        Box::pin(flush_logs()),
    ];
    for task in tasks {
        spawn(task);
    }
    if let Some(address) = addresses.metrics {
        let listener = listen(address).await?;
        spawn(Box::pin(control::serve_metrics(
            Rc::clone(&node),
            listener,
            rendered,
        )));
    }
    stop::wait(&node, &store, path).await
}

async fn listen(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    let bound = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    bound.wrap_err_with(|| format!("can't listen on {address}"))
}

/// Connections that may wait to be accepted; a full queue makes clients wait for seconds.
const BACKLOG: u32 = 1_024;

async fn tick_queue(node: Rc<Node>) {
    loop {
        tokio::time::sleep(QUEUE_TICK).await;
        node.owner.tick(&node);
    }
}

/// Tells the load more rarely to more peers, so that what a node spends on it stays the same. Answers
/// bear it too.
async fn tell_load(node: Rc<Node>) {
    loop {
        let tens = node.listeners.borrow().len().div_ceil(10).max(1);
        tokio::time::sleep(LOAD_EVERY * u32::try_from(tens).unwrap_or(u32::MAX)).await;
        node.tell_load();
    }
}

/// Works out anew what fits of the clients' demand.
async fn step_shedding(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SHED_STEP).await;
        node.step_shedding();
    }
}

async fn delegate_shares(node: Rc<Node>) {
    loop {
        node.quotas.delegate(&node);
        tokio::time::sleep(DELEGATE_EVERY).await;
    }
}

async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        store::drop_missing(&node);
        wiring::step(&node);
    }
}

async fn flush_logs() {
    loop {
        tokio::time::sleep(logs::FLUSH_EVERY).await;
        logs::flush();
    }
}
