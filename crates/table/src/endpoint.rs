//! What a request is matched by.

use std::{fmt, str::FromStr};

use cassiashunt_types::Label;
use serde::{Deserialize, Serialize};

use crate::Pattern;

/// The longest path prefix, in bytes.
const PREFIX_BYTES: usize = 200;

/// An HTTP method, such as `POST`.
pub type Method = Label;

/// A method and a path prefix, written `POST /sections` or `* /sections`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Endpoint {
    method: Pattern<Method>,
    prefix: String,
}

/// A text that is no endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidEndpoint {
    /// The text as given.
    pub text: String,
}

impl fmt::Display for InvalidEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no endpoint: write a method or * and a path of up to {PREFIX_BYTES} printable \
             ASCII characters that begins with / and does not end with one",
            self.text
        )
    }
}

impl std::error::Error for InvalidEndpoint {}

impl Endpoint {
    /// An endpoint of this method and path prefix.
    ///
    /// # Errors
    ///
    /// Fails where the prefix is no path.
    pub fn new(method: Pattern<Method>, prefix: &str) -> Result<Self, InvalidEndpoint> {
        if !is_prefix(prefix) {
            let text = format!("{method} {prefix}");
            return Err(InvalidEndpoint { text });
        }
        let prefix = prefix.into();
        Ok(Self { method, prefix })
    }

    /// The method.
    #[must_use]
    pub const fn method(&self) -> Pattern<Method> {
        self.method
    }

    /// The path that a matching request's path equals or continues after a slash.
    #[must_use]
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Whether a request of this method and path, without its query, matches.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = match &self.method {
            Pattern::Any => true,
            Pattern::Is(name) => name.as_str() == method,
        };
        method_fits && self.covers(path)
    }

    fn covers(&self, path: &str) -> bool {
        if self.prefix == "/" {
            return path.starts_with('/');
        }
        let rest = path.strip_prefix(self.prefix.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

fn is_prefix(text: &str) -> bool {
    let fits = text.len() <= PREFIX_BYTES && text.starts_with('/');
    let ends_well = text == "/" || !text.ends_with('/');
    let plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b',' | b'"' | b'?' | b'#');
    fits && ends_well && text.bytes().all(plain)
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
