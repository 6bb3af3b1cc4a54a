//! How old a word is when it is read, without clocks that agree.

use cassiashunt_types::prelude::*;

/// The time over which the quickest word is looked for. Clocks drift by 0.1 ms a second at the most,
/// so that the age is off by less than 10 ms.
const WINDOW: Duration = Duration::from_secs(30);

/// Judges the age of one sender's words by how much longer they took than the quickest lately. Words
/// wait where the reader, or the way to it, stood still for a while.
#[derive(Debug, Clone, Default)]
pub struct ReportAge {
    last_sent: Time,
    began: Time,
    /// The least difference of both clocks, in microseconds, in this window and the one before.
    least: Option<i128>,
    least_before: Option<i128>,
}

impl ReportAge {
    /// The age of a word that is read at `now` and was sent at `sent`, by the sender's clock. The
    /// quickest word counts as new.
    pub fn observe(&mut self, now: Time, sent: Time) -> Duration {
        if sent < self.last_sent {
            // Another start of the sender, whose clock begins anew.
            *self = Self::default();
        }
        self.last_sent = sent;
        if now.since(self.began) >= WINDOW {
            self.began = now;
            self.least_before = self.least.take();
        }
        let difference = i128::from(now.as_micros()) - i128::from(sent.as_micros());
        let least = self.least.map_or(difference, |it| it.min(difference));
        self.least = Some(least);
        let quickest = self.least_before.map_or(least, |it| it.min(least));
        let age = u64::try_from(difference - quickest).expect("the quickest is not slower");
        Duration::from_micros(age)
    }
}
