use cassiashunt_types::{Class, Route, Workspace};
use serde::{Deserialize, Serialize};

/// A combination of route and class that may have its own cap in a workspace's row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cell {
    /// The route.
    pub route: Route,
    /// The request class.
    pub class: Class,
}

/// What a limit applies to: all requests of a workspace, or those of one of its cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    /// The workspace.
    pub workspace: Workspace,
    /// The cell, or `None` if the limit applies to the whole workspace.
    pub cell: Option<Cell>,
}

impl Key {
    /// The key of a whole workspace.
    #[must_use]
    pub const fn workspace(workspace: Workspace) -> Self {
        Self {
            workspace,
            cell: None,
        }
    }

    /// The key of one cell of a workspace.
    #[must_use]
    pub const fn cell(workspace: Workspace, route: Route, class: Class) -> Self {
        Self {
            workspace,
            cell: Some(Cell { route, class }),
        }
    }
}
