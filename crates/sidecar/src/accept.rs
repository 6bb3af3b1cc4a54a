//! Accepting connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection; failures are logged and retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                log::warn!(reason:% = err; "accept-failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
