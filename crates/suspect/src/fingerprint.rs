//! Identifies a request across retries.

use std::fmt;

use cassiashunt_types::{Route, Workspace};
use serde::{Deserialize, Serialize};

/// A hash of a request's workspace, route and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// The offset basis of 64-bit FNV-1a.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Fingerprint {
    /// The fingerprint of a request. `body_hash` covers its path, query and body.
    #[must_use]
    pub fn of(workspace: Workspace, route: Route, body_hash: u64) -> Self {
        let mut hash = fnv1a(FNV_BASIS, workspace.as_str().as_bytes());
        hash = fnv1a(hash, &[0]);
        hash = fnv1a(hash, route.as_str().as_bytes());
        Self(fnv1a(hash, &body_hash.to_be_bytes()))
    }

    /// The fingerprint of the parts in their order. Lengths are hashed too, so that moving bytes
    /// from one part to the next changes the result.
    #[must_use]
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let hash = parts.into_iter().fold(FNV_BASIS, |hash, part| {
            let length = part.len() as u64;
            fnv1a(fnv1a(hash, &length.to_be_bytes()), part)
        });
        Self(hash)
    }
}

fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
