//! Counts of calls.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// A kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// A read of one key.
    Get,
    /// A compare-and-swap.
    Swap,
    /// A read of all keys with a prefix.
    List,
    /// The grant of a lease.
    Grant,
    /// The renewal of a lease.
    KeepAlive,
    /// The end of a lease by its holder.
    Revoke,
    /// A watch, however long it waits.
    Watch,
}

impl Call {
    /// The name of the kind in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Swap => "swap",
            Self::List => "list",
            Self::Grant => "grant",
            Self::KeepAlive => "keep-alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }
}

/// How many calls were made, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Calls {
    /// Reads of one key.
    pub get: u64,
    /// Compare-and-swaps.
    pub swap: u64,
    /// Reads of all keys with a prefix.
    pub list: u64,
    /// Grants of leases.
    pub grant: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Leases ended by their holders.
    pub revoke: u64,
    /// Watches.
    pub watch: u64,
    /// Calls that were not sent because the budget was spent.
    pub over_budget: u64,
}

impl Calls {
    /// Counts one call.
    pub fn add(&mut self, call: Call) {
        self.count_mut(call).add_assign(1);
    }

    /// All calls that reached the service.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.reads() + self.writes()
    }

    /// Gets, lists and watches.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.get + self.list + self.watch
    }

    /// Swaps and all calls that change a lease.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.swap + self.grant + self.keep_alive + self.revoke
    }

    fn count_mut(&mut self, call: Call) -> &mut u64 {
        match call {
            Call::Get => &mut self.get,
            Call::Swap => &mut self.swap,
            Call::List => &mut self.list,
            Call::Grant => &mut self.grant,
            Call::KeepAlive => &mut self.keep_alive,
            Call::Revoke => &mut self.revoke,
            Call::Watch => &mut self.watch,
        }
    }
}
