//! Structured logs on standard output that never hold up the event loop.
//!
//! Lines are gathered in a bounded buffer and handed to a writing thread in batches. Where the
//! reader of standard output stops, lines are lost and counted; requests go on.

use std::{
    io::Write as _,
    sync::{
        Mutex,
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, SystemTime},
};

use log::{
    Level, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

use crate::{clock, metrics};

/// Bytes that wait for the writing thread at the most.
const MAX_BUFFERED: usize = 128 * 1024;
/// Batches on their way to the writing thread.
const BATCHES: usize = 4;
/// Lines a second, beyond which lines below a warning are dropped and counted.
const LINES_PER_S: u32 = 400;
/// The time between two batches.
pub(crate) const FLUSH_EVERY: Duration = Duration::from_millis(100);

/// How long the writing thread is given for the last batch.
pub(crate) const LAST_WRITE: Duration = Duration::from_millis(20);

struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    second: u64,
    lines: u32,
}

struct Logger {
    buffer: Mutex<Buffer>,
    node: Mutex<String>,
    writer: SyncSender<Vec<u8>>,
}

static LOGGER: std::sync::OnceLock<Logger> = std::sync::OnceLock::new();

/// Starts logging under the node's name.
pub(crate) fn init(node: &str) -> std::io::Result<()> {
    let (tx, rx) = sync_channel::<Vec<u8>>(BATCHES);
    std::thread::Builder::new()
        .name("logs".into())
        .stack_size(64 * 1024)
        .spawn(move || {
            for batch in rx {
                // A closed standard output leaves nowhere to report to.
                let _ = std::io::stdout().write_all(&batch);
            }
        })?;
    let logger = LOGGER.get_or_init(|| Logger {
        buffer: Mutex::new(Buffer {
            bytes: Vec::new(),
            dropped: 0,
            second: 0,
            lines: 0,
        }),
        node: Mutex::new(node.to_owned()),
        writer: tx,
    });
    if log::set_logger(logger).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    Ok(())
}

/// Hands what was logged to the writing thread, unless it is still busy.
pub(crate) fn flush() {
    let Some(logger) = LOGGER.get() else { return };
    let mut buffer = lock(&logger.buffer);
    if buffer.bytes.is_empty() {
        return;
    }
    let batch = std::mem::take(&mut buffer.bytes);
    if let Err(TrySendError::Full(batch)) = logger.writer.try_send(batch) {
        buffer.bytes = batch;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, clock::millis)
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = wall_millis();
        let mut buffer = lock(&self.buffer);
        if buffer.second != at / 1_000 {
            buffer.second = at / 1_000;
            buffer.lines = 0;
        }
        buffer.lines += 1;
        let is_over = buffer.lines > LINES_PER_S && record.level() > Level::Warn;
        if is_over || buffer.bytes.len() >= MAX_BUFFERED {
            buffer.dropped += 1;
            return;
        }
        let mut line = Map::new();
        line.insert("at-ms".into(), at.into());
        line.insert("node".into(), lock(&self.node).as_str().into());
        line.insert("event".into(), record.args().to_string().into());
        if buffer.dropped > 0 {
            metrics::lines_dropped(buffer.dropped);
            line.insert("lines-dropped-before".into(), buffer.dropped.into());
            buffer.dropped = 0;
        }
        // A source that fails to be visited leaves its pairs out.
        let _ = record.key_values().visit(&mut Pairs(&mut line));
        // Writing to memory does not fail.
        let _ = writeln!(buffer.bytes, "{}", Json::Object(line));
    }

    fn flush(&self) {
        flush();
    }
}

struct Pairs<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let plain = value.to_u64().map(Json::from);
        let plain = plain.or_else(|| value.to_bool().map(Json::from));
        let plain = plain.or_else(|| value.to_f64().map(Json::from));
        let value = plain.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().into(), value);
        Ok(())
    }
}
