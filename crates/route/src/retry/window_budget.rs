//! Limits the repeats to one service in each sliding window to a fraction of the first tries.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;

/// Buckets in a window.
const WINDOW_BUCKETS: u64 = 40;
/// Buckets over which repeats are paced: repeats that arrive late by less than this leave the sum of a
/// window within its limit.
const PACED_BUCKETS: u64 = 4;
/// The fraction of a window's repeats that may be made in those buckets, twice the even rate.
const PACED_FRACTION: f64 = 0.2;

/// One node's repeats and first tries at one service.
///
/// The first tries are those of a window, of the one before it or of the one half a window before
/// it, whichever has most. A repeat is within the limit only if it is so in each window that
/// contains it, also in those that end later and in which no further first try is made.
#[derive(Debug)]
pub struct WindowBudget {
    width: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    first_tries: u32,
    repeats: u32,
}

/// First tries in the windows that a limit may be based on, up to now.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FirstTries {
    /// In the current window.
    pub current: f64,
    /// In the window half a window earlier.
    pub half: f64,
    /// In the window before.
    pub previous: f64,
}

impl FirstTries {
    /// The most in one of the windows.
    #[must_use]
    pub fn most(&self) -> f64 {
        self.current.max(self.half).max(self.previous)
    }
}

impl WindowBudget {
    /// A budget without recorded tries, for windows of this length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            width: (window / WINDOW_BUCKETS as u32).max(Duration::from_micros(1)),
            buckets: VecDeque::new(),
        }
    }

    /// Records a first try.
    pub fn on_first_try(&mut self, now: Time) {
        self.bucket(now).first_tries += 1;
    }

    /// Records repeats.
    pub fn on_repeats(&mut self, now: Time, repeats: u32) {
        self.bucket(now).repeats += repeats;
    }

    /// How many more repeats are within `ratio` times the first tries.
    #[must_use]
    pub fn left(&self, now: Time, ratio: f64) -> f64 {
        let totals = self.totals(now);
        let current = totals.current;
        let ends = current..=current + WINDOW_BUCKETS;
        let left = ends.map(|end| {
            // A window that ends in this bucket covers the first and the last of its buckets partially.
            let repeats = totals.repeats(end.saturating_sub(WINDOW_BUCKETS), end);
            ratio * totals.first_tries(end).most() - repeats
        });
        left.fold(f64::INFINITY, f64::min)
    }

    /// How many more repeats may be made now: those that are left, at no more than twice the even rate.
    #[must_use]
    pub fn left_now(&self, now: Time, ratio: f64) -> f64 {
        let totals = self.totals(now);
        let most = ratio * totals.first_tries(totals.current).most();
        let recent = totals.repeats(totals.current + 1 - PACED_BUCKETS, totals.current);
        let paced = (PACED_FRACTION * most).max(1.0) - recent;
        self.left(now, ratio).min(paced)
    }

    /// The first tries in the windows that the limit is based on.
    #[must_use]
    pub fn first_tries(&self, now: Time) -> FirstTries {
        let totals = self.totals(now);
        totals.first_tries(totals.current)
    }

    fn index(&self, now: Time) -> u64 {
        let since = now.since(Time::ZERO).as_micros() / self.width.as_micros();
        // The offset keeps windows before the first bucket from reaching below zero.
        u64::try_from(since).unwrap_or(u64::MAX / 2) + 3 * WINDOW_BUCKETS
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let index = self.index(now);
        let oldest = index - 2 * WINDOW_BUCKETS;
        while self.buckets.front().is_some_and(|it| it.index < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| it.index < index) {
            self.buckets.push_back(Bucket {
                index,
                first_tries: 0,
                repeats: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("no bucket after one was pushed")
    }

    fn totals(&self, now: Time) -> Totals {
        let current = self.index(now);
        let begin = current - 2 * WINDOW_BUCKETS;
        let mut totals = Totals {
            current,
            begin,
            cumulated: vec![(0, 0)],
        };
        let mut buckets = self
            .buckets
            .iter()
            .skip_while(|it| it.index < begin)
            .peekable();
        let (mut first_tries, mut repeats) = (0, 0);
        for index in begin..=current {
            if let Some(bucket) = buckets.next_if(|it| it.index == index) {
                first_tries += bucket.first_tries;
                repeats += bucket.repeats;
            }
            totals.cumulated.push((first_tries, repeats));
        }
        totals
    }
}

/// Cumulated tries by bucket, from `begin` to `current`.
struct Totals {
    current: u64,
    begin: u64,
    cumulated: Vec<(u32, u32)>,
}

impl Totals {
    /// The tries before a bucket begins.
    fn before(&self, index: u64) -> (u32, u32) {
        let at = index.saturating_sub(self.begin) as usize;
        self.cumulated[at.min(self.cumulated.len() - 1)]
    }

    fn repeats(&self, from: u64, to: u64) -> f64 {
        f64::from(self.before(to + 1).1 - self.before(from).1)
    }

    /// The first tries that are certain to lie in the windows, for a window that ends in the bucket
    /// `end`.
    fn first_tries(&self, end: u64) -> FirstTries {
        let within = |back: u64| {
            let (from, to) = (end + 1 - WINDOW_BUCKETS - back, end - back);
            // The window begins and ends anywhere in a bucket; what has happened by now is before
            // the end of a window that has not ended.
            let to = if back == 0 { to + 1 } else { to };
            f64::from(self.before(to).0 - self.before(from).0)
        };
        FirstTries {
            current: within(0),
            half: within(WINDOW_BUCKETS / 2),
            previous: within(WINDOW_BUCKETS),
        }
    }
}
