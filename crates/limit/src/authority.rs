//! The authority of a shard of workspaces.

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, Time};

use crate::{
    InitialTokens, Key, Limit, msg,
    pool::{Gift, Pool, Wish},
};

/// Settings of [`Authority`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a grant is good for, from when its holder asked.
    pub validity: Duration,
    /// How far the nodes' clocks may differ in rate.
    pub clock_drift: ClockDrift,
    /// Time without a question after which a holder is forgotten; more than the validity.
    pub holder_idle_timeout: Duration,
    /// The shortest time until a holder that got too little asks again.
    pub min_backoff: Duration,
    /// Questions a second for one key that are made room for when tokens are short.
    pub token_requests_per_sec: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(1),
            clock_drift: ClockDrift::default(),
            holder_idle_timeout: Duration::from_secs(3),
            min_backoff: Duration::from_millis(5),
            token_requests_per_sec: 2_000,
        }
    }
}

/// How a key's tokens stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Whole tokens that could be given now.
    pub level: u64,
    /// Tokens given that may still be spent.
    pub outstanding: u64,
}

/// Makes tokens and gives them away, for all keys of a shard and under one epoch.
///
/// The node calls it only while it is in touch and the control value names it as the shard's
/// holder under this epoch, checked at the moment of the call.
#[derive(Debug, Clone)]
pub struct Authority {
    epoch: Epoch,
    options: Options,
    minute_ends: Time,
    pools: BTreeMap<Key, Pool>,
}

impl Authority {
    /// Begins an epoch without keys; minutes end at `minute_ends` and each minute after it.
    #[must_use]
    pub fn new(epoch: Epoch, minute_ends: Time, options: Options) -> Self {
        Self {
            epoch,
            options,
            minute_ends,
            pools: BTreeMap::new(),
        }
    }

    /// The epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets a key's limit; a key that is new begins with `start`.
    pub fn set_limit(&mut self, now: Time, key: Key, limit: Limit, start: InitialTokens) {
        match self.pools.get_mut(&key) {
            Some(pool) => pool.set_limit(now, limit, &self.options),
            None => {
                let pool = Pool::new(now, limit, start, self.minute_ends, &self.options);
                self.pools.insert(key, pool);
            }
        }
    }

    /// Drops the keys that fail `test`; their open grants stay good until they lapse.
    pub fn retain(&mut self, mut test: impl FnMut(&Key) -> bool) {
        self.pools.retain(|key, _| test(key));
    }

    /// Takes in a holder's frame; `None` where it belongs to another epoch or asks nothing.
    pub fn handle_frame(
        &mut self,
        now: Time,
        frame: &msg::HolderFrame,
    ) -> Option<msg::AuthorityFrame> {
        if Epoch(frame.epoch) != self.epoch {
            return None;
        }
        let holder = NodeId(frame.holder);
        for report in &frame.reports {
            self.report(now, holder, report);
        }
        let token_requests = frame.token_requests.iter();
        let grants: Vec<_> = token_requests
            .filter_map(|ask| self.ask(now, holder, ask))
            .collect();
        let epoch = self.epoch.0;
        (!grants.is_empty()).then_some(msg::AuthorityFrame { epoch, grants })
    }

    /// Ends the epoch for a planned stop: this authority never gives again, and the one node that
    /// gets the message may go on from it.
    ///
    /// The successor claims the next epoch from this one. Its claim needs no wait, because nobody
    /// acts any more and everything given is in the message; it then sets each limit with
    /// [`msg::HandOver::start`].
    #[must_use]
    pub fn hand_over(mut self, now: Time) -> msg::HandOver {
        let options = self.options;
        let pools = self.pools.iter_mut().map(|(key, pool)| {
            pool.advance(now, &options);
            msg::PoolSnapshot::new(*key, pool.hand_over())
        });
        msg::HandOver {
            epoch: self.epoch.0,
            pools: pools.collect(),
        }
    }

    /// How a key's tokens stand; `None` for an unknown key.
    pub fn token_counts(&mut self, now: Time, key: &Key) -> Option<TokenCounts> {
        let pool = self.pools.get_mut(key)?;
        pool.advance(now, &self.options);
        Some(TokenCounts {
            level: pool.level(),
            outstanding: pool.outstanding(),
        })
    }

    fn report(&mut self, now: Time, holder: NodeId, report: &msg::Report) {
        let key = report.key.as_ref().and_then(msg::WireKey::key);
        if let Some(pool) = key.and_then(|key| self.pools.get_mut(&key)) {
            pool.advance(now, &self.options);
            pool.report(holder, report.number, report.spent, report.returned);
        }
    }

    fn ask(&mut self, now: Time, holder: NodeId, ask: &msg::TokenRequest) -> Option<msg::Grant> {
        let key = ask.key.as_ref()?.key()?;
        let pool = self.pools.get_mut(&key)?;
        let wish = Wish {
            holder,
            number: ask.number,
            required: ask.required,
            prefetch: ask.prefetch,
            demand_milli: ask.demand_milli,
        };
        let gift = pool.ask(now, wish, &self.options)?;
        Some(grant(ask, gift))
    }
}

fn grant(ask: &msg::TokenRequest, gift: Gift) -> msg::Grant {
    let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    msg::Grant {
        key: ask.key.clone(),
        number: gift.number,
        amount: gift.amount,
        validity_micros: micros(gift.validity),
        retry_after_micros: micros(gift.retry_after),
        backoff_micros: micros(gift.backoff),
        report_within_micros: micros(gift.report_within),
    }
}
