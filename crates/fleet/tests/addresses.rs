//! Addresses of nodes that have ended.

mod support;

use std::{
    net::UdpSocket,
    thread,
    time::{Duration, Instant},
};

use support::{Caller, KEY, callers, start};

/// How long after its end a node may still hold an address.
const RELEASED_WITHIN: Duration = Duration::from_secs(1);

#[test]
fn a_killed_node_leaves_its_addresses_while_a_call_of_it_is_under_way() {
    let fleet = start();
    for member in &fleet.members {
        member.server.set(|opts| opts.slow_factor = 300.0);
    }
    let addr = callers(&fleet)[3];
    let peers = fleet.members[3].addresses.peers;
    thread::scope(|scope| {
        // Both ends of the call are cut off or wait; what becomes of it is of no interest here.
        scope.spawn(|| Caller::new(KEY).get(addr, "/sections"));
        thread::sleep(Duration::from_millis(300));
        fleet.kill_node(3);
        let until = Instant::now() + RELEASED_WITHIN;
        while let Err(err) = UdpSocket::bind(peers) {
            assert!(Instant::now() < until, "{peers}: {err}");
            thread::sleep(Duration::from_millis(10));
        }
    });
}
