use cassiashunt_types::{Class, Route, Workspace};
use serde::{Deserialize, Serialize};

/// A row's part of the table that may have a cap of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cell {
    /// The route.
    pub route: Route,
    /// The class of request.
    pub class: Class,
}

/// What a limit counts: a workspace's requests, or those of one of its cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    /// The workspace.
    pub workspace: Workspace,
    /// The cell; absent for the whole workspace.
    pub cell: Option<Cell>,
}

impl Key {
    /// The whole workspace.
    #[must_use]
    pub const fn workspace(workspace: Workspace) -> Self {
        Self {
            workspace,
            cell: None,
        }
    }

    /// One cell of the workspace.
    #[must_use]
    pub const fn cell(workspace: Workspace, route: Route, class: Class) -> Self {
        Self {
            workspace,
            cell: Some(Cell { route, class }),
        }
    }
}
