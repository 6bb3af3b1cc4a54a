//! Compares the cost formula with counted bytes.

mod common;

use cassiashunt_member::{
    Event, Load, Options,
    cost::{Cost, Fleet},
};
use cassiashunt_types::prelude::*;
use common::{Net, converged};

const MEASURED_SECONDS: u32 = 30;

/// Bytes a second sent by each node on average.
fn counted(net: &mut Net, attesting: &[NodeId]) -> f64 {
    let total = |net: &Net| net.processes.values().map(|p| p.sent).sum::<u64>();
    let before = total(net);
    for _ in 0..MEASURED_SECONDS {
        for id in attesting {
            let at = net.local(*id);
            let body = vec![1; 12];
            net.act(*id, Event::Attest { body, at });
        }
        net.run(Duration::from_secs(1));
    }
    let sent = (total(net) - before) as f64;
    sent / f64::from(MEASURED_SECONDS) / net.processes.len() as f64
}

#[test]
fn the_formula_is_within_five_percent_of_the_counted_bytes() {
    for (nodes, attesting) in [(2, 0), (5, 3), (20, 15), (64, 15)] {
        let opts = Options::default();
        let mut net = converged(9, opts, nodes);
        let attesters: Vec<NodeId> = net.ids().into_iter().take(attesting).collect();
        for id in net.ids() {
            let load = Load {
                threshold: 10,
                load: 100,
            };
            net.act(id, Event::SetLoad(load));
        }
        counted(&mut net, &attesters);
        let counted = counted(&mut net, &attesters);
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
fn a_single_node_sends_nothing() {
    let fleet = Fleet {
        nodes: 1,
        attesting: 0,
        changes_per_second: 0.0,
    };
    assert_eq!(Cost::of(&Options::default(), &fleet).total(), 0.0);
}
