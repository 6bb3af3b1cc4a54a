//! Ports for nodes that end and start again.

use std::collections::BTreeSet;

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
