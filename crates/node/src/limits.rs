//! The workspaces' rates and caps at this node.

use cassiashunt_table::Cell;
use cassiashunt_types::prelude::*;

/// This node's stock of tokens.
#[derive(Debug, Default)]
pub(crate) struct Limits {}

impl Limits {
    /// Takes what one request needs.
    pub(crate) fn take(
        &self,
        _workspace: Option<Workspace>,
        _cell: &Cell,
        _route: Route,
        _class: Class,
        _deadline: Time,
    ) -> Result<(), Refusal> {
        Ok(())
    }
}
