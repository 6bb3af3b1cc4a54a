//! Age of a received report, estimated without synchronized clocks.

use cassiashunt_types::prelude::*;

/// The length of a window over which the smallest clock offset is kept. Clocks drift by at most
/// 0.1 ms per second, so the estimated age is off by less than 10 ms.
const MIN_OFFSET_WINDOW: Duration = Duration::from_secs(30);

/// Estimates the age of one sender's reports as their one-way delay above the smallest delay of the
/// last two windows. Reports are delayed while the receiver or the link to it is stalled.
#[derive(Debug, Clone, Default)]
pub struct ReportAge {
    last_sent: Time,
    window_start: Time,
    /// The smallest receive time minus send time, in microseconds, in the current window; `None`
    /// before the first report of the window. `prev_min_offset` is that of the previous window.
    min_offset: Option<i128>,
    prev_min_offset: Option<i128>,
}

impl ReportAge {
    /// Records a report that was received at `now` and sent at `sent` by the sender's clock, and
    /// returns its age. The report with the smallest delay has age zero.
    pub fn observe(&mut self, now: Time, sent: Time) -> Duration {
        if sent < self.last_sent {
            // The sender has restarted, and its clock with it.
            *self = Self::default();
        }
        self.last_sent = sent;
        if now.since(self.window_start) >= MIN_OFFSET_WINDOW {
            self.window_start = now;
            self.prev_min_offset = self.min_offset.take();
        }
        let offset = i128::from(now.as_micros()) - i128::from(sent.as_micros());
        let min_offset = self.min_offset.map_or(offset, |it| it.min(offset));
        self.min_offset = Some(min_offset);
        let baseline = self
            .prev_min_offset
            .map_or(min_offset, |it| it.min(min_offset));
        let age =
            u64::try_from(offset - baseline).expect("the offset is not below the smallest one");
        Duration::from_micros(age)
    }
}
