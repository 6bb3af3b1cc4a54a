//! Structured logs on standard output that never block the event loop.
//!
//! Lines are collected in a bounded buffer and passed to a writer thread in batches. If the reader
//! of standard output stalls, lines are dropped and counted, and requests are still served.

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

/// The size from which the buffer accepts no further lines.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;
/// The most batches that are queued for the writer thread.
const MAX_QUEUED_BATCHES: usize = 4;
/// The number of lines in a second above which lines below warning level are dropped and counted.
const MAX_LINES_PER_S: u32 = 400;
/// The target of lines about the process itself, which the limit of lines does not drop.
pub(crate) const LIFECYCLE: &str = "lifecycle";
/// The longest text of a value in a line: some values come from clients and other writers.
const MAX_TEXT_BYTES: usize = 512;
/// The time between two batches.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// How long the process waits for the writer thread to write the last batch.
pub(crate) const FINAL_WRITE_DELAY: Duration = Duration::from_millis(20);

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

/// Installs the logger, which adds the node's name to each line.
pub(crate) fn init(node: &str) -> std::io::Result<()> {
    let (tx, rx) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
    std::thread::Builder::new()
        .name("logs".into())
        .stack_size(64 * 1024)
        .spawn(move || {
            for batch in rx {
                // A failure can't be reported: standard output is closed.
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

/// Passes the buffered lines to the writer thread, unless its queue is full.
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

fn unix_millis() -> u64 {
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
        let at = unix_millis();
        let mut buffer = lock(&self.buffer);
        if buffer.second != at / 1_000 {
            buffer.second = at / 1_000;
            buffer.lines = 0;
        }
        buffer.lines += 1;
        let is_limited = record.level() > Level::Warn && record.target() != LIFECYCLE;
        let is_over_rate = is_limited && buffer.lines > MAX_LINES_PER_S;
        if is_over_rate || buffer.bytes.len() >= MAX_BUFFERED_BYTES {
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
        // If the visit fails, the remaining pairs are left out.
        let _ = record.key_values().visit(&mut Pairs(&mut line));
        // Writing to a `Vec` does not fail.
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
        let value = plain.unwrap_or_else(|| {
            let mut text = value.to_string();
            text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
            text.into()
        });
        self.0.insert(key.as_str().into(), value);
        Ok(())
    }
}
