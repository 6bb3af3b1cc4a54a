//! The configuration that a node has in force.

use std::sync::Arc;

use cassiashunt_types::Revision;

use crate::{Head, Lineage, Lookup};

/// What a node does with a head that it hears of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Offer {
    /// It is in force now.
    Taken {
        /// Its revision.
        revision: Revision,
    },
    /// It was in force already.
    Same,
    /// It is older than the one in force, and is refused.
    ///
    /// From a peer this is an everyday delay. From the platform it means that the platform was
    /// restored to an older state, and that the head in force has to be installed again.
    Older {
        /// The revision in force.
        ours: Revision,
        /// The revision refused.
        theirs: Revision,
    },
    /// It lacks an edit that is in force here, and is refused.
    ///
    /// The platform was restored to an older state and edited since; the two have to be joined.
    Forked {
        /// The revision in force.
        ours: Revision,
        /// The revision refused.
        theirs: Revision,
    },
}

/// The head in force at one node; its revision only ever grows.
#[derive(Debug, Clone, Default)]
pub struct Applied {
    head: Option<Arc<Head>>,
    lookup: Arc<Lookup>,
}

impl Applied {
    /// The head in force, where there is one yet.
    #[must_use]
    pub fn head(&self) -> Option<&Arc<Head>> {
        self.head.as_ref()
    }

    /// The revision in force; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head
            .as_ref()
            .map_or(Revision(0), |head| head.revision())
    }

    /// What the request path asks.
    #[must_use]
    pub fn lookup(&self) -> &Arc<Lookup> {
        &self.lookup
    }

    /// Puts a head in force unless it is older or lacks an edit of the one in force.
    pub fn offer(&mut self, head: Arc<Head>) -> Offer {
        let Some(held) = &self.head else {
            return self.take(head);
        };
        let ours = held.revision();
        let theirs = head.revision();
        match held.lineage(&head) {
            Lineage::Same => Offer::Same,
            Lineage::Ahead if theirs > ours => self.take(head),
            Lineage::Behind => Offer::Older { ours, theirs },
            Lineage::Ahead | Lineage::Forked => Offer::Forked { ours, theirs },
        }
    }

    fn take(&mut self, head: Arc<Head>) -> Offer {
        let revision = head.revision();
        self.lookup = Arc::new(Lookup::new(&head));
        self.head = Some(head);
        Offer::Taken { revision }
    }
}
