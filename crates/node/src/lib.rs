//! The node daemon: duties, threads and sockets around the pure parts.
