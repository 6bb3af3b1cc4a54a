//! Entries of nodes, some of which name no address to connect to.

use cassiashunt_mesh::{Announcement, ServerState};
use cassiashunt_types::prelude::*;

fn announcement(address: &str) -> Announcement {
    Announcement {
        incarnation: NodeId(1),
        address: address.into(),
        domain: "east".parse().expect("invalid failure domain"),
        service: "shop".parse().expect("invalid service"),
        slots: 8,
        state: ServerState::Ready,
        is_cold: false,
        is_stopping: false,
    }
}

#[test]
fn an_announcement_names_a_peer_only_with_an_address_that_can_be_connected_to() {
    for address in ["10.128.0.9:8080", "[fd00::9]:1", "127.0.0.1:65535"] {
        assert!(announcement(address).peer_address().is_some(), "{address}");
    }
    for address in [
        "",
        "10.128.0.9",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:-1",
        "10.128.0.9:1e3",
        "10.128.0.9:8080 ",
        "10.128.0.9.1:80",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "[ff02::1]:80",
        "node-1:80",
    ] {
        assert_eq!(announcement(address).peer_address(), None, "{address}");
    }
}

#[test]
fn announcements_of_one_run_contradict_each_other_with_another_address_or_domain() {
    let first = announcement("10.128.0.9:8080");
    let moved = announcement("10.128.0.9:8081");
    let elsewhere = Announcement {
        domain: "west".parse().expect("invalid failure domain"),
        ..first.clone()
    };
    let later_run = Announcement {
        incarnation: NodeId(2),
        ..moved.clone()
    };
    let busy = Announcement {
        slots: 4,
        state: ServerState::Draining,
        ..first.clone()
    };
    assert!(first.contradicts(&moved) && first.contradicts(&elsewhere));
    assert!(!first.contradicts(&later_run) && !first.contradicts(&busy));
}
