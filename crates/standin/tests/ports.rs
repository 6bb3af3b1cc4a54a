//! Ports for nodes that end and start again.

use std::{
    collections::BTreeSet,
    net::TcpStream,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use cassiashunt_standin::ports::{Ports, free_address};

#[test]
fn two_processes_take_other_ports_though_nobody_listens_on_them() {
    let (mut one, mut other) = (Ports::default(), Ports::default());
    let ports: BTreeSet<_> = (0..200)
        .flat_map(|_| [one.take(), other.take()])
        .map(|port| port.expect("a port is free"))
        .collect();
    assert_eq!(ports.len(), 400);
}

#[test]
fn an_address_is_given_once() {
    let addresses: BTreeSet<_> = (0..100)
        .map(|_| free_address().expect("a port is free"))
        .collect();
    assert_eq!(addresses.len(), 100);
}

/// A child has its parent's sockets for the moment between its start and its program's.
#[test]
fn nobody_listens_on_a_port_given_out_while_children_are_started() {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let status = Command::new("true").status();
                    assert!(status.is_ok_and(|it| it.success()));
                }
            });
        }
        let listened = (0..2_000)
            .map(|_| free_address().expect("a port is free"))
            .filter(|address| TcpStream::connect(address).is_ok())
            .count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(listened, 0, "of 2000 ports");
    });
}
