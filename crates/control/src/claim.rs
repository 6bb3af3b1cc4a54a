use std::time::Duration;

use cassiashunt_types::{ClockDrift, Epoch, FailureDomain, NodeId, Time};

use crate::{Acceptance, ChangeAction, Control, Outcome, ShardKey, msg};

/// Settings of [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The freshness bound of [`crate::freshness::Options`].
    pub freshness: Duration,
    /// The maximum validity of anything that a holder of the shard issues.
    pub validity: Duration,
    /// The maximum difference in rate between the clocks of two nodes.
    pub clock_drift: ClockDrift,
    /// Interval after which an unanswered write is sent again.
    pub write_retry_interval: Duration,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(2),
            validity: Duration::from_secs(1),
            clock_drift: ClockDrift::default(),
            write_retry_interval: Duration::from_millis(500),
        }
    }
}

/// The progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The claim is being written.
    Writing,
    /// The claim is durable and being propagated to the relays.
    Spreading,
    /// The claim is accepted; the previous holder may still act.
    Waiting {
        /// The time from which the claimant may act.
        until: Time,
    },
    /// The claimant may act under this epoch as long as it is in touch.
    Ready(Epoch),
    /// Another node has claimed the shard.
    Lost,
}

/// Takes over a shard from its previous holder.
///
/// After the claim is accepted it waits for the freshness bound and the validity, so that the
/// previous holder no longer acts and everything it issued has expired.
#[derive(Debug, Clone)]
pub struct Claim {
    me: NodeId,
    own_domain: FailureDomain,
    key: ShardKey,
    expected: Epoch,
    options: ClaimOptions,
    next_write_at: Time,
    acceptance: Option<Acceptance>,
    handed_over: bool,
    stage: Stage,
}

impl Claim {
    /// Starts to claim the shard `key`, which the claimant read with the epoch `expected`.
    #[must_use]
    pub fn new(
        me: NodeId,
        own_domain: FailureDomain,
        key: ShardKey,
        expected: Epoch,
        options: ClaimOptions,
    ) -> Self {
        Self {
            me,
            own_domain,
            key,
            expected,
            options,
            next_write_at: Time::ZERO,
            acceptance: None,
            handed_over: false,
            stage: Stage::Writing,
        }
    }

    /// Starts to claim a shard from a holder that stopped permanently under the epoch `expected` and
    /// handed over its state to this node only.
    ///
    /// The claim is ready once it is durable: no wait is needed, as the previous holder no longer
    /// acts.
    #[must_use]
    pub fn after_hand_over(
        me: NodeId,
        own_domain: FailureDomain,
        key: ShardKey,
        expected: Epoch,
        options: ClaimOptions,
    ) -> Self {
        Self {
            handed_over: true,
            ..Self::new(me, own_domain, key, expected, options)
        }
    }

    /// The shard.
    #[must_use]
    pub fn key(&self) -> ShardKey {
        self.key
    }

    /// The epoch that the claimant read; pass it to [`crate::edit::take_over`].
    #[must_use]
    pub fn expected(&self) -> Epoch {
        self.expected
    }

    /// The progress of the claim.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Records the control value stored by the platform: the result of the write, or of a read after
    /// the write failed or its answer was lost.
    pub fn on_control_read(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        let epoch = control.epoch(self.key);
        let is_own = control
            .shard(self.key)
            .is_some_and(|shard| shard.primary == self.me);
        let claimed = epoch == self.expected.next() && is_own;
        if epoch > self.expected && !claimed {
            self.stage = Stage::Lost;
        }
        let actions = match (self.stage, &mut self.acceptance) {
            (Stage::Writing, _) if claimed && self.handed_over => self.mark_ready(),
            (Stage::Writing, _) if claimed => self.start_spreading(now, control),
            (Stage::Writing, _) => self.tick(now),
            (Stage::Spreading, Some(acceptance)) => acceptance.on_control_read(now, control),
            _ => Vec::new(),
        };
        self.advance(now);
        actions
    }

    /// Records the revisions that a relay has applied.
    pub fn on_relay_applied(&mut self, now: Time, msg: &msg::Applied) -> Vec<ChangeAction> {
        let actions = match &mut self.acceptance {
            Some(acceptance) => acceptance.on_relay_applied(msg),
            None => Vec::new(),
        };
        self.advance(now);
        actions
    }

    /// Called regularly; returns the requests to make.
    pub fn tick(&mut self, now: Time) -> Vec<ChangeAction> {
        self.advance(now);
        match (self.stage, &mut self.acceptance) {
            (Stage::Writing, _) if now >= self.next_write_at => {
                self.next_write_at = now + self.options.write_retry_interval;
                vec![ChangeAction::WriteClaim]
            }
            (Stage::Spreading, Some(acceptance)) => acceptance.tick(now),
            _ => Vec::new(),
        }
    }

    fn mark_ready(&mut self) -> Vec<ChangeAction> {
        self.stage = Stage::Ready(self.expected.next());
        Vec::new()
    }

    fn start_spreading(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        self.stage = Stage::Spreading;
        let acceptance = self
            .acceptance
            .insert(Acceptance::control(self.own_domain, control));
        acceptance.tick(now)
    }

    fn advance(&mut self, now: Time) {
        let accepted = self
            .acceptance
            .as_ref()
            .is_some_and(|acceptance| acceptance.outcome() == Outcome::Accepted);
        if self.stage == Stage::Spreading && accepted {
            let wait = self.options.freshness + self.options.validity;
            let until = now + self.options.clock_drift.max_elapsed(wait);
            self.stage = Stage::Waiting { until };
        }
        if matches!(self.stage, Stage::Waiting { until } if now >= until) {
            self.stage = Stage::Ready(self.expected.next());
        }
    }
}
