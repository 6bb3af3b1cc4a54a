//! The question of which request is to be explained, as a page of the metrics listener.

use crate::http::{RequestHead, header};

/// The path of the page.
pub(crate) const PATH: &str = "/explain";

/// A request to be explained.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Query {
    pub(crate) method: String,
    pub(crate) host: String,
    /// Path and query.
    pub(crate) target: String,
    /// The key that it would carry. It is never logged.
    pub(crate) key: Option<String>,
}

impl Query {
    /// Reads the question from a request for the page, whose parameters are `host`, `path` and `method`
    /// (GET if not given) and whose key is a bearer token. The error says what is wrong.
    pub(crate) fn from_head(head: &RequestHead) -> Result<Self, &'static str> {
        let parameters = head.target.split_once('?').map_or("", |(_, it)| it);
        let parameter = |name: &str| {
            let mut pairs = parameters.split('&').filter_map(|it| it.split_once('='));
            let value = pairs.find(|(it, _)| *it == name).map(|(_, value)| value);
            value
                .map(|it| decode(it).ok_or("a parameter is not percent-encoded UTF-8"))
                .transpose()
        };
        let target = parameter("path")?.ok_or("no parameter `path`")?;
        if !target.starts_with('/') {
            return Err("`path` does not begin with a slash");
        }
        let credential = header(&head.headers, "authorization");
        Ok(Self {
            method: parameter("method")?.unwrap_or_else(|| "GET".into()),
            host: parameter("host")?
                .ok_or("no parameter `host`")?
                .to_ascii_lowercase(),
            target,
            key: credential
                .and_then(|it| it.strip_prefix("Bearer "))
                .map(|it| it.trim().into()),
        })
    }
}

/// Decodes percent-encoding; `None` if it is malformed or not UTF-8.
fn decode(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2)?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    String::from_utf8(bytes).ok()
}
