//! Containment of requests that crash backend servers.
