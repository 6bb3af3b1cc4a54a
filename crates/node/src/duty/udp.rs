//! Receives sealed datagrams.

use std::sync::{
    atomic::{AtomicBool, Ordering},
    mpsc::SyncSender,
};

use metrics::counter;

use super::{event::Event, net::Net};

/// The largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives until `is_stopped`; the thread is woken by a datagram from here.
pub(super) fn receive(net: &Net, is_stopped: &AtomicBool, tx: &SyncSender<Event>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    while !is_stopped.load(Ordering::Acquire) {
        let Ok((len, from)) = net.socket().recv_from(&mut buf) else {
            continue;
        };
        counter!("cassiashunt_control_received_bytes_total").increment(len as u64);
        match net.seal().open(&buf[..len]) {
            Ok(envelope) => {
                if tx.send(Event::Datagram { from, envelope }).is_err() {
                    return;
                }
            }
            Err(err) => {
                counter!("cassiashunt_datagrams_dropped_total").increment(1);
                log::debug!(event = "datagram-dropped", from:% = from; "{err}");
            }
        }
    }
}
