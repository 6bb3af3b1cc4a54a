//! Logs as JSON lines on standard error.

use std::io::Write as _;

use env_logger::{Builder, Env, fmt::Formatter};
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// The level where `CASSIASHUNT_LOG` sets none.
const DEFAULT_LEVEL: &str = "info";

/// Starts logging; `CASSIASHUNT_LOG` sets the level, as `warn` or `cassiashunt_node=debug`.
pub fn init() {
    let env = Env::default().filter_or("CASSIASHUNT_LOG", DEFAULT_LEVEL);
    Builder::from_env(env).format(write_line).init();
}

fn write_line(buf: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut line = Map::new();
    line.insert("at-ms".into(), wall_clock_millis().into());
    line.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    // A source that fails to be visited leaves its pairs out.
    let _ = record.key_values().visit(&mut Pairs(&mut line));
    let message = record.args().to_string();
    if !message.is_empty() {
        line.insert("message".into(), message.into());
    }
    line.insert("target".into(), record.target().into());
    writeln!(buf, "{}", Json::Object(line))
}

fn wall_clock_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

struct Pairs<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_bool().map(Json::from));
        let value = number.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().into(), value);
        Ok(())
    }
}
