//! Membership by heartbeat and gossip, and the rosters that seed it.
