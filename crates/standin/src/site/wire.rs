//! Plain HTTP/1.1 messages on blocking sockets, for stand-ins that have to misbehave on the wire.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A message's first line, fields and body.
#[derive(Debug, Clone, Default)]
pub(super) struct Message {
    pub(super) first_line: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Message {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// A word of the first line.
    pub(super) fn word(&self, at: usize) -> &str {
        self.first_line.split(' ').nth(at).unwrap_or_default()
    }
}

/// The first value of a field.
pub(super) fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(it, _)| it.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

/// Reads one message; nothing at the end of the connection.
pub(super) fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let field = (name.to_owned(), value.trim().to_owned());
            message.headers.push(field);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
