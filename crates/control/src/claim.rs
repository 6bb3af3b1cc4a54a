use std::time::Duration;

use cassiashunt_types::{ClockDrift, Epoch, FailureDomain, NodeId, Time};

use crate::{Acceptance, ChangeAction, Control, Outcome, ShardKey, msg};

/// Settings of [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The freshness bound of [`crate::freshness::Options`].
    pub freshness: Duration,
    /// The longest validity of anything that a holder of the shard gives away.
    pub validity: Duration,
    /// How far the nodes' clocks may differ in rate.
    pub clock_drift: ClockDrift,
    /// Time after which an unanswered write is put again.
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

/// How far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The claim is being written.
    Writing,
    /// The claim is durable and being made known.
    Spreading,
    /// The predecessor may act until this point.
    Waiting {
        /// When the claimant may act.
        until: Time,
    },
    /// The claimant may act under this epoch while it is in touch.
    Ready(Epoch),
    /// Another node holds the shard.
    Lost,
}

/// The succession of a shard's holder.
#[derive(Debug, Clone)]
pub struct Claim {
    me: NodeId,
    name: FailureDomain,
    key: ShardKey,
    expected: Epoch,
    options: ClaimOptions,
    write_at: Time,
    accept: Option<Acceptance>,
    handed_over: bool,
    stage: Stage,
}

impl Claim {
    /// Begins to claim `key`, whose epoch the claimant saw as `expected`.
    #[must_use]
    pub fn new(
        me: NodeId,
        name: FailureDomain,
        key: ShardKey,
        expected: Epoch,
        options: ClaimOptions,
    ) -> Self {
        Self {
            me,
            name,
            key,
            expected,
            options,
            write_at: Time::ZERO,
            accept: None,
            handed_over: false,
            stage: Stage::Writing,
        }
    }

    /// Begins to claim a shard from a holder that stopped for good under the epoch `expected` and
    /// handed over what it knew, to this node only.
    ///
    /// The claim is ready once it is durable: nobody acts any more whom the wait would outlast.
    #[must_use]
    pub fn after_hand_over(
        me: NodeId,
        name: FailureDomain,
        key: ShardKey,
        expected: Epoch,
        options: ClaimOptions,
    ) -> Self {
        Self {
            handed_over: true,
            ..Self::new(me, name, key, expected, options)
        }
    }

    /// The shard.
    #[must_use]
    pub fn key(&self) -> ShardKey {
        self.key
    }

    /// The epoch that the claimant saw; write [`crate::edit::take_over`] from it.
    #[must_use]
    pub fn expected(&self) -> Epoch {
        self.expected
    }

    /// How far the claim has come.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The platform holds this control value: after the write, or read again when the write's
    /// answer was lost or it failed.
    pub fn on_control_read(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        let epoch = control.epoch(self.key);
        let is_mine = control
            .shard(self.key)
            .is_some_and(|shard| shard.primary == self.me);
        let claimed = epoch == self.expected.next() && is_mine;
        if epoch > self.expected && !claimed {
            self.stage = Stage::Lost;
        }
        let asks = match (self.stage, &mut self.accept) {
            (Stage::Writing, _) if claimed && self.handed_over => self.ready(),
            (Stage::Writing, _) if claimed => self.spread(now, control),
            (Stage::Writing, _) => self.tick(now),
            (Stage::Spreading, Some(accept)) => accept.on_control_read(now, control),
            _ => Vec::new(),
        };
        self.advance(now);
        asks
    }

    /// A relay told what it has applied.
    pub fn on_relay_applied(&mut self, now: Time, msg: &msg::Applied) -> Vec<ChangeAction> {
        let asks = match &mut self.accept {
            Some(accept) => accept.on_relay_applied(msg),
            None => Vec::new(),
        };
        self.advance(now);
        asks
    }

    /// Time went by; returns what to ask.
    pub fn tick(&mut self, now: Time) -> Vec<ChangeAction> {
        self.advance(now);
        match (self.stage, &mut self.accept) {
            (Stage::Writing, _) if now >= self.write_at => {
                self.write_at = now + self.options.write_retry_interval;
                vec![ChangeAction::WriteClaim]
            }
            (Stage::Spreading, Some(accept)) => accept.tick(now),
            _ => Vec::new(),
        }
    }

    fn ready(&mut self) -> Vec<ChangeAction> {
        self.stage = Stage::Ready(self.expected.next());
        Vec::new()
    }

    fn spread(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        self.stage = Stage::Spreading;
        let accept = self.accept.insert(Acceptance::control(self.name, control));
        accept.tick(now)
    }

    fn advance(&mut self, now: Time) {
        let accepted = self
            .accept
            .as_ref()
            .is_some_and(|accept| accept.outcome() == Outcome::Accepted);
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
