//! A name, or the default for every name.

use std::{fmt, str::FromStr};

/// How [`Pattern::Any`] is written.
const ANY: &str = "*";

/// What a row says about one of its three names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pattern<T> {
    /// Every name that no more specific row covers, written `*`.
    Any,
    /// This name only.
    Is(T),
}

impl<T> Pattern<T> {
    /// The name, where there is one.
    #[must_use]
    pub fn name(self) -> Option<T> {
        match self {
            Self::Any => None,
            Self::Is(name) => Some(name),
        }
    }

    /// Whether this stands for every name.
    #[must_use]
    pub const fn is_any(&self) -> bool {
        matches!(self, Self::Any)
    }
}

impl<T: FromStr> FromStr for Pattern<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        match text {
            ANY => Ok(Self::Any),
            name => name.parse().map(Self::Is),
        }
    }
}

impl<T: fmt::Display> fmt::Display for Pattern<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.pad(ANY),
            Self::Is(name) => name.fmt(f),
        }
    }
}
