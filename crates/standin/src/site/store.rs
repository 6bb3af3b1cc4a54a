//! The platform's metadata store, in memory, with faults.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use super::wire;

/// The most items of a page, and the bytes from which a page gets no further item.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// How the store fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// It answers nothing.
    Silent,
    /// It answers 503.
    Busy,
    /// It carries calls out and loses the answers.
    LoseAnswers,
    /// It answers so much later.
    Slow(Duration),
    /// It carries calls out so much later.
    Late(Duration),
    /// It closes connections without an answer.
    Away,
    /// It answers calls on the operators' table, and all others with 503.
    TableOnly,
    /// It sends a head without end.
    EndlessHead,
    /// It sends a body without end.
    EndlessBody,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Inner {
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the item where it was not deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Watches from before this revision are told that the history is gone.
    compacted: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    /// The number of times it was restored from a copy.
    era: u64,
    fault: Fault,
    calls: u64,
    /// Of these, readings and watches of the operators' table.
    table_calls: u64,
}

/// What the store held at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    /// Each lease's time to live and what was left of it.
    leases: BTreeMap<u64, (Duration, Duration)>,
    revision: u64,
}

/// Another address of the store.
#[derive(Debug)]
pub struct Door {
    address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

impl Door {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How the store fails from now on for those who come through here.
    pub fn set_fault(&self, fault: Fault) {
        let mut own = self
            .fault
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *own = fault;
    }
}

/// The store.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    ///
    /// # Errors
    ///
    /// Where no port is free.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let inner = Inner {
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            revision: 1,
            era: 0,
            fault: Fault::None,
            calls: 0,
            table_calls: 0,
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(inner), Condvar::new())),
        };
        let accepting = store.clone();
        accepting.accept(listener, Arc::default());
        Ok(store)
    }

    /// Opens another address of the store, which can fail by itself: for some nodes only.
    ///
    /// # Errors
    ///
    /// Where no port is free.
    pub fn open_door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            address: listener.local_addr()?,
            fault: Arc::default(),
        };
        self.clone().accept(listener, Arc::clone(&door.fault));
        Ok(door)
    }

    fn accept(self, listener: TcpListener, door: Arc<Mutex<Fault>>) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (self.clone(), Arc::clone(&door));
                thread::spawn(move || store.serve(&stream, &door));
            }
        });
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, STANDARD.encode(value), 0);
        self.shared.1.notify_all();
    }

    /// Writes under a lease, as another writer does.
    pub fn put_leased(&self, key: &str, value: &str, lease: u64) {
        self.lock().put(key, STANDARD.encode(value), lease);
        self.shared.1.notify_all();
    }

    /// The lease of a key; 0 for none.
    #[must_use]
    pub fn lease(&self, key: &str) -> Option<u64> {
        self.lock().items.get(key).map(|item| item.lease)
    }

    /// Writes bytes as another writer does, without a lease.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().put(key, STANDARD.encode(value), 0);
        self.shared.1.notify_all();
    }

    /// The value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let inner = self.lock();
        let item = inner.items.get(key)?;
        STANDARD.decode(&item.value).ok()
    }

    /// How it fails from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        self.shared.1.notify_all();
    }

    /// Forgets its history.
    pub fn compact(&self) {
        let mut inner = self.lock();
        inner.compacted = inner.revision;
        inner.history.clear();
        self.shared.1.notify_all();
    }

    /// Copies what the store holds now.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut inner = self.lock();
        inner.expire();
        let now = Instant::now();
        let leases = inner.leases.iter();
        Snapshot {
            items: inner.items.clone(),
            history: inner.history.clone(),
            leases: leases
                .map(|(id, (ttl, until))| (*id, (*ttl, until.saturating_duration_since(now))))
                .collect(),
            revision: inner.revision,
        }
    }

    /// Replaces everything by a copy, which starts another era. Revisions and leases since then are
    /// given out again; leases run on with what was left of them.
    pub fn restore(&self, snapshot: &Snapshot) {
        self.lock().restore(snapshot);
        self.shared.1.notify_all();
    }

    /// Comes back from a copy and grants a lease to another writer before it serves any call.
    #[must_use]
    pub fn restore_and_grant(&self, snapshot: &Snapshot, ttl: Duration) -> u64 {
        let mut inner = self.lock();
        inner.restore(snapshot);
        let lease = inner.grant(ttl);
        drop(inner);
        self.shared.1.notify_all();
        lease
    }

    /// Deletes a key as the operator does.
    pub fn delete(&self, key: &str) {
        self.lock().delete(key);
        self.shared.1.notify_all();
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Readings and watches of the operators' table so far.
    #[must_use]
    pub fn table_calls(&self) -> u64 {
        self.lock().table_calls
    }

    /// The keys under a prefix.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut inner = self.lock();
        inner.expire();
        let keys = inner.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// How the store fails for those who come through a door.
    fn fault(&self, door: &Mutex<Fault>) -> Fault {
        let own = *door
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if own == Fault::None {
            self.lock().fault
        } else {
            own
        }
    }

    fn serve(&self, mut stream: &TcpStream, door: &Mutex<Fault>) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(message)) = wire::read(&mut reader) {
            let is_of_table = message.word(1).contains("prefix=op/");
            let names_table = is_of_table || contains(&message.body, b"op/config");
            {
                let mut inner = self.lock();
                inner.calls += 1;
                inner.table_calls += u64::from(is_of_table);
            }
            let fault = self.fault(door);
            let (era, (status, body)) = match fault {
                Fault::Busy => (self.lock().era, (503, json!({}))),
                Fault::TableOnly if !names_table => (self.lock().era, (503, json!({}))),
                Fault::Silent => {
                    self.wait_for_end_of(Fault::Silent, door);
                    return;
                }
                Fault::Away => return,
                Fault::EndlessHead => return send_endless(stream, "X-Field: "),
                Fault::EndlessBody => return send_endless(stream, "\r\n"),
                Fault::Late(span) => {
                    thread::sleep(span);
                    self.answer(&message)
                }
                Fault::None | Fault::LoseAnswers | Fault::Slow(_) | Fault::TableOnly => {
                    self.answer(&message)
                }
            };
            // It may have fallen silent while a watch was waiting.
            if fault == Fault::None && self.fault(door) == Fault::Silent {
                self.wait_for_end_of(Fault::Silent, door);
                return;
            }
            if self.fault(door) == Fault::Away {
                return;
            }
            match fault {
                Fault::LoseAnswers => continue,
                Fault::Slow(span) => thread::sleep(span),
                _ => {}
            }
            let body = body.to_string();
            let text = format!(
                "HTTP/1.1 {status} Word\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn wait_for_end_of(&self, fault: Fault, door: &Mutex<Fault>) {
        while self.fault(door) == fault {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The era in which a call is carried out, with the answer.
    fn answer(&self, message: &wire::Message) -> (u64, (u16, Value)) {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
                .unwrap_or_default()
        };
        if path == "/-/kv-watch" {
            let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
            return self.watch(value("prefix"), value("after").parse().unwrap_or(0), wait);
        }
        let body: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
        let last = path.rsplit('/').next().unwrap_or_default();
        let mut inner = self.lock();
        let answer = match (message.word(0), path) {
            ("GET", "/-/kv-key") => inner.get(value("key")),
            ("GET", "/-/kv-range") => inner.range(value("prefix"), value("after")),
            ("POST", "/-/kv-txn") => {
                let answer = inner.txn(&body);
                self.shared.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
                let lease = inner.grant(ttl);
                (
                    200,
                    json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}),
                )
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => inner.keep(last.parse().unwrap_or(0)),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                if let Some((_, until)) = inner.leases.get_mut(&last.parse().unwrap_or(0)) {
                    *until = Instant::now();
                }
                inner.expire();
                (200, json!({}))
            }
            _ => (404, json!({})),
        };
        (inner.era, answer)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u64, (u16, Value)) {
        let until = Instant::now() + wait;
        let mut inner = self.lock();
        loop {
            inner.expire();
            if after < inner.compacted || after > inner.revision {
                return (inner.era, (410, json!({})));
            }
            let new = inner
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<_> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => told(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let body = json!({"events": events, "at": inner.revision});
                return (inner.era, (200, body));
            }
            let waited = self.shared.1.wait_timeout(inner, Duration::from_millis(50));
            inner = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn told(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

impl Inner {
    fn restore(&mut self, snapshot: &Snapshot) {
        let now = Instant::now();
        let leases = snapshot.leases.iter();
        self.items.clone_from(&snapshot.items);
        self.history.clone_from(&snapshot.history);
        self.leases = leases
            .map(|(id, (ttl, left))| (*id, (*ttl, now + *left)))
            .collect();
        self.revision = snapshot.revision;
        self.compacted = self.compacted.min(snapshot.revision);
        self.era += 1;
    }

    fn grant(&mut self, ttl: Duration) -> u64 {
        let lease = 1_000 + self.leases.len() as u64;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Ends leases whose time is up, and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.delete(key));
            self.leases
                .insert(lease, (Duration::ZERO, now + Duration::from_secs(3_600)));
        }
    }

    fn get(&mut self, key: &str) -> (u16, Value) {
        self.expire();
        match self.items.get(key) {
            Some(item) => (200, told(key, item)),
            None => (404, json!({})),
        }
    }

    fn range(&mut self, prefix: &str, after: &str) -> (u16, Value) {
        self.expire();
        let found = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let mut found = found.map(|(key, item)| told(key, item)).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some(item) = found.next_if(|_| items.len() < PAGE_ITEMS && bytes < PAGE_BYTES) {
            bytes += item.to_string().len();
            items.push(item);
        }
        let has_more = found.peek().is_some();
        (
            200,
            json!({"items": items, "has_more": has_more, "at": self.revision}),
        )
    }

    fn keep(&mut self, lease: u64) -> (u16, Value) {
        self.expire();
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) if !ttl.is_zero() => {
                *until = Instant::now() + *ttl;
                (200, json!({"ttl_ms": ttl.as_millis() as u64}))
            }
            _ => (404, json!({})),
        }
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        self.expire();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expected_rev");
        let holds = expected.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            let known = self.items.get(key).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(known)
        });
        if !holds {
            let keys = expected.iter().filter_map(|row| row["key"].as_str());
            let items: Vec<_> = keys
                .filter_map(|key| Some(told(key, self.items.get(key)?)))
                .collect();
            return (412, json!({"items": items}));
        }
        for put in rows("put") {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease > 0 && self.leases.get(&lease).is_none_or(|(ttl, _)| ttl.is_zero()) {
                return (404, json!({}));
            }
            let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
            self.put(&text("key"), text("value"), lease);
        }
        for key in rows("delete") {
            self.delete(key.as_str().unwrap_or_default());
        }
        (200, json!({"revision": self.revision}))
    }
}

/// Sends the start of an answer and then bytes without end, until the caller closes.
fn send_endless(mut stream: &TcpStream, then: &str) {
    let start = format!("HTTP/1.1 200 OK\r\n{then}");
    let piece = [b'x'; 64 * 1024];
    let mut result = stream.write_all(start.as_bytes());
    while result.is_ok() {
        result = stream.write_all(&piece);
    }
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|it| it == part)
}
