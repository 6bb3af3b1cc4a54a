//! The interface to the key-value service.

use std::time::Duration;

use crate::{Entry, Error, LeaseId, swap, watch};

/// What cassiashunt needs of a key-value service.
///
/// A version is never given again to another value of the same key. A service that is restored
/// from a backup keeps to this as long as its version counter is not set back with the values.
pub trait Platform: Send + Sync {
    /// Reads the value under `key`.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::TooLarge`] and [`Error::NoLease`].
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Writes a value where the key still stands as expected.
    ///
    /// # Errors
    ///
    /// An [`Error`] where the write surely did not and will not take effect. Everything else is
    /// [`swap::Outcome::Unknown`].
    fn swap(&self, req: swap::Request<'_>) -> Result<swap::Outcome, Error>;

    /// Reads every value whose key begins with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::TooLarge`] and [`Error::NoLease`].
    fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error>;

    /// Grants a lease that lapses `ttl` after its last keep-alive.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a lease whose answer was lost lapses by itself.
    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease for its full time.
    ///
    /// # Errors
    ///
    /// [`Error::NoLease`] once it has lapsed; any other [`Error`] leaves it in doubt.
    fn keep_alive(&self, lease: LeaseId) -> Result<(), Error>;

    /// Ends a lease and deletes the keys that are attached to it.
    ///
    /// # Errors
    ///
    /// [`Error::NoLease`] once it has lapsed; any other [`Error`] leaves it in doubt.
    fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// Waits up to `timeout` until the key no longer stands as `seen`.
    ///
    /// A waiting watch counts as one call.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::TooLarge`] and [`Error::NoLease`].
    fn watch(
        &self,
        key: &str,
        seen: swap::Expected,
        timeout: Duration,
    ) -> Result<watch::Outcome, Error>;
}
