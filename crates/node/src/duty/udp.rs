//! Receives sealed datagrams.

use std::{
    net::UdpSocket,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc::SyncSender,
    },
};

use cassiashunt_wire::Seal;
use metrics::counter;

use super::event::Event;

/// The largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives until `is_stopped`; the thread is woken by a datagram from here.
pub(super) fn receive(
    socket: &UdpSocket,
    seal: &Seal,
    is_stopped: &AtomicBool,
    tx: &SyncSender<Event>,
) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    while !is_stopped.load(Ordering::Acquire) {
        let Ok((len, from)) = socket.recv_from(&mut buf) else {
            continue;
        };
        counter!("cassiashunt_control_received_bytes_total").increment(len as u64);
        match seal.open(&buf[..len]) {
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
