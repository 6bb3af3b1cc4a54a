//! Commits edits: durable in the platform, and known to the relays.

use std::{
    sync::{Arc, mpsc::sync_channel},
    thread,
    time::Duration,
};

use cassiashunt_table::{
    Head, Offer,
    commit::{self, Action, Commit, HeadReports, Outcome, Peers, Replicated},
};

use super::{event::Event, fetch};
use crate::shared::Shared;

/// How long the relays may take to know a change.
const PATIENCE: Duration = Duration::from_secs(5);

/// Runs a commit to its end on this thread.
pub(crate) fn run(shared: &Arc<Shared>, commit: (Commit, Action)) -> Outcome {
    let spread = |head: &Arc<Head>| spread(shared, head);
    let held = || held(shared);
    let peers = Peers {
        replicate: &spread,
        head_reports: &held,
        wait: &thread::sleep,
    };
    let outcome = commit::run(&shared.platform, &peers, commit);
    if let Outcome::Accepted {
        line: Some(line), ..
    } = &outcome
    {
        shared.config.note_accepted(*line);
    }
    outcome
}

/// The heads that the relays of this failure domain have in force.
fn held(shared: &Arc<Shared>) -> HeadReports {
    let relays = shared.control.own_relays();
    let others = relays.iter().filter(|peer| peer.node != shared.id);
    let mut peers: Vec<_> = others
        .filter_map(|peer| fetch::holding(shared, *peer))
        .collect();
    let is_relay = relays.iter().any(|peer| peer.node == shared.id);
    peers.extend(shared.config.holding().filter(|_| is_relay));
    HeadReports {
        peers,
        blocking: relays.len().div_ceil(2).max(1),
    }
}

/// Puts a durable head in force here and waits until the relays know it.
fn spread(shared: &Arc<Shared>, head: &Arc<Head>) -> Replicated {
    if let Offer::Forked { .. } = shared.config.offer_shared(head) {
        return match shared.config.head() {
            Some(by) => Replicated::Refused { by },
            None => Replicated::TooFewAnswers,
        };
    }
    let (done, accepted) = sync_channel(1);
    shared.control.tell(Event::Spread {
        revision: head.revision(),
        done,
    });
    match accepted.recv_timeout(PATIENCE) {
        Ok(()) => Replicated::InForce,
        Err(_) => Replicated::TooFewAnswers,
    }
}
