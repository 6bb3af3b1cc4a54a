//! A timer service that parts subscribe to.
