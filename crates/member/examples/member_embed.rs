//! Two memberships that exchange messages in memory and find each other.

use std::{collections::VecDeque, error::Error, net::SocketAddr};

use cassiashunt_member::{Action, Event, Members, Options, Phase, Record};
use cassiashunt_types::prelude::*;

fn node(port: u16) -> Result<Members, Box<dyn Error>> {
    let me = Record {
        id: NodeId(u64::from(port) << 48),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "ikeja".parse()?,
        service: Some("rota".parse()?),
        slots: 70,
        phase: Phase::Joining,
        start: 0,
    };
    let rng = fastrand::Rng::with_seed(u64::from(port));
    Ok(Members::new(Options::default(), me, rng))
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut nodes = [node(7001)?, node(7002)?];
    let seed = nodes[0].me().addr;
    let mut queue = VecDeque::from([(1, Event::Seeds(vec![seed]))]);
    for tick in 0..10 {
        queue.extend([(0, Event::Tick), (1, Event::Tick)]);
        let now = Time::from_millis(100 * tick);
        while let Some((index, event)) = queue.pop_front() {
            let from = nodes[index].me().addr;
            for action in nodes[index].on(now, event) {
                match action {
                    Action::Send { to, msg } => {
                        let index = nodes.iter().position(|node| node.me().addr == to);
                        let index = index.ok_or("no node has this address")?;
                        queue.push_back((index, Event::Receive { from, msg }));
                    }
                    other => println!("{now} {from} {other:?}"),
                }
            }
        }
    }
    Ok(())
}
