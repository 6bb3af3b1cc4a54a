//! At most one run per idempotency key.
