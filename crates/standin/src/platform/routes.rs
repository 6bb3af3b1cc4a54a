//! Which request does what.

use std::{
    io::Read,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use cassiashunt_platform::{Error, LeaseId, MAX_VALUE_BYTES, Memory, Platform, swap, watch, wire};
use tiny_http::{Method, Request};

use super::{answer::Answer, control};

/// The store and what is being served from it.
#[derive(Clone)]
pub(super) struct Site {
    memory: Arc<Memory>,
    watches: Arc<AtomicUsize>,
    max_watches: usize,
}

impl Site {
    pub(super) fn new(memory: Arc<Memory>, max_watches: usize) -> Self {
        Self {
            memory,
            watches: Arc::default(),
            max_watches,
        }
    }

    /// Answers a request; a watch waits on a thread of its own.
    pub(super) fn serve(&self, mut req: Request) {
        if !req.url().starts_with(wire::WATCH_PATH) {
            let answer = self.answer(&mut req);
            return answer.give(req);
        }
        if self.watches.fetch_add(1, Ordering::SeqCst) >= self.max_watches {
            self.watches.fetch_sub(1, Ordering::SeqCst);
            return Answer::status(503).give(req);
        }
        let site = self.clone();
        thread::spawn(move || {
            let answer = site.answer(&mut req);
            answer.give(req);
            site.watches.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn answer(&self, req: &mut Request) -> Answer {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if path.starts_with(control::PATH) {
            return control::answer(&self.memory, req, path, query);
        }
        let answer = self.route(req, path, query);
        answer.unwrap_or_else(|| Answer::status(400))
    }

    /// The answer, or nothing where the request is malformed.
    fn route(&self, req: &mut Request, path: &str, query: &str) -> Option<Answer> {
        if path == wire::VALUES_PATH {
            return self.list(query);
        }
        if path == wire::LEASES_PATH {
            return self.grant(query);
        }
        if let Some(key) = below(path, wire::VALUES_PATH) {
            let key = wire::decode_key(key)?;
            return self.value(req, &key);
        }
        if let Some(key) = below(path, wire::WATCH_PATH) {
            let key = wire::decode_key(key)?;
            return self.watch(&key, query);
        }
        let lease = below(path, wire::LEASES_PATH)?.parse().ok()?;
        Some(self.lease(req, LeaseId(lease)))
    }

    fn value(&self, req: &mut Request, key: &str) -> Option<Answer> {
        match req.method() {
            Method::Get => Some(self.get(key)),
            Method::Put => self.swap(req, key),
            _ => None,
        }
    }

    fn get(&self, key: &str) -> Answer {
        match self.memory.get(key) {
            Ok(Some(entry)) => Answer::entry(200, &entry),
            Ok(None) => Answer::status(404),
            Err(err) => Answer::error(&err),
        }
    }

    fn swap(&self, req: &mut Request, key: &str) -> Option<Answer> {
        let expected = wire::parse_expected(header(req, wire::EXPECTED_HEADER)?)?;
        let lease = header(req, wire::LEASE_HEADER);
        let lease = lease.map(str::parse).transpose().ok()?.map(LeaseId);
        let value = read_value(req)?;
        let outcome = self.memory.swap(swap::Request {
            key,
            expected,
            value: &value,
            lease,
        });
        Some(match outcome {
            Ok(swap::Outcome::Applied { version }) => Answer::version(version),
            Ok(swap::Outcome::Conflict { current: None }) => Answer::status(409),
            Ok(swap::Outcome::Conflict {
                current: Some(entry),
            }) => Answer::entry(409, &entry),
            Ok(swap::Outcome::Unknown) => Answer::Lose,
            Err(err) => Answer::error(&err),
        })
    }

    fn list(&self, query: &str) -> Option<Answer> {
        let prefix = wire::decode_key(param(query, "prefix")?)?;
        Some(match self.memory.list(&prefix) {
            Ok(entries) => Answer::bytes(wire::encode_list(&entries)),
            Err(err) => Answer::error(&err),
        })
    }

    fn grant(&self, query: &str) -> Option<Answer> {
        let ttl = millis(query, "ttl-ms")?;
        Some(match self.memory.grant(ttl) {
            Ok(lease) => Answer::bytes(lease.to_string().into_bytes()),
            Err(err) => Answer::error(&err),
        })
    }

    fn lease(&self, req: &Request, lease: LeaseId) -> Answer {
        let outcome = match req.method() {
            Method::Post => self.memory.keep_alive(lease),
            _ => self.memory.revoke(lease),
        };
        plain(outcome)
    }

    fn watch(&self, key: &str, query: &str) -> Option<Answer> {
        let seen = wire::parse_expected(param(query, "seen")?)?;
        let timeout = millis(query, "timeout-ms")?;
        Some(match self.memory.watch(key, seen, timeout) {
            Ok(watch::Outcome::Changed(entry)) => Answer::entry(200, &entry),
            Ok(watch::Outcome::Gone) => Answer::status(404),
            Ok(watch::Outcome::Unchanged) => Answer::status(304),
            Err(err) => Answer::error(&err),
        })
    }
}

/// An answer without a body.
pub(super) fn plain(outcome: Result<(), Error>) -> Answer {
    match outcome {
        Ok(()) => Answer::status(200),
        Err(err) => Answer::error(&err),
    }
}

/// The value of a query's parameter.
pub(super) fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// What follows `parent/` in a path.
pub(super) fn below<'a>(path: &'a str, parent: &str) -> Option<&'a str> {
    path.strip_prefix(parent)?.strip_prefix('/')
}

/// Reads a body of up to one byte more than a value may have.
pub(super) fn read_value(req: &mut Request) -> Option<Vec<u8>> {
    let most = MAX_VALUE_BYTES as u64 + 1;
    let mut value = Vec::new();
    req.as_reader().take(most).read_to_end(&mut value).ok()?;
    Some(value)
}

fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    let header = req.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.as_str())
}

fn millis(query: &str, name: &str) -> Option<Duration> {
    param(query, name)?.parse().ok().map(Duration::from_millis)
}
