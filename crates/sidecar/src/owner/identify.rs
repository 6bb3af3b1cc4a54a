//! Asks the backend server for its id where a node does not know which start it is beside.

use std::{net::SocketAddr, rc::Rc};

use cassiashunt_adapter::{HEALTH_PATH, ResponseHeaders, read_response_headers};
use cassiashunt_types::prelude::*;
use tokio::{net::TcpStream, time::timeout};

use super::Owner;
use crate::{
    clock,
    http::{Connection, OutgoingMessage},
    node::Node,
};

/// The time between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The most probes in a row. Servers send a heartbeat every 1.5 s, which begins the next ones.
const MAX_PROBES: u32 = 4;
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// A server's answer to a probe.
pub(super) struct ProbeAnswer {
    /// The number of the probe.
    pub(super) number: u64,
    /// When the probe was sent.
    pub(super) sent: Time,
    /// The server's id.
    pub(super) id: String,
    /// Its slots, if it states them.
    pub(super) slots: Option<u32>,
    /// How much longer it is cold; zero if it states nothing.
    pub(super) warm_up: Duration,
}

impl Owner {
    /// Asks the server for its id as long as that is in doubt, a few times at most.
    pub(crate) fn identify(&self, node: &Rc<Node>) {
        if self.is_identifying.replace(true) {
            return;
        }
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_PROBES {
                if !node.owner.needs_probe() {
                    break;
                }
                probe(&node).await;
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            node.owner.is_identifying.set(false);
        });
    }

    pub(super) fn needs_probe(&self) -> bool {
        let inner = self.inner.borrow();
        inner.starts.needs_probe() || inner.is_warmth_doubted()
    }
}

async fn probe(node: &Rc<Node>) {
    let sent = clock::now();
    let number = node.owner.inner.borrow_mut().starts.on_probe_sent();
    let address = node.settings().addresses.server;
    let Ok(Some(headers)) = timeout(PROBE_TIMEOUT, ask_health(address)).await else {
        return;
    };
    if let Some(server) = headers.server {
        let slots = headers.load.map(|load| load.slots);
        log::info!(server:% = server, slots:? = slots, warm_up:? = headers.warm_up;
            "server-probed");
        let answer = ProbeAnswer {
            number,
            sent,
            id: server,
            slots,
            warm_up: headers.warm_up.unwrap_or_default(),
        };
        node.owner.on_probed(node, answer);
    }
}

/// The headers of a server's answer that it is healthy.
async fn ask_health(address: SocketAddr) -> Option<ResponseHeaders> {
    let stream = TcpStream::connect(address).await.ok()?;
    let mut connection = Connection::new(stream);
    let request =
        format!("GET {HEALTH_PATH} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let request = OutgoingMessage::new(request.into(), bytes::Bytes::new());
    let exchanged = connection.exchange_head(&request, 0, "GET").await;
    let (head, _) = exchanged.ok()?;
    (head.status == 200).then(|| read_response_headers(head.pairs()))
}
