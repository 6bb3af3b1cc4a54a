//! HTTP/1.1 on the event loop: strict heads and bodies in, whole messages out.

mod connection;
mod head;
mod room;

pub(crate) use connection::{Connection, ReadError};
pub(crate) use head::{Framing, RequestHead, ResponseHead, has_token, header, is_per_connection};
pub(crate) use room::{Room, SharedRoom};

/// What is written before a body or in place of one.
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
