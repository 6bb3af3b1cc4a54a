//! Workspaces' limits over all nodes: this node's part, and tokens asked of peers.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use cassiashunt_mesh::{Allowance, AllowanceOptions, Take, Transfer, WorkspaceRow};
use cassiashunt_types::prelude::*;
use tokio::{sync::Notify, time::timeout};

use crate::{
    clock,
    link::{AskTokens, GiveTokens},
    node::Node,
};

/// How long a request waits for tokens of peers: a few round trips between failure domains.
const WAIT: Duration = Duration::from_millis(30);
/// After peers had nothing to spare, how long none is asked again.
const DRY: Duration = Duration::from_millis(100);
/// Peers asked at once.
const ASKED: usize = 2;

struct Entry {
    allowance: Allowance,
    arrived: Rc<Notify>,
    /// Answers that are still to come.
    asked: usize,
    asked_at: Time,
    dry_until: Time,
}

/// The parts of all workspaces' limits.
#[derive(Default)]
pub(crate) struct Quotas {
    entries: RefCell<HashMap<Workspace, Entry>>,
}

impl Quotas {
    /// Takes in limits and the number of live nodes.
    pub(crate) fn set_limits(&self, now: Time, rows: &[WorkspaceRow], nodes: usize) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|name, _| rows.iter().any(|row| row.name == *name));
        for row in rows {
            let opts = AllowanceOptions {
                rate: row.rate,
                burst: row.burst,
                nodes,
            };
            let entry = entries.entry(row.name).or_insert_with(|| Entry {
                allowance: Allowance::new(
                    now,
                    AllowanceOptions {
                        nodes,
                        ..Default::default()
                    },
                ),
                arrived: Rc::new(Notify::new()),
                asked: 0,
                asked_at: now,
                dry_until: now,
            });
            if entry.allowance.set_options(now, opts) {
                log::info!(workspace:% = row.name, rank = row.rank, rate = row.rate, burst = row.burst,
                    nodes = nodes; "limit-in-force");
            }
        }
    }

    /// Hands tokens over to a peer.
    pub(crate) fn give(&self, now: Time, ask: &AskTokens) -> GiveTokens {
        let mut entries = self.entries.borrow_mut();
        let workspace = ask.workspace.parse::<Workspace>().ok();
        let entry = workspace.and_then(|workspace| entries.get_mut(&workspace));
        let given = entry.map(|entry| entry.allowance.give(now, ask.wanted));
        GiveTokens {
            workspace: ask.workspace.clone(),
            tokens: given.map_or(0, |transfer| transfer.tokens),
        }
    }

    /// Takes in tokens of a peer.
    pub(crate) fn receive(&self, now: Time, given: &GiveTokens) {
        let mut entries = self.entries.borrow_mut();
        let workspace = given.workspace.parse::<Workspace>().ok();
        let Some(entry) = workspace.and_then(|workspace| entries.get_mut(&workspace)) else {
            return;
        };
        entry.asked = entry.asked.saturating_sub(1);
        let tokens = given.tokens;
        entry.allowance.receive(now, Transfer { tokens });
        if tokens == 0 && entry.asked == 0 && entry.allowance.tokens() < 1.0 {
            entry.dry_until = now + DRY;
        }
        entry.arrived.notify_waiters();
    }

    /// Gives back the token of a request that did not run.
    pub(crate) fn refund(&self, now: Time, workspace: Workspace) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&workspace) {
            entry.allowance.receive(now, Transfer { tokens: 1 });
        }
    }

    fn take(&self, now: Time, workspace: Workspace) -> Take {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&workspace);
        entry.map_or(Take::Passed, |entry| entry.allowance.take(now))
    }

    /// What to wait for while peers are asked; nothing where it is no use to ask.
    fn ask(&self, node: &Node, now: Time, workspace: Workspace) -> Option<Rc<Notify>> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&workspace)?;
        if entry.dry_until > now {
            return None;
        }
        if entry.asked > 0 && now.since(entry.asked_at) < WAIT {
            return Some(Rc::clone(&entry.arrived));
        }
        let mut links = node.fleet.borrow().links();
        node.rng.borrow_mut().shuffle(&mut links);
        let ask = AskTokens {
            workspace: workspace.as_str().into(),
            wanted: entry.allowance.wanted(),
        };
        let asked = links
            .iter()
            .filter(|link| link.ask_tokens(ask.clone()))
            .take(ASKED);
        entry.asked = asked.count();
        entry.asked_at = now;
        (entry.asked > 0).then(|| Rc::clone(&entry.arrived))
    }
}

/// Whether a workspace's request is within its limit. Waits a moment for tokens of peers where
/// this node has none.
pub(crate) async fn admit(node: &Node, workspace: Workspace) -> bool {
    let began = clock::now();
    loop {
        let now = clock::now();
        if node.quotas.take(now, workspace) == Take::Passed {
            return true;
        }
        let left = WAIT.saturating_sub(now.since(began));
        let Some(arrived) = node.quotas.ask(node, now, workspace) else {
            return false;
        };
        if left.is_zero() || timeout(left, arrived.notified()).await.is_err() {
            return node.quotas.take(clock::now(), workspace) == Take::Passed;
        }
    }
}
