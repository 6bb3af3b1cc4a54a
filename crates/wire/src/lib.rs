//! Node-to-node messages, framing and connection authentication.
