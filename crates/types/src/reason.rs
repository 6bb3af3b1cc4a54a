//! Stable reason codes of refusals.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $wire:literal, $code:literal, $status:literal;)+) => {
        /// Why a request was refused or failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            /// Every reason.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The stable code used in responses, logs and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)+ }
            }

            /// The HTTP status of a response with this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// The number that stands for the reason in messages between nodes; never zero.
            #[must_use]
            pub const fn number(self) -> u32 {
                match self { $(Self::$name => $wire,)+ }
            }

            /// The reason that `number` stands for; `None` where it is unknown.
            #[must_use]
            pub const fn from_number(number: u32) -> Option<Self> {
                match number { $($wire => Some(Self::$name),)+ _ => None }
            }
        }
    };
}

reasons! {
    /// The request could not be parsed.
    BadRequest = 1, "bad-request", 400;
    /// The route requires an API key, and the request carries none or an unknown one.
    BadKey = 2, "bad-key", 401;
    /// The API key was withdrawn.
    KeyWithdrawn = 3, "key-withdrawn", 403;
    /// The workspace may not use this route.
    NotAllowed = 4, "not-allowed", 403;
    /// The table has no such route.
    UnknownRoute = 5, "unknown-route", 404;
    /// The body is larger than the limit.
    BodyTooLarge = 6, "body-too-large", 413;
    /// The workspace exceeds its rate and burst.
    OverLimit = 7, "over-limit", 429;
    /// The cap per minute of the table cell is reached.
    OverMinute = 8, "over-minute", 429;
    /// The request was shed because of overload.
    Shed = 9, "shed", 503;
    /// A bounded queue or pool of the node is full.
    Full = 10, "full", 503;
    /// The node is draining.
    Draining = 11, "draining", 503;
    /// The node is not in touch with the other nodes of the fleet.
    NotInTouch = 12, "not-in-touch", 503;
    /// No backend server is available for the request.
    NoServer = 13, "no-server", 503;
    /// The deadline passed, or would pass before the request could complete.
    Deadline = 14, "deadline", 504;
    /// The connection to the server was lost.
    Lost = 15, "lost", 502;
    /// The backend server itself refused the request.
    ServerRefused = 16, "server-refused", 503;
    /// A request with the same idempotency key is still running.
    StillRunning = 17, "still-running", 409;
    /// An earlier request with the same idempotency key may have run.
    Repeated = 18, "repeated", 409;
    /// The request is suspected of crashing backend servers.
    Suspect = 19, "suspect", 503;
    /// The caller disconnected, or the parent of the call ended.
    Cancelled = 20, "cancelled", 499;
    /// A call within a chain carries no ticket of a running call.
    BadTicket = 21, "bad-ticket", 401;
    /// The route requires an idempotency key, and the request carries none.
    KeyRequired = 22, "idempotency-key-required", 400;
    /// The idempotency key was used before with a different request.
    KeyReused = 23, "idempotency-key-reused", 422;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
