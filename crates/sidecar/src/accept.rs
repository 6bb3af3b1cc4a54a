//! Taking connections in.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// A pause after a failed accept, as when descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// The next connection of a listener.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                log::warn!(reason:% = err; "accept-failed");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
