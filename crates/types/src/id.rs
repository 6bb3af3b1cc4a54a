//! Small `Copy` identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:x}", self.0)
            }
        }
    };
}

id! {
    /// One run of a node process; drawn at random at its start and never used again.
    NodeId
}
id! {
    /// One request between two nodes.
    RequestId
}
id! {
    /// One caller's request with all the calls that it causes.
    ChainId
}
id! {
    /// One caller's key; the key itself is never kept.
    KeyId
}
id! {
    /// A revision of the table or of the control value; only ever grows.
    Revision
}
id! {
    /// A fencing epoch of an authority; only ever grows.
    Epoch
}
id! {
    /// A share of the fleet's state that has one authority at a time.
    ShardId
}

impl NodeId {
    /// Draws a fresh identifier from the operating system's randomness.
    ///
    /// # Panics
    ///
    /// Panics where the operating system has no randomness to give.
    #[must_use]
    pub fn random() -> Self {
        Self(random())
    }
}

impl ChainId {
    /// Draws a fresh identifier from the operating system's randomness.
    ///
    /// # Panics
    ///
    /// Panics where the operating system has no randomness to give.
    #[must_use]
    pub fn random() -> Self {
        Self(random())
    }
}

fn random() -> u64 {
    getrandom::u64().expect("the operating system gives randomness once it is up")
}
