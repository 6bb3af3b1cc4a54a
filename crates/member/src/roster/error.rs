//! The error of parsing a roster value.

use std::fmt;

/// The bytes of a value do not encode a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the value does not encode a roster")
    }
}

impl std::error::Error for Invalid {}
