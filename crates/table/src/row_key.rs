//! The key of a row: which requests it applies to.

use std::{fmt, str::FromStr};

use cassiashunt_types::{Class, Route, Workspace};
use serde::{Deserialize, Serialize};

use crate::Pattern;

/// The workspace, route and class that a row applies to, written `workspace,route,class`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RowKey {
    /// The workspace, or `*` for all workspaces.
    pub workspace: Pattern<Workspace>,
    /// The route, or `*` for all routes.
    pub route: Pattern<Route>,
    /// The class, or `*` for all classes.
    pub class: Pattern<Class>,
}

/// A text that is not a row key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRowKey {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for InvalidRowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} names no row: write workspace,route,class with names or * for the default",
            self.text
        )
    }
}

impl std::error::Error for InvalidRowKey {}

impl RowKey {
    /// The least specific row, `*,*,*`, with the defaults for all requests.
    pub const DEFAULTS: Self = Self {
        workspace: Pattern::Any,
        route: Pattern::Any,
        class: Pattern::Any,
    };

    /// Whether the row applies to all routes and classes of its workspace.
    #[must_use]
    pub const fn is_workspace_wide(&self) -> bool {
        self.route.is_any() && self.class.is_any()
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.workspace, self.route, self.class)
    }
}

impl FromStr for RowKey {
    type Err = InvalidRowKey;

    fn from_str(text: &str) -> Result<Self, InvalidRowKey> {
        parse(text).ok_or_else(|| InvalidRowKey { text: text.into() })
    }
}

fn parse(text: &str) -> Option<RowKey> {
    let mut names = text.split(',');
    let key = RowKey {
        workspace: names.next()?.parse().ok()?,
        route: names.next()?.parse().ok()?,
        class: names.next()?.parse().ok()?,
    };
    names.next().is_none().then_some(key)
}

impl TryFrom<String> for RowKey {
    type Error = InvalidRowKey;

    fn try_from(text: String) -> Result<Self, InvalidRowKey> {
        text.parse()
    }
}

impl From<RowKey> for String {
    fn from(key: RowKey) -> Self {
        key.to_string()
    }
}
