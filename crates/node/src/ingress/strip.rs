//! Takes the caller's key out of a request.
//!
//! A key is recognised by its form wherever it stands, so that not even a key that was put in the
//! wrong place, or someone else's, reaches a backend server.

use bytes::Bytes;
use cassiashunt_http::Request;
use cassiashunt_types::prelude::*;

use crate::headers;

/// How every key begins.
const KEY_PREFIX: &str = "cassia_";
/// The fewest characters after the prefix that make a key.
const KEY_MIN_CHARS: usize = 16;

/// The key that a caller presents; never shown.
#[derive(Clone, PartialEq, Eq)]
pub(super) struct Presented(String);

impl Presented {
    pub(super) fn expose(&self) -> &str {
        &self.0
    }
}

/// Removes every key, and every header that only nodes set, from `req`, and gives the key.
///
/// # Errors
///
/// Not run, where two different keys came or one stands where it cannot be removed.
pub(super) fn take_key(req: &mut Request) -> Result<Option<Presented>, Refusal> {
    let mut found = Vec::new();
    find_in_headers(req, &mut found);
    let target = strip_query(&req.target, &mut found);
    let bad_request = Refusal::not_run(Reason::BadRequest);
    let path = target.split('?').next().unwrap_or_default();
    if !keys_in(&decode(path.as_bytes())).is_empty() || holds_key(&req.body) {
        return Err(bad_request);
    }
    req.target = target;
    req.headers.retain(|line| !headers::is_internal(&line.name));
    req.headers
        .retain(|line| !line.name.eq_ignore_ascii_case("authorization"));
    req.headers
        .retain(|line| keys_in(&decode(line.value.as_bytes())).is_empty());
    found.sort_unstable();
    found.dedup();
    match found.len() {
        0 | 1 => Ok(found.pop().map(Presented)),
        _ => Err(bad_request),
    }
}

fn find_in_headers(req: &Request, found: &mut Vec<String>) {
    for line in &req.headers {
        found.extend(keys_in(&decode(line.value.as_bytes())));
    }
    let bearer = req.headers.all("authorization").filter_map(bearer);
    let unformed = bearer.filter(|token| keys_in(token).is_empty());
    found.extend(unformed.map(str::to_owned));
}

/// The token of a Bearer credential (RFC 6750, section 2.1).
fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The target without those query parameters that hold a key.
fn strip_query(target: &str, found: &mut Vec<String>) -> String {
    let Some((path, query)) = target.split_once('?') else {
        return target.to_owned();
    };
    let mut kept = Vec::new();
    for pair in query.split('&') {
        let keys = keys_in(&decode(pair.as_bytes()));
        if keys.is_empty() {
            kept.push(pair);
        }
        found.extend(keys);
    }
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

fn holds_key(body: &Bytes) -> bool {
    let holds = |bytes: &[u8]| !keys_in(&String::from_utf8_lossy(bytes)).is_empty();
    let may = |bytes: &[u8]| {
        bytes
            .windows(KEY_PREFIX.len())
            .any(|w| w == KEY_PREFIX.as_bytes())
    };
    if body.contains(&b'%') {
        let decoded = decode(body);
        return may(decoded.as_bytes()) && holds(decoded.as_bytes());
    }
    may(body) && holds(body)
}

/// Every key in `text`.
fn keys_in(text: &str) -> Vec<String> {
    let mut keys = Vec::new();
    let mut rest = text;
    while let Some(at) = rest.find(KEY_PREFIX) {
        let start = &rest[at..];
        let tail = &start[KEY_PREFIX.len()..];
        let end = tail.find(|c: char| !is_key_char(c)).unwrap_or(tail.len());
        if end >= KEY_MIN_CHARS {
            keys.push(start[..KEY_PREFIX.len() + end].to_owned());
        }
        rest = &tail[end..];
    }
    keys
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_')
}

/// Percent-decodes (RFC 3986, section 2.1) as often as it changes anything, at most thrice.
fn decode(bytes: &[u8]) -> String {
    let mut decoded = bytes.to_vec();
    for _ in 0..3 {
        if !decoded.contains(&b'%') {
            break;
        }
        decoded = decode_once(&decoded);
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn decode_once(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    decoded
}
