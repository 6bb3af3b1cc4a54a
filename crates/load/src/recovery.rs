//! How long goodput takes to come back after a cause has ended.

use cassiashunt_types::prelude::*;

/// Whole answers in windows of equal length, the first of which begins with the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Series {
    /// The length of a window.
    pub window: Duration,
    /// The whole answers of each.
    pub whole: Vec<u64>,
}

/// What counts as recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The share of the earlier goodput that must be reached.
    pub share: f64,
    /// The time over which goodput is averaged.
    pub span: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            share: 0.95,
            span: Duration::from_secs(1),
        }
    }
}

impl Series {
    /// Counts the times of whole answers.
    #[must_use]
    pub fn count(
        window: Duration,
        length: Duration,
        ended: impl IntoIterator<Item = Duration>,
    ) -> Self {
        let windows = index(length, window) + 1;
        let mut whole = vec![0; windows];
        for at in ended {
            if let Some(count) = whole.get_mut(index(at, window)) {
                *count += 1;
            }
        }
        Self { window, whole }
    }

    /// The whole answers a second between two times, which are rounded down to windows.
    #[must_use]
    pub fn per_second(&self, from: Duration, to: Duration) -> f64 {
        let first = index(from, self.window);
        let last = index(to, self.window).min(self.whole.len());
        let windows = last.saturating_sub(first);
        if windows == 0 {
            return 0.0;
        }
        let total: u64 = self.whole[first..last].iter().sum();
        to_f64(total) / (self.window.as_secs_f64() * to_f64(u64::try_from(windows).unwrap_or(0)))
    }

    /// The time from `cause_end` to the first window from which goodput, averaged over the span,
    /// has reached the share of `before`; `None` where it has not before `until`.
    #[must_use]
    pub fn recovery(
        &self,
        cause_end: Duration,
        until: Duration,
        before: f64,
        options: &Options,
    ) -> Option<Duration> {
        let step = u32::try_from(self.window.as_millis())
            .ok()
            .filter(|step| *step > 0)?;
        let steps = (until.saturating_sub(cause_end).as_millis()) / u128::from(step);
        (0..=u32::try_from(steps).ok()?)
            .map(|number| self.window * number)
            .take_while(|after| cause_end + *after + options.span <= until)
            .find(|after| {
                let from = cause_end + *after;
                self.per_second(from, from + options.span) >= options.share * before
            })
    }
}

fn index(at: Duration, window: Duration) -> usize {
    usize::try_from(at.as_nanos() / window.as_nanos().max(1)).unwrap_or(usize::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
