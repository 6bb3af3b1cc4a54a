//! The secret that all nodes of a fleet share, and its message authentication code.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Bytes of a message authentication code.
pub(crate) const MAC_BYTES: usize = 32;

/// The fleet's shared secret; its bytes are never shown.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// A secret of these bytes.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// HMAC-SHA256 (RFC 2104) over `parts`, each preceded by its length.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.start(parts).finalize().into_bytes().into()
    }

    /// Whether the first bytes of the code over `parts` are `code`; takes constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        !code.is_empty() && self.start(parts).verify_truncated_left(code).is_ok()
    }

    fn start(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}
