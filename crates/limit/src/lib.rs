//! Workspace rate limits across the fleet: authority, grants and holders.
