//! The names that a row stands for.

use std::{fmt, str::FromStr};

use cassiashunt_types::{Class, Route, Workspace};
use serde::{Deserialize, Serialize};

use crate::Pattern;

/// The workspace, route and class that a row stands for, written `workspace,route,class`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RowKey {
    /// The workspace.
    pub workspace: Pattern<Workspace>,
    /// The route.
    pub route: Pattern<Route>,
    /// The class.
    pub class: Pattern<Class>,
}

/// A text that names no row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRowKey {
    /// The text as given.
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
    /// The row of defaults for everything.
    pub const DEFAULTS: Self = Self {
        workspace: Pattern::Any,
        route: Pattern::Any,
        class: Pattern::Any,
    };

    /// Whether the row stands for whole workspaces, whatever the route and class.
    #[must_use]
    pub const fn is_whole_workspace(&self) -> bool {
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
