//! Parses the heads of requests and responses.

use cassiashunt_adapter::is_end_to_end;

/// Header fields in the order received.
pub(crate) type Headers = Vec<(String, String)>;

/// Maximum number of header fields of one message.
const MAX_HEADER_FIELDS: usize = 96;
/// Valid status codes; RFC 9110, section 15, gives no others a meaning that a caller could rely on.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Fields that concern one connection only, or that are written anew for the next one.
const PER_CONNECTION: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-authorization",
];

/// Whether a field must not be forwarded.
fn is_per_connection(name: &str) -> bool {
    PER_CONNECTION
        .iter()
        .any(|it| name.eq_ignore_ascii_case(it))
}

/// The fields to forward: without those that concern one connection by their names, or because a
/// `Connection` field names them.
pub(crate) fn forwardable(headers: Headers) -> impl Iterator<Item = (String, String)> {
    let named = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let options: Vec<String> = named
        .flat_map(|(_, value)| value.split(','))
        .map(|option| option.trim().to_owned())
        .collect();
    let is_option = move |name: &str| options.iter().any(|it| name.eq_ignore_ascii_case(it));
    headers.into_iter().filter(move |(name, _)| {
        !is_per_connection(name) && (is_end_to_end(name) || !is_option(name))
    })
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The number of bytes; zero for no body.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// Until the connection closes; responses only.
    UntilClose,
}

/// The head of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
}

/// The head of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
}

/// The part of a message that is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Malformed(pub(crate) &'static str);

fn pairs(headers: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()))
}

/// The first value of a header.
pub(crate) fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(it, _)| it.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// Whether a header has a token in its list of values.
pub(crate) fn has_token(headers: &[(String, String)], name: &str, token: &str) -> bool {
    let found = headers
        .iter()
        .filter(|(it, _)| it.eq_ignore_ascii_case(name));
    let mut tokens = found.flat_map(|(_, value)| value.split(','));
    tokens.any(|it| it.trim().eq_ignore_ascii_case(token))
}

impl RequestHead {
    /// Names and values of the header fields.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        pairs(&self.headers)
    }

    /// Parses a complete head, including its final empty line.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Malformed> {
        check_line_ends(bytes)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut req = httparse::Request::new(&mut fields);
        let status = req.parse(bytes).map_err(|_| Malformed("head"))?;
        if status.is_partial() {
            return Err(Malformed("head"));
        }
        let headers = to_headers(req.headers)?;
        let framing = framing(&headers)?.unwrap_or(Framing::Length(0));
        let is_http_1_1 = req.version == Some(1);
        if is_http_1_1 && count(&headers, "host") != 1 {
            return Err(Malformed("host"));
        }
        Ok(Self {
            method: req.method.unwrap_or_default().to_owned(),
            target: req.path.unwrap_or_default().to_owned(),
            keep_alive: is_http_1_1 && !has_token(&headers, "connection", "close"),
            headers,
            framing,
        })
    }
}

impl ResponseHead {
    /// Names and values of the header fields.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        pairs(&self.headers)
    }

    /// Parses a complete head of an answer to a request with this method.
    pub(crate) fn parse(bytes: &[u8], method: &str) -> Result<Self, Malformed> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut res = httparse::Response::new(&mut fields);
        let parsed = res.parse(bytes).map_err(|_| Malformed("head"))?;
        // The parser accepts bare line feeds, so its head may end before the last empty line.
        if parsed != httparse::Status::Complete(bytes.len()) {
            return Err(Malformed("head"));
        }
        let status = res.code.unwrap_or_default();
        if !VALID_STATUSES.contains(&status) {
            return Err(Malformed("status"));
        }
        let headers = to_headers(res.headers)?;
        let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            framing(&headers)?.unwrap_or(Framing::UntilClose)
        };
        let is_http_1_1 = res.version == Some(1);
        Ok(Self {
            status,
            keep_alive: is_http_1_1
                && framing != Framing::UntilClose
                && !has_token(&headers, "connection", "close"),
            headers,
            framing,
        })
    }
}

/// Rejects a line feed without a carriage return: parsers differ on it, which allows request
/// smuggling.
fn check_line_ends(bytes: &[u8]) -> Result<(), Malformed> {
    let mut previous = b'\n';
    for byte in bytes {
        if *byte == b'\n' && previous != b'\r' {
            return Err(Malformed("line end"));
        }
        previous = *byte;
    }
    Ok(())
}

fn to_headers(fields: &[httparse::Header<'_>]) -> Result<Headers, Malformed> {
    let mut headers = Headers::with_capacity(fields.len());
    for field in fields {
        let value = std::str::from_utf8(field.value).map_err(|_| Malformed("header value"))?;
        headers.push((field.name.to_owned(), value.to_owned()));
    }
    Ok(headers)
}

fn count(headers: &[(String, String)], name: &str) -> usize {
    let found = headers
        .iter()
        .filter(|(it, _)| it.eq_ignore_ascii_case(name));
    found.count()
}

/// The framing stated by the header fields; `None` if they state none.
fn framing(headers: &[(String, String)]) -> Result<Option<Framing>, Malformed> {
    let lengths = count(headers, "content-length");
    let encodings = count(headers, "transfer-encoding");
    match (lengths, encodings) {
        (0, 0) => Ok(None),
        (1, 0) => {
            let text = header(headers, "content-length").unwrap_or_default();
            let is_plain = !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_plain);
            length
                .map(|it| Some(Framing::Length(it)))
                .ok_or(Malformed("content length"))
        }
        (0, 1) => {
            let text = header(headers, "transfer-encoding").unwrap_or_default();
            if text.eq_ignore_ascii_case("chunked") {
                Ok(Some(Framing::Chunked))
            } else {
                Err(Malformed("transfer encoding"))
            }
        }
        _ => Err(Malformed(
            "body length: more than one Content-Length or Transfer-Encoding",
        )),
    }
}
