//! Messages of the aggregation tree: sums of capacity and demand, proofs of the table, and which
//! tables, entries and strikes a node holds.

use std::rc::Rc;

use cassiashunt_mesh::{EvacuationChange, Origin, SumReport, Tree, TreePosition, first_by_rank};
use cassiashunt_types::prelude::*;

use crate::{
    aggregation::Child,
    clock,
    fleet::Fleet,
    link::{Down, EvacuationRow, Kind, KnownState, Sender, Up},
    node::Node,
    sum_rows::{from_row, origin_from_row, origin_to_row, to_row},
};

/// Nodes of each failure domain that watch the store on behalf of the others.
const WATCHERS_PER_DOMAIN: usize = 2;
/// How long the first link to a node may take to come up while both nodes are starting.
const LINK_SETUP_TIME: Duration = Duration::from_millis(1_500);

/// Rebuilds the tree from the current members.
pub(crate) fn set_nodes(node: &Node) {
    let settings = node.settings();
    let members = node.fleet.borrow().members();
    *node.aggregation.tree.borrow_mut() =
        Tree::new(&settings.name, settings.domain(), members.into_iter());
}

/// Whether this node watches the store on behalf of others, as one of the first two of its failure
/// domain.
pub(crate) fn is_watcher(node: &Node) -> bool {
    reachable_above(node) < WATCHERS_PER_DOMAIN
}

/// Whether this node is one of the first `count` heads of failure domains, by rank.
pub(crate) fn is_among_first_heads(node: &Node, count: usize) -> bool {
    let own = node.settings().name.clone();
    let heads = node
        .aggregation
        .heads()
        .filter(|_| reachable_above(node) == 0);
    heads.is_some_and(|others| {
        let first = first_by_rank(others.into_iter().chain([own.clone()]), count);
        first.contains(&own)
    })
}

/// The number of nodes above this one that are reachable, or so new that their links may not be up
/// yet. Without the latter, all nodes would become watchers when a whole fleet starts.
fn reachable_above(node: &Node) -> usize {
    let now = clock::now();
    let (tree, fleet) = (node.aggregation.tree.borrow(), node.fleet.borrow());
    tree.count_reachable_above(|name| {
        node.aggregation.is_reachable(&fleet, now, name) || fleet.is_new(now, name, LINK_SETUP_TIME)
    })
}

/// The nodes that this one needs a link to for the tree.
pub(crate) fn wanted_peers(node: &Node, fleet: &Fleet) -> Vec<String> {
    let now = clock::now();
    let tree = node.aggregation.tree.borrow();
    tree.wanted(|name| node.aggregation.is_reachable(fleet, now, name))
}

/// Sends reports at a fixed interval, and at once when notified of a change.
pub(crate) async fn run_reports(node: Rc<Node>) {
    loop {
        let is_notified = tokio::time::timeout(
            node.aggregation.times().report_interval,
            node.report_now.notified(),
        );
        let is_notified = is_notified.await.is_ok();
        send_report(&node);
        if is_notified {
            notify_children(&node);
        }
    }
}

fn send_report(node: &Rc<Node>) {
    let now = clock::now();
    let aggregation = &node.aggregation;
    aggregation.check_answers(now);
    let position = {
        let (tree, fleet) = (aggregation.tree.borrow(), node.fleet.borrow());
        tree.position(|name| aggregation.is_reachable(&fleet, now, name))
    };
    for name in aggregation.set_position(now, position.clone()) {
        if let Some(link) = node.fleet.borrow().link(&name) {
            link.send_report(Kind::Up(Up::default()));
        }
    }
    let with_uses = now.since(aggregation.uses_sent.get()) >= aggregation.times().uses_interval;
    if with_uses {
        aggregation.uses_sent.set(now);
        node.update_uses();
    }
    let up = {
        let mut sums = aggregation.sums.borrow_mut();
        sums.set_own(node.own_sum());
        sums.expire(now);
        let is_head = matches!(position, TreePosition::Head(_));
        let origins = if is_head {
            Vec::new()
        } else {
            sums.origins(now, with_uses)
        };
        Up {
            sum: Some(to_row(sums.subtree(with_uses))),
            asked_us: now.as_micros(),
            is_head,
            origins: origins.into_iter().map(origin_to_row).collect(),
            known: Some(node.known_state()),
            evacuations: evacuation_rows(node),
        }
    };
    let fleet = node.fleet.borrow();
    for name in position.recipients() {
        if let Some(link) = fleet.link(name) {
            link.send_report(Kind::Up(up.clone()));
        }
    }
}

