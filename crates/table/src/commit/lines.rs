//! The lines of history that a commit has to account for.

use std::sync::Arc;

use crate::{Head, Lineage, Merged, merge};

/// The heads that a commit knows of, in the order of their weight.
#[derive(Debug, Clone)]
pub(super) struct Lines {
    /// The line that a majority of the peers hold.
    pub backed: Option<Arc<Head>>,
    /// The newest head known here.
    pub known: Option<Arc<Head>>,
    /// The platform's head.
    pub stored: Option<Arc<Head>>,
}

impl Lines {
    /// One head that accounts for every edit of all lines; a weightier line wins a conflict.
    pub(super) fn join(self) -> Merged {
        let mut lines = [self.backed, self.known, self.stored].into_iter().flatten();
        let first = lines.next().map(Arc::unwrap_or_clone);
        let mut joined = Merged {
            head: first.unwrap_or_default(),
            dropped: Vec::new(),
        };
        for line in lines {
            joined = join_one(joined, &line);
        }
        joined
    }
}

fn join_one(mut joined: Merged, line: &Head) -> Merged {
    match joined.head.lineage(line) {
        Lineage::Same | Lineage::Behind => joined,
        Lineage::Ahead => {
            joined.head = line.clone();
            joined
        }
        Lineage::Forked => {
            let merged = merge(&joined.head, line);
            joined.head = merged.head;
            joined.dropped.extend(merged.dropped);
            joined
        }
    }
}
