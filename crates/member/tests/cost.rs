//! The formula for bytes a second, against counted ones.

mod common;

use cassiashunt_member::{
    Event, Load, Options,
    cost::{Cost, Fleet},
};
use cassiashunt_types::prelude::*;
use common::{Net, settled};

const SECONDS: u32 = 30;

/// Bytes a second sent by each node on average.
fn counted(net: &mut Net, attesting: &[NodeId]) -> f64 {
    let total = |net: &Net| net.processes.values().map(|p| p.sent).sum::<u64>();
    let before = total(net);
    for _ in 0..SECONDS {
        for id in attesting {
            let at = net.local(*id);
            let body = vec![1; 12];
            net.act(*id, Event::Attest { body, at });
        }
        net.run(Duration::from_secs(1));
    }
    let sent = (total(net) - before) as f64;
    sent / f64::from(SECONDS) / net.processes.len() as f64
}

#[test]
fn the_formula_agrees_with_counted_bytes_to_five_in_a_hundred() {
    for (nodes, attesting) in [(2, 0), (5, 3), (20, 15), (64, 15)] {
        let opts = Options::default();
        let mut net = settled(9, opts, nodes);
        let relays: Vec<NodeId> = net.ids().into_iter().take(attesting).collect();
        for id in net.ids() {
            let load = Load {
                threshold: 10,
                load: 100,
            };
            net.act(id, Event::SetLoad(load));
        }
        counted(&mut net, &relays);
        let counted = counted(&mut net, &relays);
        let fleet = Fleet {
            nodes: usize::from(nodes),
            attesting,
            changes_per_second: 0.0,
        };
        let formula = Cost::of(&opts, &fleet).sent;
        let ratio = counted / formula;
        assert!(
            (0.95..=1.05).contains(&ratio),
            "{nodes} nodes: counted {counted:.0}, formula {formula:.0}"
        );
    }
}

#[test]
fn a_node_alone_costs_nothing() {
    let fleet = Fleet {
        nodes: 1,
        attesting: 0,
        changes_per_second: 0.0,
    };
    assert_eq!(Cost::of(&Options::default(), &fleet).total(), 0.0);
}