/// Sends this node's known state to its children without waiting for their next reports.
fn notify_children(node: &Node) {
    let mut children = node.aggregation.children.borrow_mut();
    children.retain(|_, child| !child.tx.is_closed());
    let down = Down {
        others: None,
        proof: None,
        known: Some(node.known_state()),
        evacuations: evacuation_rows(node),
    };
    for child in children.values() {
        // A child whose queue is full receives it with its next answer.
        let _ = child.tx.try_send(Kind::Down(down.clone()).into());
    }
}

/// Handles the report of a child or another head, and answers it.
pub(crate) fn on_up(node: &Rc<Node>, name: &str, tx: &Sender, up: &Up) {
    let now = clock::now();
    let aggregation = &node.aggregation;
    let uses_interval = aggregation.times().uses_interval;
    let mut sums = aggregation.sums.borrow_mut();
    let Some(report) = up.sum.as_ref().map(from_row) else {
        sums.on_detached(name);
        aggregation.children.borrow_mut().remove(name);
        return;
    };
    let age = sums.report_age(now, name, Time::from_micros(up.asked_us));
    let origin = Origin {
        name: name.to_owned(),
        age,
        report,
    };
    if up.is_head {
        sums.on_origin(now, origin);
    } else {
        sums.on_child(now, origin);
    }
    for row in &up.origins {
        let mut origin = origin_from_row(row);
        origin.age += age;
        sums.on_origin(now, origin);
    }
    sums.expire(now);
    let mut children = aggregation.children.borrow_mut();
    let child = children.entry(name.to_owned()).or_insert_with(|| Child {
        tx: tx.clone(),
        uses_sent: Time::ZERO,
    });
    if !child.tx.same_channel(tx) {
        child.tx = tx.clone();
    }
    let with_uses = now.since(child.uses_sent) >= uses_interval;
    if with_uses {
        child.uses_sent = now;
    }
    let others = (!up.is_head).then(|| to_row(sums.others_for(name, with_uses)));
    let down = Down {
        others,
        proof: node.proof(now, up.asked_us),
        known: Some(node.known_state()),
        evacuations: evacuation_rows(node),
    };
    // A child whose queue is full gets its answer to the next report.
    let _ = tx.try_send(Kind::Down(down).into());
    drop((sums, children));
    node.on_evacuation_changes(up.evacuations.iter().map(EvacuationChange::from));
    on_known_state(node, name, up.known, |kind| {
        tx.try_send(kind.into()).is_ok()
    });
}

/// Handles an answer or an update of a parent or another head.
pub(crate) fn on_down(
    node: &Rc<Node>,
    now: Time,
    name: &str,
    down: &Down,
    ask: impl Fn(Kind) -> bool,
) {
    node.on_evacuation_changes(down.evacuations.iter().map(EvacuationChange::from));
    let aggregation = &node.aggregation;
    if let Some(proof) = &down.proof {
        node.on_proof(now, proof);
    }
    if let Some(at) = aggregation.last_answers.borrow_mut().get_mut(name) {
        *at = now;
    }
    let is_parent =
        matches!(&*aggregation.position.borrow(), TreePosition::Member(it) if it == name);
    if let Some(others) = down.others.as_ref().filter(|_| is_parent) {
        let report: SumReport = from_row(others);
        aggregation.sums.borrow_mut().on_parent(now, report);
    }
    on_known_state(node, name, down.known, ask);
}

/// The last known changes of evacuations, for peers.
fn evacuation_rows(node: &Node) -> Vec<EvacuationRow> {
    let known = node.evacuations.borrow();
    known.changes().map(EvacuationRow::from).collect()
}

/// Compares the peer's known state with this node's: asks for newer tables and entries, and sends
/// this node's strikes where the peer's differ.
fn on_known_state(node: &Node, name: &str, known: Option<KnownState>, ask: impl Fn(Kind) -> bool) {
    let Some(known) = known else {
        return;
    };
    let now = clock::now();
    if let Some(strikes) = node.suspicion.strikes_for(now, name, known.strikes) {
        ask(Kind::Strikes(strikes));
    }
    if node.on_peer_table(now, known.known_table()) {
        ask(Kind::AskTable(true));
    }
    let (own, peer) = (node.directory.borrow().revision(), known.known_entries());
    if peer > own {
        ask(Kind::ask_entries(own));
    }
}
