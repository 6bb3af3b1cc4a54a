//! A caller's key, as it is shown once.

use std::fmt;

use crate::Verifier;

/// How every key begins.
const PREFIX: &str = "cassia_";
/// The randomness in a key, in bytes.
const RANDOM_BYTES: usize = 24;

/// A key that was just drawn. It is shown once, to the operator who asked for it, and is kept
/// nowhere; its `Debug` form does not contain it.
pub struct Key {
    text: String,
}

impl Key {
    /// Draws a key from the operating system's randomness.
    ///
    /// # Panics
    ///
    /// Panics where the operating system has no randomness to give.
    #[must_use]
    pub fn generate() -> Self {
        let mut bytes = [0; RANDOM_BYTES];
        getrandom::fill(&mut bytes).expect("the operating system gives randomness once it is up");
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let text = format!("{PREFIX}{digits}");
        Self { text }
    }

    /// The key's text, to be shown to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// What is kept of the key.
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
