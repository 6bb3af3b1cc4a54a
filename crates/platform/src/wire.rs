//! The form in which keys, versions and lists of values travel over HTTP.
//!
//! Values travel as raw bodies. A list travels as one JSON line for each value, followed by the
//! value's bytes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Entry, Error, LeaseId, Version, swap};

/// The path below which values stand.
pub const VALUES_PATH: &str = "/v1/values";
/// The path below which keys are watched.
pub const WATCH_PATH: &str = "/v1/watch";
/// The path below which leases stand.
pub const LEASES_PATH: &str = "/v1/leases";
/// The header of an answer with the version of its value.
pub const VERSION_HEADER: &str = "Version";
/// The header of a write with the version that it expects.
pub const EXPECTED_HEADER: &str = "If-Version";
/// The header with the lease of a value.
pub const LEASE_HEADER: &str = "Lease";
/// How a missing value is written where a version is expected.
const ABSENT: &str = "absent";

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Head {
    key: String,
    version: Version,
    lease: Option<LeaseId>,
    bytes: usize,
}

/// The text of an expectation.
#[must_use]
pub fn expected_text(expected: swap::Expected) -> String {
    match expected {
        swap::Expected::Absent => ABSENT.into(),
        swap::Expected::At(version) => version.to_string(),
    }
}

/// Reads the text of an expectation.
#[must_use]
pub fn parse_expected(text: &str) -> Option<swap::Expected> {
    if text == ABSENT {
        return Some(swap::Expected::Absent);
    }
    text.parse().ok().map(Version).map(swap::Expected::At)
}

/// Writes a list of values.
#[must_use]
pub fn encode_list(entries: &[Entry]) -> Vec<u8> {
    let mut buf = Vec::new();
    for entry in entries {
        let head = Head {
            key: entry.key.clone(),
            version: entry.version,
            lease: entry.lease,
            bytes: entry.value.len(),
        };
        serde_json::to_writer(&mut buf, &head).expect("a head of strings and numbers is JSON");
        buf.push(b'\n');
        buf.extend_from_slice(&entry.value);
    }
    buf
}

/// Reads a list of values.
///
/// # Errors
///
/// [`Error::Protocol`] where the bytes are no list.
pub fn decode_list(mut buf: &[u8]) -> Result<Vec<Entry>, Error> {
    let mut entries = Vec::new();
    while !buf.is_empty() {
        let (entry, rest) = decode_entry(buf).ok_or_else(broken_list)?;
        entries.push(entry);
        buf = rest;
    }
    Ok(entries)
}

fn decode_entry(buf: &[u8]) -> Option<(Entry, &[u8])> {
    let end = buf.iter().position(|byte| *byte == b'\n')?;
    let head: Head = serde_json::from_slice(&buf[..end]).ok()?;
    let rest = &buf[end + 1..];
    let value = rest.get(..head.bytes)?;
    let entry = Entry {
        key: head.key,
        version: head.version,
        lease: head.lease,
        value: Arc::from(value),
    };
    Some((entry, &rest[head.bytes..]))
}

fn broken_list() -> Error {
    let detail = "the list of values is cut short or malformed".into();
    Error::Protocol { detail }
}

/// Writes a key so that it can stand in a path or a query.
#[must_use]
pub fn encode_key(key: &str) -> String {
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => {
                text.push(byte.into());
            }
            _ => text.push_str(&format!("%{byte:02X}")),
        }
    }
    text
}

/// Reads a key from a path or a query.
#[must_use]
pub fn decode_key(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}
