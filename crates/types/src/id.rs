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
            /// The next identifier in sequence.
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
    /// One run of a node process; drawn at random at its start and never reused.
    NodeId
}
id! {
    /// One request between two nodes.
    RequestId
}
id! {
    /// A client's request with all the calls that it causes.
    ChainId
}
id! {
    /// An API key of a caller; the key itself is never stored.
    KeyId
}
id! {
    /// A revision of the table or of the control value; increases monotonically.
    Revision
}
id! {
    /// A fencing epoch of an authority; increases monotonically.
    Epoch
}
id! {
    /// A shard of the fleet's state, held by one authority at a time.
    ShardId
}

impl NodeId {
    /// Draws a new identifier from the operating system's random number generator.
    ///
    /// # Panics
    ///
    /// Panics if the operating system's random number generator fails.
    #[must_use]
    pub fn random() -> Self {
        Self(random())
    }
}

impl ChainId {
    /// Draws a new identifier from the operating system's random number generator.
    ///
    /// # Panics
    ///
    /// Panics if the operating system's random number generator fails.
    #[must_use]
    pub fn random() -> Self {
        Self(random())
    }
}

fn random() -> u64 {
    getrandom::u64().expect("the operating system's random number generator failed")
}
