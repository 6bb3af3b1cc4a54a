//! Limits the retries to one service to a fraction of recent first tries.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The number of buckets that the window is counted in.
const WINDOW_BUCKETS: u32 = 10;

/// Settings of a retry budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Retries allowed per first try.
    pub ratio: f64,
    /// Retries in a window that are allowed in addition, so that calls to a service with few
    /// requests can be retried too.
    pub floor: u32,
    /// How long a try is counted.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor: 3,
            window: Duration::from_secs(10),
        }
    }
}

/// One node's retry budget for one service.
#[derive(Debug)]
pub struct Budget {
    opts: Options,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    started: Time,
    first_tries: u32,
    retries: u32,
}

impl Budget {
    /// A budget without recorded tries.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            buckets: VecDeque::new(),
        }
    }

    /// Records a first try.
    pub fn on_first_try(&mut self, now: Time) {
        self.current_bucket(now).first_tries += 1;
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&mut self, now: Time) -> bool {
        self.evict_expired(now);
        let first_tries: u32 = self.buckets.iter().map(|bucket| bucket.first_tries).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let limit = f64::from(first_tries) * self.opts.ratio + f64::from(self.opts.floor);
        f64::from(retries + 1) <= limit
    }

    /// Records a retry.
    pub fn on_retry(&mut self, now: Time) {
        self.current_bucket(now).retries += 1;
    }

    fn evict_expired(&mut self, now: Time) {
        let window = self.opts.window;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.started) >= window)
        {
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        self.evict_expired(now);
        let bucket_span = self.opts.window / WINDOW_BUCKETS;
        if self
            .buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.started) >= bucket_span)
        {
            self.buckets.push_back(Bucket {
                started: now,
                first_tries: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("no bucket in the window after one was pushed")
    }
}
