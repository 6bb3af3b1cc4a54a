//! Until when the backend server beside a node is cold.

use cassiashunt_types::prelude::*;

/// How long a report that the server is warm may be late: for this time after a doubt, it may have
/// been made before. Servers report each 1.5 s.
const REPORT_DELAY: Duration = Duration::from_secs(2);

/// What a node knows of its server's warm-up.
///
/// Servers state how much longer they are cold, in reports and answers to probes. Where the server may
/// have started anew since, it is doubted, and counts as cold until it says otherwise.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    stated_until: Time,
    doubted_at: Option<Time>,
    /// When the server was last known to run.
    heard_at: Option<Time>,
}

impl Warmth {
    /// The warmth of a start that states how much longer it is cold.
    #[must_use]
    pub fn new(now: Time, left: Duration) -> Self {
        Self {
            stated_until: now + left,
            doubted_at: None,
            heard_at: Some(now),
        }
    }

    /// Records that the server may have started anew.
    pub fn on_doubt(&mut self, now: Time) {
        self.doubted_at = Some(now);
    }

    /// Handles how much longer the server is cold by a report that may have been made earlier. A
    /// statement never shortens an earlier one.
    pub fn on_report(&mut self, now: Time, left: Duration) {
        self.heard_at = Some(now);
        self.stated_until = self.stated_until.max(now + left);
        let is_late = |doubted: &mut Time| !left.is_zero() || now.since(*doubted) >= REPORT_DELAY;
        self.doubted_at.take_if(is_late);
    }

    /// Handles the answer to a probe sent at `sent`.
    pub fn on_probe(&mut self, now: Time, sent: Time, left: Duration) {
        self.heard_at = Some(now);
        self.stated_until = self.stated_until.max(now + left);
        self.doubted_at.take_if(|doubted| sent >= *doubted);
    }

    /// Records contact with the server. After a long silence it may have started anew.
    pub fn on_contact(&mut self, now: Time) {
        let heard_at = self.heard_at.replace(now);
        if heard_at.is_some_and(|it| now.since(it) >= REPORT_DELAY) {
            self.on_doubt(now);
        }
    }

    /// Returns whether the server is to be asked.
    #[must_use]
    pub fn is_doubted(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// Returns how much longer the server counts as cold, where one is for `cold_time` after its start.
    #[must_use]
    pub fn cold_left(&self, now: Time, cold_time: Duration) -> Duration {
        let doubted = self.doubted_at.map(|it| (it + cold_time).since(now));
        let stated = self.stated_until.since(now);
        doubted.unwrap_or_default().max(stated)
    }
}
