//! The operators' table, its edits, keys and audit trail.
