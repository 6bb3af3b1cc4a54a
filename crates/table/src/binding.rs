//! The classification of requests by endpoint.

use std::fmt;

use cassiashunt_types::{Class, Route, Service};
use serde::{Deserialize, Serialize};

/// The route and class assigned to the requests of an endpoint, and the service that runs them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Binding {
    /// The route, which selects rows of the table.
    pub route: Route,
    /// The class, which selects rows of the table.
    pub class: Class,
    /// The service that runs the requests.
    pub service: Service,
}

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.route, self.class, self.service)
    }
}
