//! Tells where a request would go now and why, without sending it and without a change of state: no
//! token is taken, no split advanced, no random number drawn and no demand counted.

mod explanation;
mod query;

use cassiashunt_admit::Priority;
use cassiashunt_mesh::{Repeat, RouteRow, SiteTable, WorkspaceRow};
use cassiashunt_suspect::Decision;
use cassiashunt_types::prelude::*;

pub use self::explanation::{Explanation, Fate, Price, RouteView, ServerView, WorkspaceView};
pub(crate) use self::query::{PATH, Query};
use crate::{clock, ingress, node::Node};

/// What would become of the request now.
pub(crate) fn explain(node: &Node, query: &Query) -> Explanation {
    let now = clock::now();
    let mut explained = Explanation {
        node: node.settings().name.clone(),
        request: format!("{} {}{}", query.method, query.host, query.target),
        is_in_touch: node.freshness.borrow().holds(now) && node.is_compared(),
        ..Explanation::default()
    };
    explained.fate = match node.table() {
        Some(table) => explain_by(node, &table, query, &mut explained),
        None => refused(Reason::NotInTouch, "no table has been read yet"),
    };
    explained
}

/// Follows the request through its checks, in their order, and describes what they are based on.
fn explain_by(node: &Node, table: &SiteTable, query: &Query, explained: &mut Explanation) -> Fate {
    explained.table_version = table.version;
    let path = query.target.split('?').next().unwrap_or_default();
    let Some(route) = table.route(&query.host, path) else {
        return if explained.is_in_touch {
            refused(Reason::UnknownRoute, "no route matches host and path")
        } else {
            refused(
                Reason::NotInTouch,
                "no route, but a newer table may have one",
            )
        };
    };
    let needs_key = table.has_workspaces() && !route.is_public;
    let key = query.key.as_deref().filter(|_| needs_key);
    let workspace = key.and_then(|it| table.workspace_of_key(it));
    let priority = if node.relies_on_peers() {
        ingress::out_of_touch_priority(route)
    } else {
        ingress::priority(table, route, workspace)
    };
    explained.route = Some(route_view(route, priority));
    explained.workspace = workspace.map(|row| workspace_view(node, row));
    explained.prices = node.shedding.prices(route.name, priority);
    let services = route.targets.iter().map(|it| it.service);
    let fleet = node.fleet.borrow();
    explained.servers = services
        .flat_map(|service| fleet.server_views(clock::now(), service))
        .collect();
    if needs_key && !explained.is_in_touch {
        return refused(Reason::NotInTouch, "the key can't be proven to be in force");
    }
    if needs_key && workspace.is_none() {
        let because = if key.is_some() {
            "no workspace has this key"
        } else {
            "no key was given"
        };
        return refused(Reason::BadKey, because);
    }
    let taken = check_state(node, route, workspace, query).or_else(|| {
        let may_be_chosen = explained.servers.iter().any(|it| it.left_out.is_none());
        (!may_be_chosen).then(|| refused(Reason::NoServer, "all servers are left out"))
    });
    taken.unwrap_or_else(|| by_room(node, route, priority, workspace))
}

/// A refusal by what the node knows of the request itself, or by its own state.
fn check_state(
    node: &Node,
    route: &RouteRow,
    workspace: Option<&WorkspaceRow>,
    query: &Query,
) -> Option<Fate> {
    let now = clock::now();
    let name = workspace.map(|row| row.name);
    let fingerprint = ingress::fingerprint(&query.host, &query.method, &query.target, &[], name);
    if let Decision::Refuse(refusal) = node.suspicion.check(now, fingerprint) {
        let strikes = node.suspicion.strike_count(now, fingerprint);
        let because = format!("{strikes} servers have ended under it (without a body)");
        return Some(refused(refusal.reason, &because));
    }
    let stop = node.stopping.get();
    if stop.is_some_and(|it| !it.takes(now, now + route.timeout)) {
        return Some(refused(Reason::Draining, "the node is stopping"));
    }
    None
}

/// What becomes of a request that only room can refuse.
fn by_room(node: &Node, route: &RouteRow, priority: u8, workspace: Option<&WorkspaceRow>) -> Fate {
    let Some((bottleneck, fraction)) = node.shedding.bottleneck(route.name, priority) else {
        return Fate::Sent;
    };
    let fair = node.fair_admission.borrow();
    let priority = Priority(priority);
    Fate::Partly {
        bottleneck: bottleneck.as_str().into(),
        fraction: fair.fraction_of(
            route.name,
            priority,
            workspace.map(|row| row.name),
            fraction,
        ),
        room_in: fair.room_in(clock::now(), route.name, priority),
    }
}

fn refused(reason: Reason, because: &str) -> Fate {
    Fate::Refused {
        status: reason.status(),
        reason: reason.code(),
        because: because.into(),
    }
}

fn route_view(route: &RouteRow, priority: u8) -> RouteView {
    let total: f64 = route.targets.iter().map(|it| it.weight).sum();
    let targets = route.targets.iter();
    RouteView {
        name: route.name.as_str().into(),
        matches: format!("{}{}", route.host, route.prefix),
        may_repeat: route.repeat == Repeat::Idempotent,
        rank: route.rank,
        priority,
        objective: route.objective,
        timeout: route.timeout,
        targets: targets
            .map(|it| (it.service.as_str().into(), it.weight / total))
            .collect(),
    }
}

fn workspace_view(node: &Node, row: &WorkspaceRow) -> WorkspaceView {
    WorkspaceView {
        name: row.full_name.clone(),
        rank: row.rank,
        rate: row.rate,
        burst: row.burst,
        tokens: node.quotas.tokens(row.name),
    }
}
