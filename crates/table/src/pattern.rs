//! A name or the wildcard for all names.

use std::{fmt, str::FromStr};

/// The text form of [`Pattern::Any`].
const WILDCARD: &str = "*";

/// One name of a row key or endpoint, or the wildcard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pattern<T> {
    /// Every name, unless a more specific row or endpoint matches; written `*`.
    Any,
    /// Only this name.
    Is(T),
}

impl<T> Pattern<T> {
    /// The name, or `None` for the wildcard.
    #[must_use]
    pub fn name(self) -> Option<T> {
        match self {
            Self::Any => None,
            Self::Is(name) => Some(name),
        }
    }

    /// Whether this is the wildcard.
    #[must_use]
    pub const fn is_any(&self) -> bool {
        matches!(self, Self::Any)
    }
}

impl<T: FromStr> FromStr for Pattern<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        match text {
            WILDCARD => Ok(Self::Any),
            name => name.parse().map(Self::Is),
        }
    }
}

impl<T: fmt::Display> fmt::Display for Pattern<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.pad(WILDCARD),
            Self::Is(name) => name.fmt(f),
        }
    }
}
