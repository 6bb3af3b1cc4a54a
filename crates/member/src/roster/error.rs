//! Why a value cannot be read.

use std::fmt;

/// A value that is no roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the value is no roster")
    }
}

impl std::error::Error for Invalid {}
