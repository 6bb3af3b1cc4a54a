//! The paths beside a server's own: load, health, cancellation, and the tests' own.

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{
    Options,
    http::{Answer, Request},
    state::State,
};

/// What `GET /load` answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Load {
    /// The requests that may run at once.
    pub slots: usize,
    /// The requests that run.
    pub running: usize,
    /// The requests that wait.
    pub waiting: usize,
}

/// Answers the paths beside a server's own, and keeps what it last told.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    told: Mutex<Option<Told>>,
}

/// A load and health that were true once.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Instant,
    load: Load,
    is_healthy: bool,
}

impl Reporter {
    /// The answer to a request for one of these paths; `None` for all other requests.
    pub(super) fn answer(&self, state: &State, req: &Request) -> Option<Answer> {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/load") => Some(json(200, &self.told(state).load)),
            ("GET", "/health") => Some(health(self.told(state).is_healthy)),
            ("GET", "/standin/stats") => Some(json(200, &state.stats())),
            ("GET", "/standin/runs") => Some(json(200, &state.runs())),
            ("GET", "/standin/options") => Some(json(200, &*state.options())),
            ("POST", "/standin/set") => Some(set(state, &req.body)),
            ("DELETE", path) => path.strip_prefix("/cancel/").map(|id| cancel(state, id)),
            _ => None,
        }
    }

    fn told(&self, state: &State) -> Told {
        let report = state.options().report;
        thread::sleep(Duration::from_millis(report.probe_ms));
        let mut told = self.told.lock().expect("no holder of this lock panics");
        let lag = Duration::from_millis(report.lag_ms);
        let kept = told.filter(|told| told.at.elapsed() < lag);
        *told.insert(kept.unwrap_or_else(|| tell(state)))
    }
}

fn tell(state: &State) -> Told {
    let options = state.options();
    let stats = state.stats();
    let lie = |count: usize| scale(count, options.report.load_factor);
    Told {
        at: Instant::now(),
        load: Load {
            slots: options.slots,
            running: lie(stats.running),
            waiting: lie(stats.waiting),
        },
        is_healthy: options.report.health.unwrap_or(!options.draining),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "counts of requests are small and not negative"
)]
fn scale(count: usize, factor: f64) -> usize {
    (count as f64 * factor).round().max(0.0) as usize
}

fn health(is_healthy: bool) -> Answer {
    let (status, text) = if is_healthy {
        (200, "ok")
    } else {
        (503, "not well")
    };
    Answer::new(status, text.into())
}

fn cancel(state: &State, id: &str) -> Answer {
    let status = if state.cancel(id) > 0 { 200 } else { 404 };
    Answer::new(status, Vec::new())
}

fn json(status: u16, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("these types have JSON forms");
    Answer::new(status, body).with("Content-Type", "application/json")
}

/// Merges a JSON object into the settings.
fn set(state: &State, body: &[u8]) -> Answer {
    match merged(&state.options(), body) {
        Ok(options) => {
            state.set_options(options);
            Answer::new(200, Vec::new())
        }
        Err(err) => Answer::new(400, err.to_string().into_bytes()),
    }
}

fn merged(options: &Options, body: &[u8]) -> serde_json::Result<Options> {
    let change: Value = serde_json::from_slice(body)?;
    let mut value = serde_json::to_value(options)?;
    merge(&mut value, change);
    let merged: Options = serde_json::from_value(value)?;
    Ok(Options {
        journal: options.journal.clone(),
        ..merged
    })
}

fn merge(value: &mut Value, change: Value) {
    match (value, change) {
        (Value::Object(fields), Value::Object(changes)) => {
            for (name, change) in changes {
                merge(fields.entry(name).or_insert(Value::Null), change);
            }
        }
        (value, change) => *value = change,
    }
}
