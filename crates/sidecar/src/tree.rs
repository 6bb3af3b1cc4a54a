//! This node's words through the tree: sums, proofs of the table, news of tables and entries.

use std::rc::Rc;

use cassiashunt_mesh::{Origin, SumReport, Tree, TreePosition, first_by_rank};
use cassiashunt_types::prelude::*;

use crate::{
    clock,
    fleet::Fleet,
    link::{Down, Kind, Known, Sender, Up},
    node::Node,
    standing::Child,
    sums::{from_row, origin_from_row, origin_to_row, to_row},
};

/// Nodes of a failure domain that look at the store for the others.
const WATCHERS: usize = 2;
/// How long the first link to a node may take, with both ends busy at their start.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Takes in which nodes there are.
pub(crate) fn set_nodes(node: &Node) {
    let settings = node.settings();
    let members = node.fleet.borrow().members();
    *node.standing.tree.borrow_mut() =
        Tree::new(&settings.name, settings.domain, members.into_iter());
}

/// Whether this node looks at the store for others: one of the first two of its failure domain.
pub(crate) fn is_watcher(node: &Node) -> bool {
    above(node) < WATCHERS
}

/// Whether this node is one of the first `count` heads of failure domains.
pub(crate) fn is_among_first_heads(node: &Node, count: usize) -> bool {
    let own = node.settings().name.clone();
    let heads = node.standing.heads().filter(|_| above(node) == 0);
    heads.is_some_and(|others| {
        let first = first_by_rank(others.into_iter().chain([own.clone()]), count);
        first.contains(&own)
    })
}

/// The nodes above this one that it reaches, or has known for so short a time that their links may
/// still be on the way: the start of a whole fleet would make all its nodes watchers otherwise.
fn above(node: &Node) -> usize {
    let now = clock::now();
    let (tree, fleet) = (node.standing.tree.borrow(), node.fleet.borrow());
    tree.count_reachable_above(|name| {
        node.standing.reaches(&fleet, now, name) || fleet.is_new(now, name, SETTLED)
    })
}

/// The nodes that this one is to be connected to for the tree.
pub(crate) fn wanted(node: &Node, fleet: &Fleet) -> Vec<String> {
    let now = clock::now();
    let tree = node.standing.tree.borrow();
    tree.wanted(|name| node.standing.reaches(fleet, now, name))
}

/// Tells this node's words again and again, and at once where there is news.
pub(crate) async fn tell(node: Rc<Node>) {
    loop {
        let has_news = tokio::time::timeout(
            node.standing.times().report_interval,
            node.tell_now.notified(),
        );
        let has_news = has_news.await.is_ok();
        tell_once(&node);
        if has_news {
            tell_children(&node);
        }
    }
}

fn tell_once(node: &Rc<Node>) {
    let now = clock::now();
    let standing = &node.standing;
    standing.look_at_answers(now);
    let station = {
        let (tree, fleet) = (standing.tree.borrow(), node.fleet.borrow());
        tree.position(|name| standing.reaches(&fleet, now, name))
    };
    for name in standing.set_station(now, station.clone()) {
        if let Some(link) = node.fleet.borrow().link(&name) {
            link.tell(Kind::Up(Up::default()));
        }
    }
    let with_uses = now.since(standing.uses_told.get()) >= standing.times().uses_interval;
    if with_uses {
        standing.uses_told.set(now);
        node.step_uses();
    }
    let up = {
        let mut sums = standing.sums.borrow_mut();
        sums.set_own(node.own_sum());
        sums.expire(now);
        let is_head = matches!(station, TreePosition::Head(_));
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
            known: Some(node.known()),
        }
    };
    let fleet = node.fleet.borrow();
    for name in station.recipients() {
        if let Some(link) = fleet.link(name) {
            link.tell(Kind::Up(up.clone()));
        }
    }
}

/// Tells children at once that there is news.
fn tell_children(node: &Node) {
    let mut children = node.standing.children.borrow_mut();
    children.retain(|_, child| !child.tx.is_closed());
    let down = Down {
        rest: None,
        proof: None,
        known: Some(node.known()),
    };
    for child in children.values() {
        // A child whose queue is full hears it with its next answer.
        let _ = child.tx.try_send(Kind::Down(down.clone()).into());
    }
}

/// Takes in what a child or another head tells, and answers.
pub(crate) fn on_up(node: &Node, name: &str, tx: &Sender, up: &Up) {
    let now = clock::now();
    let standing = &node.standing;
    let uses_every = standing.times().uses_interval;
    let mut sums = standing.sums.borrow_mut();
    let Some(told) = up.sum.as_ref().map(from_row) else {
        sums.on_detached(name);
        standing.children.borrow_mut().remove(name);
        return;
    };
    let age = sums.report_age(now, name, Time::from_micros(up.asked_us));
    let origin = Origin {
        name: name.to_owned(),
        age,
        report: told,
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
    let mut children = standing.children.borrow_mut();
    let child = children.entry(name.to_owned()).or_insert_with(|| Child {
        tx: tx.clone(),
        uses_told: Time::ZERO,
    });
    if !child.tx.same_channel(tx) {
        child.tx = tx.clone();
    }
    let with_uses = now.since(child.uses_told) >= uses_every;
    if with_uses {
        child.uses_told = now;
    }
    let rest = (!up.is_head).then(|| to_row(sums.others_for(name, with_uses)));
    let down = Down {
        rest,
        proof: node.proof(now, up.asked_us),
        known: Some(node.known()),
    };
    // A child whose queue is full is answered the next time.
    let _ = tx.try_send(Kind::Down(down).into());
    drop((sums, children));
    on_known(node, name, up.known, |kind| {
        tx.try_send(kind.into()).is_ok()
    });
}

/// Takes in the answer of a parent or another head, or its news.
pub(crate) fn on_down(node: &Node, now: Time, name: &str, down: &Down, ask: impl Fn(Kind) -> bool) {
    let standing = &node.standing;
    if let Some(proof) = &down.proof {
        node.on_proof(now, proof);
    }
    if let Some(at) = standing.answered.borrow_mut().get_mut(name) {
        *at = now;
    }
    let is_parent = matches!(&*standing.station.borrow(), TreePosition::Member(it) if it == name);
    if let Some(rest) = down.rest.as_ref().filter(|_| is_parent) {
        let told: SumReport = from_row(rest);
        standing.sums.borrow_mut().on_parent(now, told);
    }
    on_known(node, name, down.known, ask);
}

/// Asks the other end for what it knows and this node does not, and tells it of strikes where it
/// knows others.
fn on_known(node: &Node, name: &str, known: Option<Known>, ask: impl Fn(Kind) -> bool) {
    let Some(known) = known else {
        return;
    };
    let now = clock::now();
    if let Some(news) = node.suspicion.news_for(now, name, known.strikes) {
        ask(Kind::Strikes(news));
    }
    if node.on_peer_revision(now, Revision(known.table)) {
        ask(Kind::AskTable(true));
    }
    let own = node.directory.borrow().revision();
    if Revision(known.entries) > own {
        ask(Kind::AskNews(own.0));
    }
}
