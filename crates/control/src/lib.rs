//! Control value, relays and freshness: may a node act on what it last knew.
