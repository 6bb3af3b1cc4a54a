//! An in-memory double of the service with failure switches.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_types::Time;

use crate::{Call, Calls, Entry, Error, Faults, LeaseId, Platform, Store, swap, watch};

/// The clock that leases lapse by.
pub type Clock = Arc<dyn Fn() -> Time + Send + Sync>;

/// Settings of a [`Memory`].
#[derive(Clone)]
pub struct Options {
    /// The clock that leases lapse by; the process's monotonic clock where not set.
    pub clock: Clock,
    /// The faults in force from the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        let origin = Instant::now();
        Self {
            clock: Arc::new(move || Time::ZERO + origin.elapsed()),
            faults: Faults::default(),
        }
    }
}

#[derive(Default)]
struct State {
    store: Store,
    faults: Faults,
    calls: Calls,
}

/// A key-value service within the process.
pub struct Memory {
    clock: Clock,
    state: Mutex<State>,
    changed: Condvar,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl Memory {
    /// An empty service.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let state = State {
            faults: options.faults,
            ..State::default()
        };
        Self {
            clock: options.clock,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Puts these faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Takes the service down or brings it back.
    pub fn set_down(&self, down: bool) {
        let faults = self.faults();
        self.set_faults(Faults { down, ..faults });
    }

    /// Loses the answer of the next swap after it has taken effect.
    pub fn lose_next_answer(&self) {
        self.lock().faults.lost_answers += 1;
    }

    /// Undoes the last `writes` writes, as the restoration of a backup does.
    pub fn roll_back(&self, writes: usize) {
        self.lock().store.roll_back(writes);
        self.changed.notify_all();
    }

    /// Lets a lease lapse before its time.
    ///
    /// # Errors
    ///
    /// [`Error::NoLease`] where it has lapsed already.
    pub fn expire(&self, lease: LeaseId) -> Result<(), Error> {
        let now = (self.clock)();
        self.lock().store.revoke(now, lease)?;
        self.changed.notify_all();
        Ok(())
    }

    /// The calls so far, failed ones included.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of this lock panics while it changes the state")
    }

    /// Counts the call, shows the faults and hands out the state.
    fn serve(&self, call: Call) -> Result<(MutexGuard<'_, State>, Time), Error> {
        let delay = self.lock().faults.delay();
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        let mut state = self.lock();
        state.calls.add(call);
        check_up(&state)?;
        Ok((state, (self.clock)()))
    }

    /// Waits for a change, for the next lapse of a lease, or until `until`.
    fn wait<'a>(&self, state: MutexGuard<'a, State>, until: Time) -> MutexGuard<'a, State> {
        let wake_at = state.store.next_lapse().map_or(until, |at| at.min(until));
        let span = wake_at.since((self.clock)()).max(SHORTEST_WAIT);
        let waited = self.changed.wait_timeout(state, span);
        let (state, _) = waited.expect("no holder of this lock panics while it changes the state");
        state
    }
}

/// The shortest sleep of a waiting watch.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

fn check_up(state: &State) -> Result<(), Error> {
    if !state.faults.down {
        return Ok(());
    }
    let detail = "told to be down".into();
    Err(Error::Down { detail })
}

impl Platform for Memory {
    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let (mut state, now) = self.serve(Call::Get)?;
        Ok(state.store.get(now, key))
    }

    fn swap(&self, req: swap::Request<'_>) -> Result<swap::Outcome, Error> {
        let (mut state, now) = self.serve(Call::Swap)?;
        let outcome = state.store.swap(now, &req)?;
        self.changed.notify_all();
        if state.faults.lose_answer() {
            return Ok(swap::Outcome::Unknown);
        }
        Ok(outcome)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let (mut state, now) = self.serve(Call::List)?;
        Ok(state.store.list(now, prefix))
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let (mut state, now) = self.serve(Call::Grant)?;
        Ok(state.store.grant(now, ttl))
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<(), Error> {
        let (mut state, now) = self.serve(Call::KeepAlive)?;
        state.store.keep_alive(now, lease)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let (mut state, now) = self.serve(Call::Revoke)?;
        state.store.revoke(now, lease)?;
        self.changed.notify_all();
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        seen: swap::Expected,
        timeout: Duration,
    ) -> Result<watch::Outcome, Error> {
        let (mut state, started_at) = self.serve(Call::Watch)?;
        let until = started_at + timeout;
        loop {
            check_up(&state)?;
            let now = (self.clock)();
            let current = state.store.get(now, key);
            if swap::Expected::of(current.as_ref()) != seen {
                return Ok(current.map_or(watch::Outcome::Gone, watch::Outcome::Changed));
            }
            if now >= until {
                return Ok(watch::Outcome::Unchanged);
            }
            state = self.wait(state, until);
        }
    }
}
