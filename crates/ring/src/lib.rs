//! Bounded rings that join the threads of the daemon.
//!
//! A full ring is an answer for the sender to act on, never a longer queue.

use std::{
    collections::VecDeque,
    fmt,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Why an item was not taken; the item comes back.
#[derive(Debug, PartialEq, Eq)]
pub enum PushError<T> {
    /// The ring holds as many items as it may.
    Full(T),
    /// The ring is closed.
    Closed(T),
}

/// Why no item came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PopError {
    /// None came in time.
    Timeout,
    /// The ring is closed and empty.
    Closed,
}

struct State<T> {
    items: VecDeque<T>,
    waiting: usize,
    closed: bool,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    filled: Condvar,
    emptied: Condvar,
    capacity: usize,
}

/// A bounded queue for any number of senders and receivers.
pub struct Ring<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> fmt::Debug for Ring<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ring")
            .field("capacity", &self.shared.capacity)
            .finish_non_exhaustive()
    }
}

impl<T> Ring<T> {
    /// A ring of at most `capacity` items.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let state = State {
            items: VecDeque::new(),
            waiting: 0,
            closed: false,
        };
        let shared = Shared {
            state: Mutex::new(state),
            filled: Condvar::new(),
            emptied: Condvar::new(),
            capacity,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Adds an item without waiting.
    ///
    /// # Errors
    ///
    /// Gives the item back where the ring is full or closed.
    pub fn push(&self, item: T) -> Result<(), PushError<T>> {
        let state = self.lock();
        self.place(state, item)
    }

    /// Adds an item, waiting up to `patience` for room.
    ///
    /// # Errors
    ///
    /// Gives the item back where the ring stays full or is closed.
    pub fn push_within(&self, item: T, patience: Duration) -> Result<(), PushError<T>> {
        let until = Instant::now() + patience;
        let mut state = self.lock();
        while state.items.len() >= self.shared.capacity && !state.closed {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                break;
            };
            let waited = self.shared.emptied.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        self.place(state, item)
    }

    /// Takes the next item, waiting for it.
    ///
    /// # Errors
    ///
    /// [`PopError::Closed`] once the ring is closed and empty.
    pub fn pop(&self) -> Result<T, PopError> {
        let mut state = self.lock();
        loop {
            if let Some(item) = state.items.pop_front() {
                self.shared.emptied.notify_one();
                return Ok(item);
            }
            if state.closed {
                return Err(PopError::Closed);
            }
            state.waiting += 1;
            state = self
                .shared
                .filled
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
            state.waiting -= 1;
        }
    }

    /// Takes the next item, waiting up to `patience` for it.
    ///
    /// # Errors
    ///
    /// [`PopError::Timeout`] where none came, [`PopError::Closed`] once closed and empty.
    pub fn pop_within(&self, patience: Duration) -> Result<T, PopError> {
        let until = Instant::now() + patience;
        let mut state = self.lock();
        loop {
            if let Some(item) = state.items.pop_front() {
                self.shared.emptied.notify_one();
                return Ok(item);
            }
            if state.closed {
                return Err(PopError::Closed);
            }
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                return Err(PopError::Timeout);
            };
            state.waiting += 1;
            let waited = self.shared.filled.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            state.waiting -= 1;
        }
    }

    /// Takes an item where one is there.
    #[must_use]
    pub fn try_pop(&self) -> Option<T> {
        let item = self.lock().items.pop_front();
        if item.is_some() {
            self.shared.emptied.notify_one();
        }
        item
    }

    /// Closes the ring: nothing more is taken in, what is in it can still be taken out.
    pub fn close(&self) {
        self.lock().closed = true;
        self.shared.filled.notify_all();
        self.shared.emptied.notify_all();
    }

    /// Items waiting in the ring.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().items.len()
    }

    /// Whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn place(&self, mut state: MutexGuard<'_, State<T>>, item: T) -> Result<(), PushError<T>> {
        if state.closed {
            return Err(PushError::Closed(item));
        }
        if state.items.len() >= self.shared.capacity {
            return Err(PushError::Full(item));
        }
        state.items.push_back(item);
        let wake = state.waiting > 0;
        drop(state);
        if wake {
            self.shared.filled.notify_one();
        }
        Ok(())
    }
}
