//! Node-to-node messages, framing and connection authentication.
//!
//! Requests and answers travel as [`Frame`]s over TCP, length-delimited by [`FrameCodec`].
//! Control messages travel as sealed datagrams ([`Seal`]) over UDP, so that they never wait
//! behind a body. Nothing here owns a socket.

mod codec;
mod frame;
mod handshake;
mod seal;
mod secret;

pub use codec::{CodecError, FrameCodec};
pub use frame::{
    Begin, Body, Cancel, Chunk, End, Fetch, Frame, GoAway, Head, HeaderLine, Refused, ValueKind,
};
pub use handshake::{Dialer, HandshakeError, Hello, Listener, Proof, Welcome};
pub use seal::{Envelope, Kind, Seal, SealError};
pub use secret::Secret;
