//! Workspace limits over all nodes: nodes delegate their shares to home nodes, and request tokens
//! from them.

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

/// How long a request waits for tokens from its workspace's home: several round trips between
/// failure domains.
const TOKEN_WAIT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a home that had no tokens to give is not asked again.
const EMPTY_HOME_BACKOFF: Duration = Duration::from_millis(40);
/// Tokens are requested for the demand expected in this time.
const DEMAND_LOOKAHEAD: Duration = Duration::from_millis(250);
/// The time over which demand is averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Maximum number of candidates for homes; the first of them that are reachable become homes.
const MAX_HOME_CANDIDATES: usize = 8;

struct WorkspaceQuota {
    allowance: Allowance,
    /// Requests per second, as a moving average.
    demand: f64,
    /// Requests since the last update of the average.
    arrivals: f64,
    /// Notified when tokens, or a reply without any, have arrived from the home.
    tokens_arrived: Rc<Notify>,
    /// When the home was asked for tokens; `None` if no answer is pending.
    asked_at: Option<Time>,
    /// The home is not asked for tokens before this time.
    backoff_until: Time,
    /// The link to the home; `None` if this node is the home or the home is not known as a peer.
    home: Option<Rc<Link>>,
    /// Requests that wait for tokens that this node produces itself.
    waiting: u32,
}

/// Why a request got no token.
enum Exhausted {
    /// The home may answer with some.
    AskedHome(Rc<Notify>),
    /// This node will have produced one after this time.
    ProducedIn(Duration),
    /// None is to be expected in time.
    NoneInTime,
}

impl WorkspaceQuota {
    fn new(now: Time) -> Self {
        Self {
            allowance: Allowance::new(now, AllowanceOptions::default()),
            demand: 0.0,
            arrivals: 0.0,
            tokens_arrived: Rc::new(Notify::new()),
            asked_at: None,
            backoff_until: now,
            home: None,
            waiting: 0,
        }
    }
}

/// This node's allowances of all workspaces.
#[derive(Default)]
pub(crate) struct Quotas {
    entries: RefCell<HashMap<Workspace, WorkspaceQuota>>,
    /// When `delegate` was last called.
    last_step: RefCell<Option<Time>>,
}

