//! Names of headers, and which of them travel on.

/// What is known about a refused request's work.
pub(crate) const VERDICT: &str = "cassiashunt-verdict";
/// Milliseconds until the deadline.
pub(crate) const TIMEOUT: &str = "cassiashunt-timeout-ms";
/// The chain that a request belongs to.
pub(crate) const CHAIN: &str = "cassiashunt-chain";
/// The workspace that a request runs for.
pub(crate) const WORKSPACE: &str = "cassiashunt-workspace";
/// The class of a request.
pub(crate) const CLASS: &str = "cassiashunt-class";
/// The name of a running request, for its own calls.
pub(crate) const TICKET: &str = "cassiashunt-ticket";
/// The caller's key for sending the same request again.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The prefix of headers that only nodes set.
const INTERNAL_PREFIX: &str = "cassiashunt-";

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or its framing.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that describe the body, which `Connection` cannot take off (RFC 9110, section 7.6.1).
const END_TO_END: [&str; 2] = ["content-encoding", "content-type"];

/// Whether a header concerns one connection only: by its name, or where it is among the `options` that
/// `Connection` names.
pub(crate) fn is_for_connection<'a>(
    name: &str,
    mut options: impl Iterator<Item = &'a str>,
) -> bool {
    let is_end_to_end = END_TO_END
        .iter()
        .any(|known| known.eq_ignore_ascii_case(name));
    is_hop_by_hop(name)
        || (!is_end_to_end && options.any(|option| option.trim().eq_ignore_ascii_case(name)))
}

/// Whether a header concerns one connection only, by its name.
fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|known| known.eq_ignore_ascii_case(name))
}

/// Whether only nodes set a header, or a server may take it for such a one.
pub(crate) fn is_internal(name: &str) -> bool {
    plain_name(name).starts_with(INTERNAL_PREFIX)
}

/// Whether a server may take a header for the idempotency key.
pub(crate) fn is_idempotency_key(name: &str) -> bool {
    plain_name(name) == IDEMPOTENCY_KEY
}

/// The name in lower case with `-` for `_`: some servers make the names of variables of headers, in
/// which the two are the same.
fn plain_name(name: &str) -> String {
    name.replace('_', "-").to_ascii_lowercase()
}
