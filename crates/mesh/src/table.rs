//! The operators' table that is in force at this node: routes, workspaces, keys and limits.

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

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share of the route's requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// A route of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRow {
    /// The name of the route.
    pub name: Route,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The prefix of its paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be run more than once.
    pub repeat: Repeat,
    /// The longest time until the caller gets an answer.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// The rank of the route; 0 is the most important.
    pub rank: u8,
    /// The services that its requests are sent to.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers without a key are accepted.
    pub is_public: bool,
}

/// A service of the table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRow {
    /// The name of the service.
    pub name: Service,
    /// How long its servers are cold after their start; zero where none is.
    pub warm_up: Duration,
    /// The requests per second that a cold server tolerates; zero where they are not limited.
    pub warm_up_rate: f64,
}

impl ServiceRow {
    /// A service whose servers need no warm-up.
    #[must_use]
    pub fn new(name: Service) -> Self {
        Self {
            name,
            warm_up: Duration::ZERO,
            warm_up_rate: 0.0,
        }
    }
}

/// A workspace of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceRow {
    /// The label of the workspace.
    pub name: Workspace,
    /// Its name as the operators wrote it, of any length.
    pub full_name: String,
    /// The keys that identify its callers.
    pub keys: Vec<String>,
    /// The rank of the workspace; 0 is the most important. It takes precedence over the routes' ranks.
    pub rank: u8,
    /// Requests per second over all instances; zero for no limit.
    pub rate: f64,
    /// Requests that may exceed the rate in a burst.
    pub burst: f64,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The maximum length of a request's head, in bytes.
    pub header_bytes: usize,
    /// The maximum length of a request's body, in bytes.
    pub body_bytes: usize,
    /// The longest time until the head has arrived.
    pub header_timeout: Duration,
    /// How long a keep-alive connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        // The values of the platform's first table.
        Self {
            header_bytes: 16_384,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a table is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidTable {
    /// Two routes have the same host and prefix.
    DuplicateRoute(Route, Route),
    /// A prefix does not begin and end with a slash.
    MissingSlash(Route),
    /// A route has no target with a weight above zero.
    NoTarget(Route),
    /// A route has no host.
    NoHost(Route),
    /// A route has a target service that the table does not define.
    UnknownService(Route, Service),
    /// Two workspaces have the same key.
    SharedKey(Workspace, Workspace),
    /// Any other reason, in words.
    Other(String),
}

impl fmt::Display for InvalidTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateRoute(a, b) => write!(f, "routes {a} and {b} share host and prefix"),
            Self::MissingSlash(route) => {
                write!(
                    f,
                    "the prefix of route {route} must begin and end with a slash"
                )
            }
            Self::NoTarget(route) => write!(f, "route {route} has no target with weight > 0"),
            Self::NoHost(route) => write!(f, "route {route} has no host"),
            Self::UnknownService(route, service) => {
                write!(f, "route {route} has the unknown target service {service}")
            }
            Self::SharedKey(a, b) => write!(f, "workspaces {a} and {b} have the same key"),
            Self::Other(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for InvalidTable {}

/// Why a request is not matched to a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unmatched {
    /// No route has the host and path.
    NoRoute,
    /// The route requires a key, and the request has no valid one.
    NoKey,
}

/// One version of the operators' table, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct SiteTable {
    /// The version; a higher number is newer.
    pub version: u64,
    routes: Vec<RouteRow>,
    services: Vec<ServiceRow>,
    workspaces: Vec<WorkspaceRow>,
    /// Bounds on what callers may send.
    pub limits: ClientLimits,
    /// Indices into `routes` by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indices into `workspaces` by key.
    by_key: HashMap<String, usize>,
}

impl SiteTable {
    /// Validates and indexes the rows of a table.
    ///
    /// # Errors
    ///
    /// Returns the first reason found why the table is invalid. The whole table is refused then.
    pub fn new(
        version: u64,
        routes: Vec<RouteRow>,
        services: Vec<ServiceRow>,
        workspaces: Vec<WorkspaceRow>,
        limits: ClientLimits,
    ) -> Result<Self, InvalidTable> {
        for route in &routes {
            check_route(route, &services)?;
        }
        let by_host = index_routes(&routes)?;
        let by_key = index_keys(&workspaces)?;
        Ok(Self {
            version,
            routes,
            services,
            workspaces,
            limits,
            by_host,
            by_key,
        })
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored if no
    /// route names it.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let host = host.to_ascii_lowercase();
        let found = self.by_host.get(&host).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.by_host.get(name)
        })?;
        let mut routes = found.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that has `key`.
    #[must_use]
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceRow> {
        self.by_key.get(key).map(|index| &self.workspaces[*index])
    }

    /// Returns whether the table has workspaces; without any, requests need no keys.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the row of a service.
    #[must_use]
    pub fn service(&self, name: Service) -> Option<&ServiceRow> {
        self.services.iter().find(|row| row.name == name)
    }

    /// Returns all workspaces.
    #[must_use]
    pub fn workspaces(&self) -> &[WorkspaceRow] {
        &self.workspaces
    }

    /// Returns the rank of the most important workspace; zero if there are none.
    #[must_use]
    pub fn most_urgent_rank(&self) -> u8 {
        let ranks = self.workspaces.iter().map(|row| row.rank);
        ranks.min().unwrap_or(0)
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[RouteRow] {
        &self.routes
    }
}

fn check_route(route: &RouteRow, services: &[ServiceRow]) -> Result<(), InvalidTable> {
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
    match targets.find(|service| !services.iter().any(|row| row.name == *service)) {
        Some(unknown) => Err(InvalidTable::UnknownService(route.name, unknown)),
        None => Ok(()),
    }
}

fn index_routes(routes: &[RouteRow]) -> Result<HashMap<String, Vec<usize>>, InvalidTable> {
    let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let same_host = by_host.entry(route.host.clone()).or_default();
        let same = same_host
            .iter()
            .find(|other| routes[**other].prefix == route.prefix);
        if let Some(other) = same {
            return Err(InvalidTable::DuplicateRoute(
                routes[*other].name,
                route.name,
            ));
        }
        same_host.push(index);
    }
    for same_host in by_host.values_mut() {
        same_host.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
    }
    Ok(by_host)
}

fn index_keys(workspaces: &[WorkspaceRow]) -> Result<HashMap<String, usize>, InvalidTable> {
    let mut by_key = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for key in &workspace.keys {
            if let Some(other) = by_key.insert(key.clone(), index)
                && other != index
            {
                let other = workspaces[other].name;
                return Err(InvalidTable::SharedKey(other, workspace.name));
            }
        }
    }
    Ok(by_key)
}
