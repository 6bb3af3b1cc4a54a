//! Retries to one service as a fraction of recent first tries.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Parts of the window that are counted apart.
const PARTS: u32 = 10;

/// Settings of a retry budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Retries for each first try.
    pub ratio: f64,
    /// Retries in a window that are free, so that a quiet service is retried too.
    pub floor: u32,
    /// How long a try counts as recent.
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
    parts: VecDeque<Part>,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    began: Time,
    first_tries: u32,
    retries: u32,
}

impl Budget {
    /// A budget without tries.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            parts: VecDeque::new(),
        }
    }

    /// Takes in a first try.
    pub fn on_first_try(&mut self, now: Time) {
        self.part(now).first_tries += 1;
    }

    /// Whether one more retry keeps within the budget.
    pub fn allows_retry(&mut self, now: Time) -> bool {
        self.forget(now);
        let first_tries: u32 = self.parts.iter().map(|part| part.first_tries).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let room = f64::from(first_tries) * self.opts.ratio + f64::from(self.opts.floor);
        f64::from(retries + 1) <= room
    }

    /// Takes in a retry.
    pub fn on_retry(&mut self, now: Time) {
        self.part(now).retries += 1;
    }

    fn forget(&mut self, now: Time) {
        let window = self.opts.window;
        while self
            .parts
            .front()
            .is_some_and(|part| now.since(part.began) >= window)
        {
            self.parts.pop_front();
        }
    }

    fn part(&mut self, now: Time) -> &mut Part {
        self.forget(now);
        let span = self.opts.window / PARTS;
        if self
            .parts
            .back()
            .is_none_or(|part| now.since(part.began) >= span)
        {
            self.parts.push_back(Part {
                began: now,
                first_tries: 0,
                retries: 0,
            });
        }
        self.parts
            .back_mut()
            .expect("a part was pushed above if there was none")
    }
}
