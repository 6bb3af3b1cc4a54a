//! API keys of callers, in clear text.

use std::fmt;

use crate::Verifier;

/// The prefix of every key.
const KEY_PREFIX: &str = "cassia_";
/// The random part of a key, in bytes.
const RANDOM_BYTES: usize = 24;

/// A newly generated API key. It is shown once, to the operator who requested it, and never
/// stored; its `Debug` output contains only the key's identifier.
pub struct Key {
    text: String,
}

impl Key {
    /// Generates a key from the operating system's random number generator.
    ///
    /// # Panics
    ///
    /// Panics if the random number generator fails.
    #[must_use]
    pub fn generate() -> Self {
        let mut bytes = [0; RANDOM_BYTES];
        getrandom::fill(&mut bytes).expect("the operating system's random number generator failed");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = format!("{KEY_PREFIX}{hex}");
        Self { text }
    }

    /// The key in clear text, to be shown to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// The verifier of the key, which is stored in place of the key.
    #[must_use]
    pub fn verifier(&self) -> Verifier {
        Verifier::of(&self.text)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.verifier().key_id())
    }
}
