//! The stored hash of an API key.

use std::{fmt, str::FromStr};

use cassiashunt_types::KeyId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The size of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a key. The key cannot be recovered from it because keys are random.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Verifier([u8; DIGEST_BYTES]);

/// A text that is not a verifier: 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidVerifier;

impl fmt::Display for InvalidVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a verifier is 64 lower-case hexadecimal digits")
    }
}

impl std::error::Error for InvalidVerifier {}

impl Verifier {
    /// The verifier of a key in clear text, as a caller presents it.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The identifier of the key: the first 8 bytes of the digest. It is not secret and may be
    /// logged.
    #[must_use]
    pub fn key_id(&self) -> KeyId {
        let prefix = self
            .0
            .first_chunk()
            .expect("a verifier has fewer than 8 bytes");
        KeyId(u64::from_be_bytes(*prefix))
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verifier({})", self.key_id())
    }
}

impl FromStr for Verifier {
    type Err = InvalidVerifier;

    fn from_str(text: &str) -> Result<Self, InvalidVerifier> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES {
            return Err(InvalidVerifier);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn hex_digit(byte: u8) -> Result<u8, InvalidVerifier> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(InvalidVerifier),
    }
}

impl TryFrom<String> for Verifier {
    type Error = InvalidVerifier;

    fn try_from(text: String) -> Result<Self, InvalidVerifier> {
        text.parse()
    }
}

impl From<Verifier> for String {
    fn from(verifier: Verifier) -> Self {
        verifier.to_string()
    }
}
