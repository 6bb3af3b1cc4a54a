//! HTTP/1.1: a strict parser for heads and bodies, and connections on the event loop.

mod body_buffer;
mod buffer_limit;
mod connection;
mod head;
mod receive_window;

pub(crate) use buffer_limit::{BufferLimit, SharedBufferLimit};
pub(crate) use connection::{Connection, OutgoingMessage, ReadError};
pub(crate) use head::{Framing, RequestHead, ResponseHead, forwardable, has_token, header};
pub(crate) use receive_window::{CLIENT_RECEIVE_BYTES, MIN_UNREAD_BYTES};

/// The reason phrase of a status line.
pub(crate) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
