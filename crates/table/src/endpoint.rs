//! The pattern that maps requests to a route.

use std::{fmt, str::FromStr};

use cassiashunt_types::Label;
use serde::{Deserialize, Serialize};

use crate::Pattern;

/// The maximum length of a path prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 200;

/// An HTTP method, such as `POST`.
pub type Method = Label;

/// A method and a path prefix, written `POST /sections` or `* /sections`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Endpoint {
    method: Pattern<Method>,
    prefix: String,
}

/// A text that is not a valid endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidEndpoint {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for InvalidEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no endpoint: write a method or * and a path of up to {MAX_PREFIX_BYTES} \
             printable ASCII characters that begins with / and does not end with one",
            self.text
        )
    }
}

impl std::error::Error for InvalidEndpoint {}

impl Endpoint {
    /// Creates an endpoint from a method and a path prefix.
    ///
    /// # Errors
    ///
    /// Fails if the prefix is longer than 200 bytes, does not start with `/`, ends with `/` (`/`
    /// alone is valid), or contains characters that are not printable ASCII or one of `,"?#`.
    pub fn new(method: Pattern<Method>, prefix: &str) -> Result<Self, InvalidEndpoint> {
        if !is_valid_prefix(prefix) {
            let text = format!("{method} {prefix}");
            return Err(InvalidEndpoint { text });
        }
        let prefix = prefix.into();
        Ok(Self { method, prefix })
    }

    /// The method, or the wildcard for all methods.
    #[must_use]
    pub const fn method(&self) -> Pattern<Method> {
        self.method
    }

    /// The path prefix. A request's path matches if it equals the prefix or continues it with a
    /// slash; `/` matches every path.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Whether a request with this method and path (without the query) matches.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = match &self.method {
            Pattern::Any => true,
            Pattern::Is(name) => name.as_str() == method,
        };
        method_matches && self.matches_path(path)
    }

    fn matches_path(&self, path: &str) -> bool {
        if self.prefix == "/" {
            return path.starts_with('/');
        }
        let suffix = path.strip_prefix(self.prefix.as_str());
        suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('/'))
    }
}

fn is_valid_prefix(text: &str) -> bool {
    let valid_start = text.len() <= MAX_PREFIX_BYTES && text.starts_with('/');
    let valid_end = text == "/" || !text.ends_with('/');
    let valid_byte =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'"' | b'?' | b'#');
    valid_start && valid_end && text.bytes().all(valid_byte)
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.prefix)
    }
}

impl FromStr for Endpoint {
    type Err = InvalidEndpoint;

    fn from_str(text: &str) -> Result<Self, InvalidEndpoint> {
        let invalid = || InvalidEndpoint { text: text.into() };
        let (method, prefix) = text.split_once(' ').ok_or_else(invalid)?;
        let method = method.parse().map_err(|_| invalid())?;
        Self::new(method, prefix)
    }
}

impl TryFrom<String> for Endpoint {
    type Error = InvalidEndpoint;

    fn try_from(text: String) -> Result<Self, InvalidEndpoint> {
        text.parse()
    }
}

impl From<Endpoint> for String {
    fn from(endpoint: Endpoint) -> Self {
        endpoint.to_string()
    }
}