impl Quotas {
    /// Sets the limits and the number of nodes that share them.
    pub(crate) fn set_limits(&self, now: Time, rows: &[WorkspaceRow], nodes: usize) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|name, _| rows.iter().any(|row| row.name == *name));
        for row in rows {
            let opts = AllowanceOptions {
                rate: row.rate,
                burst: row.burst,
                share: 1.0 / nodes.max(1) as f64,
            };
            let entry = entries
                .entry(row.name)
                .or_insert_with(|| WorkspaceQuota::new(now));
            if entry.allowance.set_options(now, opts) {
                log::info!(workspace:% = row.name, rank = row.rank, rate = row.rate,
                    burst = row.burst, nodes = nodes; "limit-in-force");
            }
        }
    }

    /// The tokens of a workspace that this node holds; none are taken.
    pub(crate) fn tokens(&self, workspace: Workspace) -> f64 {
        let entries = self.entries.borrow();
        let entry = entries.get(&workspace);
        entry.map_or(0.0, |it| it.allowance.tokens())
    }

    /// Renews the delegation of this node's shares, and updates the average demand; to be called
    /// several times a second.
    pub(crate) fn delegate(&self, node: &Node) {
        let Some(nodes) = node.limit_nodes() else {
            return;
        };
        let now = clock::now();
        let own = node.settings().name.clone();
        // A node that has just started can't issue tokens until it has read the limits in the
        // table.
        let fleet = node.fleet.borrow();
        let mut candidates = home_candidates(&fleet, &own);
        candidates.retain(|name| *name == own || fleet.has_table(name));
        let homes = homes(candidates.into_iter());
        let share = 1.0 / nodes as f64;
        for home in homes.iter().filter(|home| **home != own) {
            if let Some(link) = fleet.link(home) {
                link.delegate(Delegate {
                    node: own.clone(),
                    share: share as f32,
                    homes: homes.clone(),
                });
            }
        }
        let elapsed = self
            .last_step
            .replace(Some(now))
            .map(|last_step| now.since(last_step));
        let gain = elapsed.map_or(0.0, |elapsed| {
            elapsed.as_secs_f64() / DEMAND_AVERAGING_TIME.as_secs_f64()
        });
        for (workspace, entry) in self.entries.borrow_mut().iter_mut() {
            let home = home_of(&homes, *workspace).and_then(|home| fleet.link(home));
            entry.allowance.set_delegating(now, home.is_some());
            entry.home = home.cloned();
            if let Some(elapsed) = elapsed.filter(|elapsed| !elapsed.is_zero()) {
                let rate = std::mem::take(&mut entry.arrivals) / elapsed.as_secs_f64();
                entry.demand += gain.min(1.0) * (rate - entry.demand);
            }
        }
    }

    /// Chooses homes anew if the lost link led to one: before the next call of `delegate`, the link
    /// may lead to a new start of that node, which has no tokens yet.
    pub(crate) fn on_link_lost(&self, node: &Node, link: &Rc<Link>) {
        let is_lost = |entry: &WorkspaceQuota| {
            let home = entry.home.as_ref();
            home.is_some_and(|home| Rc::ptr_eq(home, link))
        };
        let is_home_lost = self.entries.borrow().values().any(is_lost);
        if is_home_lost {
            self.delegate(node);
        }
    }

    /// Records that a node delegates its shares of those workspaces for which it considers this
    /// node the home.
    pub(crate) fn on_delegated(&self, now: Time, own: &str, delegate: &Delegate) {
        for (workspace, entry) in self.entries.borrow_mut().iter_mut() {
            if home_of(&delegate.homes, *workspace) == Some(own) {
                let share = f64::from(delegate.share);
                entry.allowance.on_delegated(now, &delegate.node, share);
            }
        }
    }

    /// Gives tokens to a node that asks for them; none if the workspace is not known.
    pub(crate) fn give(&self, now: Time, ask: &AskTokens) -> GiveTokens {
        let mut entries = self.entries.borrow_mut();
        let workspace = ask.workspace.parse::<Workspace>().ok();
        let entry = workspace.and_then(|workspace| entries.get_mut(&workspace));
        GiveTokens {
            workspace: ask.workspace.clone(),
            tokens: entry.map_or(0, |entry| entry.allowance.give(now, ask.wanted)),
        }
    }

    /// Receives tokens from a home, and wakes the requests that wait for them.
    pub(crate) fn receive(&self, now: Time, given: &GiveTokens) {
        let mut entries = self.entries.borrow_mut();
        let workspace = given.workspace.parse::<Workspace>().ok();
        let Some(entry) = workspace.and_then(|workspace| entries.get_mut(&workspace)) else {
            return;
        };
        entry.asked_at = None;
        entry.allowance.receive(now, given.tokens);
        if given.tokens == 0 {
            entry.backoff_until = now + EMPTY_HOME_BACKOFF;
        }
        entry.tokens_arrived.notify_waiters();
    }

    /// Returns the token of a request that did not run.
    pub(crate) fn refund(&self, now: Time, workspace: Workspace) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&workspace) {
            entry.allowance.refund(now);
        }
    }

    /// Takes one token. Otherwise returns what to wait for. `is_first` for the first try of a request,
    /// which counts as demand.
    fn take(&self, now: Time, workspace: Workspace, is_first: bool) -> Result<(), Exhausted> {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&workspace) else {
            return Ok(());
        };
        if is_first {
            entry.arrivals += 1.0;
        }
        if entry.allowance.take(now) == Take::Passed {
            return Ok(());
        }
        let Some(home) = &entry.home else {
            let wait = entry.allowance.time_until(entry.waiting + 1);
            let wait = wait.filter(|it| *it <= TOKEN_WAIT_TIMEOUT);
            return Err(wait.map_or(Exhausted::NoneInTime, Exhausted::ProducedIn));
        };
        let is_pending = entry
            .asked_at
            .is_some_and(|asked_at| now.since(asked_at) < TOKEN_WAIT_TIMEOUT);
        if is_pending {
            return Err(Exhausted::AskedHome(Rc::clone(&entry.tokens_arrived)));
        }
        let wanted = (entry.demand * DEMAND_LOOKAHEAD.as_secs_f64())
            .ceil()
            .max(1.0) as u32;
        let workspace = workspace.as_str().into();
        if entry.backoff_until > now || !home.ask_tokens(AskTokens { workspace, wanted }) {
            return Err(Exhausted::NoneInTime);
        }
        entry.asked_at = Some(now);
        Err(Exhausted::AskedHome(Rc::clone(&entry.tokens_arrived)))
    }

    fn change_waiting(&self, workspace: Workspace, change: impl FnOnce(u32) -> u32) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&workspace) {
            entry.waiting = change(entry.waiting);
        }
    }
}

/// A request's place among those that wait for tokens of this node; it ends with the request.
struct Place<'a> {
    quotas: &'a Quotas,
    workspace: Workspace,
}

impl<'a> Place<'a> {
    fn take(quotas: &'a Quotas, workspace: Workspace) -> Self {
        quotas.change_waiting(workspace, |waiting| waiting + 1);
        Self { quotas, workspace }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.quotas
            .change_waiting(self.workspace, |waiting| waiting.saturating_sub(1));
    }
}

/// The nodes that may be homes, in order: when a home is lost, the next one replaces it.
pub(crate) fn home_candidates(fleet: &Fleet, own: &str) -> Vec<String> {
    let names = fleet.counted_names().into_iter();
    first_by_rank(names.chain([own.to_owned()]), MAX_HOME_CANDIDATES)
}

/// Whether a workspace's request is within its limit. Waits up to `TOKEN_WAIT_TIMEOUT` for a token if
/// this node has none.
pub(crate) async fn admit(node: &Node, workspace: Workspace) -> bool {
    let began = clock::now();
    let mut is_first = true;
    loop {
        let now = clock::now();
        let arrived = match node.quotas.take(now, workspace, is_first) {
            Ok(()) => return true,
            Err(Exhausted::NoneInTime) => return false,
            Err(Exhausted::ProducedIn(_)) if !is_first => return false,
            Err(Exhausted::ProducedIn(wait)) => {
                let _place = Place::take(&node.quotas, workspace);
                is_first = false;
                tokio::time::sleep(wait).await;
                continue;
            }
            Err(Exhausted::AskedHome(arrived)) => arrived,
        };
        is_first = false;
        let remaining = TOKEN_WAIT_TIMEOUT.saturating_sub(now.since(began));
        if remaining.is_zero() || timeout(remaining, arrived.notified()).await.is_err() {
            return node.quotas.take(clock::now(), workspace, false).is_ok();
        }
    }
}
