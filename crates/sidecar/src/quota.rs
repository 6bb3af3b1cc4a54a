//! Workspaces' limits over all nodes: delegation to homes, and tokens asked of them.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use cassiashunt_mesh::{
    Allowance, AllowanceOptions, Take, WorkspaceRow, first_by_rank, home_of, homes,
};
use cassiashunt_types::prelude::*;
use tokio::{sync::Notify, time::timeout};

use crate::{
    clock,
    fleet::Fleet,
    link::{AskTokens, Delegate, GiveTokens, Link},
    node::Node,
};

/// How long a request waits for tokens of its workspace's home: several round trips between
/// failure domains.
const WAIT: Duration = Duration::from_millis(60);
/// After a home had nothing to spare, how long it is not asked again.
const DRY: Duration = Duration::from_millis(40);
/// Tokens are asked for so much of the demand ahead.
const AHEAD: Duration = Duration::from_millis(250);
/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Nodes that may be homes; the first ones of these that are reached are.
const CANDIDATES: usize = 8;

struct Entry {
    allowance: Allowance,
    /// Requests a second, averaged.
    demand: f64,
    asked_for: f64,
    arrived: Rc<Notify>,
    /// When the home was asked; nothing where no answer is awaited.
    asked: Option<Time>,
    dry_until: Time,
    /// The home; nothing where it is this node.
    home: Option<Rc<Link>>,
}

impl Entry {
    fn new(now: Time) -> Self {
        Self {
            allowance: Allowance::new(now, AllowanceOptions::default()),
            demand: 0.0,
            asked_for: 0.0,
            arrived: Rc::new(Notify::new()),
            asked: None,
            dry_until: now,
            home: None,
        }
    }
}

/// This node's part in all workspaces' limits.
#[derive(Default)]
pub(crate) struct Quotas {
    entries: RefCell<HashMap<Workspace, Entry>>,
    stepped: RefCell<Option<Time>>,
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
                share: 1.0 / nodes.max(1) as f64,
            };
            let entry = entries.entry(row.name).or_insert_with(|| Entry::new(now));
            if entry.allowance.set_options(now, opts) {
                log::info!(workspace:% = row.name, rank = row.rank, rate = row.rate,
                    burst = row.burst, nodes = nodes; "limit-in-force");
            }
        }
    }

    /// Delegates this node's shares anew; to be called several times a second.
    pub(crate) fn delegate(&self, node: &Node) {
        let now = clock::now();
        let own = node.settings().name.clone();
        // A node that has just started has no limits to make tokens of before it has a table.
        let fleet = node.fleet.borrow();
        let mut candidates = home_candidates(&fleet, &own);
        candidates.retain(|name| *name == own || fleet.has_table(name));
        let homes = homes(candidates.into_iter());
        let share = 1.0 / fleet.size() as f64;
        for home in homes.iter().filter(|home| **home != own) {
            if let Some(link) = fleet.link(home) {
                link.delegate(Delegate {
                    node: own.clone(),
                    share: share as f32,
                    homes: homes.clone(),
                });
            }
        }
        let spent = self
            .stepped
            .replace(Some(now))
            .map(|stepped| now.since(stepped));
        let gain = spent.map_or(0.0, |spent| spent.as_secs_f64() / DEMAND_TIME.as_secs_f64());
        for (workspace, entry) in self.entries.borrow_mut().iter_mut() {
            let home = home_of(&homes, *workspace).and_then(|home| fleet.link(home));
            entry.allowance.set_delegating(now, home.is_some());
            entry.home = home.cloned();
            if let Some(spent) = spent.filter(|spent| !spent.is_zero()) {
                let rate = std::mem::take(&mut entry.asked_for) / spent.as_secs_f64();
                entry.demand += gain.min(1.0) * (rate - entry.demand);
            }
        }
    }

    /// Takes in that a node delegates its shares of the workspaces whose home it takes this node
    /// for.
    pub(crate) fn on_delegated(&self, now: Time, own: &str, delegate: &Delegate) {
        for (workspace, entry) in self.entries.borrow_mut().iter_mut() {
            if home_of(&delegate.homes, *workspace) == Some(own) {
                let share = f64::from(delegate.share);
                entry.allowance.on_delegated(now, &delegate.node, share);
            }
        }
    }

    /// Hands tokens over to a node.
    pub(crate) fn give(&self, now: Time, ask: &AskTokens) -> GiveTokens {
        let mut entries = self.entries.borrow_mut();
        let workspace = ask.workspace.parse::<Workspace>().ok();
        let entry = workspace.and_then(|workspace| entries.get_mut(&workspace));
        GiveTokens {
            workspace: ask.workspace.clone(),
            tokens: entry.map_or(0, |entry| entry.allowance.give(now, ask.wanted)),
        }
    }

    /// Takes in tokens of a home.
    pub(crate) fn receive(&self, now: Time, given: &GiveTokens) {
        let mut entries = self.entries.borrow_mut();
        let workspace = given.workspace.parse::<Workspace>().ok();
        let Some(entry) = workspace.and_then(|workspace| entries.get_mut(&workspace)) else {
            return;
        };
        entry.asked = None;
        entry.allowance.receive(now, given.tokens);
        if given.tokens == 0 {
            entry.dry_until = now + DRY;
        }
        entry.arrived.notify_waiters();
    }

    /// Gives back the token of a request that did not run.
    pub(crate) fn refund(&self, now: Time, workspace: Workspace) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&workspace) {
            entry.allowance.refund(now);
        }
    }

    /// Takes one token; otherwise what to wait for while the home is asked, where that is of use.
    fn take(
        &self,
        now: Time,
        workspace: Workspace,
        is_first: bool,
    ) -> Result<(), Option<Rc<Notify>>> {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&workspace) else {
            return Ok(());
        };
        if is_first {
            entry.asked_for += 1.0;
        }
        if entry.allowance.take(now) == Take::Passed {
            return Ok(());
        }
        let Some(home) = &entry.home else {
            return Err(None);
        };
        let is_awaited = entry.asked.is_some_and(|asked| now.since(asked) < WAIT);
        if is_awaited {
            return Err(Some(Rc::clone(&entry.arrived)));
        }
        let wanted = (entry.demand * AHEAD.as_secs_f64()).ceil().max(1.0) as u32;
        let workspace = workspace.as_str().into();
        if entry.dry_until > now || !home.ask_tokens(AskTokens { workspace, wanted }) {
            return Err(None);
        }
        entry.asked = Some(now);
        Err(Some(Rc::clone(&entry.arrived)))
    }
}

/// The nodes that are homes, and those that are next to be where some are lost.
pub(crate) fn home_candidates(fleet: &Fleet, own: &str) -> Vec<String> {
    let names = fleet.names().into_iter();
    first_by_rank(names.chain([own.to_owned()]), CANDIDATES)
}

/// Whether a workspace's request is within its limit. Waits a moment for tokens of the home where
/// this node has none.
pub(crate) async fn admit(node: &Node, workspace: Workspace) -> bool {
    let began = clock::now();
    let mut is_first = true;
    loop {
        let now = clock::now();
        let arrived = match node.quotas.take(now, workspace, is_first) {
            Ok(()) => return true,
            Err(None) => return false,
            Err(Some(arrived)) => arrived,
        };
        is_first = false;
        let left = WAIT.saturating_sub(now.since(began));
        if left.is_zero() || timeout(left, arrived.notified()).await.is_err() {
            return node.quotas.take(clock::now(), workspace, false).is_ok();
        }
    }
}
