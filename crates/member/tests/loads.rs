//! Load reports and hints between nodes.

mod common;

use cassiashunt_member::{Event, Load};
use cassiashunt_property::check;
use cassiashunt_types::prelude::*;
use common::{converged, fast_options};

#[test]
fn every_load_round_trips_through_its_number() {
    check(|u| {
        let load = Load {
            threshold: u.arbitrary()?,
            load: u.arbitrary()?,
        };
        assert_eq!(Load::from_number(load.number()), Some(load));
        Ok(())
    });
    assert_eq!(Load::from_number(0), None);
    assert_eq!(Load::from_number(u32::MAX), None);
}

#[test]
fn loads_reach_the_peers_of_a_small_fleet_within_two_seconds() {
    let mut net = converged(4, fast_options(), 10);
    for (index, id) in net.ids().into_iter().enumerate() {
        let load = Load {
            threshold: 7,
            load: u8::try_from(index).expect("an index exceeds u8"),
        };
        net.act(id, Event::SetLoad(load));
    }
    net.run(Duration::from_secs(2));
    for (id, process) in &net.processes {
        for member in process.members.iter() {
            let report = member.load.expect("a peer's load did not arrive");
            assert!(report.age(net.local(*id)) <= Duration::from_secs(2));
            assert_eq!(report.load.threshold, 7);
        }
    }
}
