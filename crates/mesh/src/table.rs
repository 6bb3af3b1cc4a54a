//! The operators' table as it is in force at this node: routes, workspaces, keys and limits.

use std::{collections::HashMap, fmt};

use cassiashunt_types::prelude::*;

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    AtMostOnce,
}

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share of the route's requests, against the weights of the other targets.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRow {
    /// Its name.
    pub name: Route,
    /// The host that it is reached at, in lower case.
    pub host: String,
    /// What its paths begin with; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be run more than once.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// Its rank; 0 matters most.
    pub rank: u8,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// The most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceRow {
    /// Its name.
    pub name: Workspace,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank; 0 matters most. It goes before the routes' ranks.
    pub rank: u8,
    /// Requests a second over all instances; zero for no limit.
    pub rate: f64,
    /// Requests beyond the rate at once.
    pub burst: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head to come in.
    pub header_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        // The values that the users' first table carries.
        Self {
            header_bytes: 16_384,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a table is not taken in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidTable {
    /// Two routes have the same host and prefix.
    DuplicateRoute(Route, Route),
    /// A prefix does not begin and end with a slash.
    MissingSlash(Route),
    /// A route leads nowhere, or all its weights are zero.
    NoTarget(Route),
    /// A route has no host.
    NoHost(Route),
    /// A route leads to a service that the table does not name.
    UnknownService(Route, Service),
    /// Two workspaces hold the same key.
    SharedKey(Workspace, Workspace),
    /// A route's objective lies beyond its timeout where it must not.
    Other(String),
}

impl fmt::Display for InvalidTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateRoute(a, b) => write!(f, "routes {a} and {b} have one host and prefix"),
            Self::MissingSlash(route) => {
                write!(f, "the prefix of route {route} needs a slash at both ends")
            }
            Self::NoTarget(route) => write!(f, "route {route} leads to no service"),
            Self::NoHost(route) => write!(f, "route {route} has no host"),
            Self::UnknownService(route, service) => {
                write!(f, "route {route} leads to the unknown service {service}")
            }
            Self::SharedKey(a, b) => write!(f, "workspaces {a} and {b} hold the same key"),
            Self::Other(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for InvalidTable {}

/// Why no route was found for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unmatched {
    /// No route has the host and path.
    NoRoute,
    /// The route needs a key, and the request has none that is in force.
    NoKey,
}

/// One version of the table.
#[derive(Debug, Clone, Default)]
pub struct SiteTable {
    /// The version; a higher one is newer.
    pub version: u64,
    routes: Vec<RouteRow>,
    workspaces: Vec<WorkspaceRow>,
    /// What callers may send.
    pub limits: ClientLimits,
    /// Indices of routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl SiteTable {
    /// A table of these rows.
    ///
    /// # Errors
    ///
    /// The first row that makes the table invalid; none of it is to be used then.
    pub fn new(
        version: u64,
        routes: Vec<RouteRow>,
        services: &[Service],
        workspaces: Vec<WorkspaceRow>,
        limits: ClientLimits,
    ) -> Result<Self, InvalidTable> {
        for route in &routes {
            check_route(route, services)?;
        }
        let by_host = index_routes(&routes)?;
        let by_key = index_keys(&workspaces)?;
        Ok(Self {
            version,
            routes,
            workspaces,
            limits,
            by_host,
            by_key,
        })
    }

    /// The route with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let host = host.to_ascii_lowercase();
        let found = self.by_host.get(&host).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.by_host.get(name)
        })?;
        let mut routes = found.iter().map(|at| &self.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace that holds `key`.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceRow> {
        self.by_key.get(key).map(|at| &self.workspaces[*at])
    }

    /// Whether requests need keys at all.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// All workspaces.
    #[must_use]
    pub fn workspaces(&self) -> &[WorkspaceRow] {
        &self.workspaces
    }

    /// The rank of the most urgent workspace; zero where there is none.
    #[must_use]
    pub fn most_urgent_rank(&self) -> u8 {
        let ranks = self.workspaces.iter().map(|row| row.rank);
        ranks.min().unwrap_or(0)
    }

    /// All routes.
    #[must_use]
    pub fn routes(&self) -> &[RouteRow] {
        &self.routes
    }
}

fn check_route(route: &RouteRow, services: &[Service]) -> Result<(), InvalidTable> {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(InvalidTable::MissingSlash(route.name));
    }
    if route.host.is_empty() {
        return Err(InvalidTable::NoHost(route.name));
    }
    if !route.targets.iter().any(|target| target.weight > 0.0) {
        return Err(InvalidTable::NoTarget(route.name));
    }
    let mut targets = route.targets.iter().map(|target| target.service);
    match targets.find(|service| !services.contains(service)) {
        Some(unknown) => Err(InvalidTable::UnknownService(route.name, unknown)),
        None => Ok(()),
    }
}

fn index_routes(routes: &[RouteRow]) -> Result<HashMap<String, Vec<usize>>, InvalidTable> {
    let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
    for (at, route) in routes.iter().enumerate() {
        let same_host = by_host.entry(route.host.clone()).or_default();
        let same = same_host
            .iter()
            .find(|at| routes[**at].prefix == route.prefix);
        if let Some(other) = same {
            return Err(InvalidTable::DuplicateRoute(
                routes[*other].name,
                route.name,
            ));
        }
        same_host.push(at);
    }
    for same_host in by_host.values_mut() {
        same_host.sort_by_key(|at| std::cmp::Reverse(routes[*at].prefix.len()));
    }
    Ok(by_host)
}

fn index_keys(workspaces: &[WorkspaceRow]) -> Result<HashMap<String, usize>, InvalidTable> {
    let mut by_key = HashMap::new();
    for (at, workspace) in workspaces.iter().enumerate() {
        for key in &workspace.keys {
            if let Some(other) = by_key.insert(key.clone(), at)
                && other != at
            {
                let other = workspaces[other].name;
                return Err(InvalidTable::SharedKey(other, workspace.name));
            }
        }
    }
    Ok(by_key)
}
