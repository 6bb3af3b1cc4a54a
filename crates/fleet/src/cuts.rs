//! Cuts between nodes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cassiashunt_node::Cut;

/// A pair of nodes' addresses, the smaller first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Pair(SocketAddr, SocketAddr);

impl Pair {
    fn of(a: SocketAddr, b: SocketAddr) -> Self {
        Self(a.min(b), a.max(b))
    }
}

/// Which nodes cannot reach each other now.
#[derive(Debug, Clone, Default)]
pub struct Cuts {
    pairs: Arc<Mutex<BTreeSet<Pair>>>,
}

impl Cuts {
    /// Cuts every node of `here` off from every node of `there`, both ways.
    pub fn cut(&self, here: &[SocketAddr], there: &[SocketAddr]) {
        let mut pairs = self.lock();
        for a in here {
            pairs.extend(there.iter().filter(|b| *b != a).map(|b| Pair::of(*a, *b)));
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.lock().clear();
    }

    /// The cuts as the node at `addr` sees them.
    pub(crate) fn from(&self, addr: SocketAddr) -> Cut {
        let cuts = self.clone();
        Arc::new(move |to| cuts.lock().contains(&Pair::of(addr, to)))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Pair>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
