//! The limit authority of a shard of workspaces.

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, Time};

use crate::{
    InitialTokens, Key, Limit, msg,
    pool::{Pool, PoolGrant, PoolRequest},
};

/// Settings of [`Authority`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Lifetime of a grant, counted from when its holder first sent the token request.
    pub validity: Duration,
    /// Bound on the difference in rate between the nodes' clocks.
    pub clock_drift: ClockDrift,
    /// Time without a token request after which a holder's state is dropped. Exceeds `validity`, so
    /// that the holder has no open grant by then.
    pub holder_idle_timeout: Duration,
    /// Minimum time until a holder that got fewer tokens than required sends another request.
    pub min_backoff: Duration,
    /// Target for the total of token requests per second for one key while tokens are short. The
    /// backoff of the holders is spread accordingly.
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

/// Token counts of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Whole tokens available to grant.
    pub level: u64,
    /// Tokens granted that may still be spent.
    pub outstanding: u64,
}

/// Issues the tokens of all keys of a shard during one epoch.
///
/// The node may call this only while it is in touch and the control value names it as the shard's
/// primary in this epoch, and must check both at the time of each call.
#[derive(Debug, Clone)]
pub struct Authority {
    epoch: Epoch,
    options: Options,
    minute_ends: Time,
    pools: BTreeMap<Key, Pool>,
}

impl Authority {
    /// Starts an epoch without keys. Minutes end at `minute_ends` and every 60 s after it.
    #[must_use]
    pub fn new(epoch: Epoch, minute_ends: Time, options: Options) -> Self {
        Self {
            epoch,
            options,
            minute_ends,
            pools: BTreeMap::new(),
        }
    }

    /// The epoch in which this authority grants tokens.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets the limit of a key. A new key starts with `initial`, which is ignored for a known key.
    pub fn set_limit(&mut self, now: Time, key: Key, limit: Limit, initial: InitialTokens) {
        match self.pools.get_mut(&key) {
            Some(pool) => pool.set_limit(now, limit, &self.options),
            None => {
                let pool = Pool::new(now, limit, initial, self.minute_ends, &self.options);
                self.pools.insert(key, pool);
            }
        }
    }

    /// Removes the keys for which `test` returns false. Their open grants stay valid until they expire.
    pub fn retain(&mut self, mut test: impl FnMut(&Key) -> bool) {
        self.pools.retain(|key, _| test(key));
    }

    /// Applies the reports of a holder's frame and answers its token requests.
    ///
    /// Returns `None` for a frame of another epoch and where there is nothing to answer.
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
            .filter_map(|request| self.request(now, holder, request))
            .collect();
        let epoch = self.epoch.0;
        (!grants.is_empty()).then_some(msg::AuthorityFrame { epoch, grants })
    }

    /// Ends the epoch for a planned stop and returns the state for the successor. Send it to one node
    /// only.
    ///
    /// The successor claims the next epoch. It need not wait after the claim, because this authority
    /// grants nothing more and the message accounts for all outstanding tokens. It then sets each
    /// limit with [`msg::HandOver::initial_tokens`].
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

    /// The token counts of a key at `now`, or `None` if the key has no limit here.
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

    fn request(
        &mut self,
        now: Time,
        holder: NodeId,
        request: &msg::TokenRequest,
    ) -> Option<msg::Grant> {
        let key = request.key.as_ref()?.key()?;
        let pool = self.pools.get_mut(&key)?;
        let pool_request = PoolRequest {
            holder,
            number: request.number,
            required: request.required,
            prefetch: request.prefetch,
            demand_milli: request.demand_milli,
        };
        let pool_grant = pool.request(now, pool_request, &self.options)?;
        Some(grant_message(request, pool_grant))
    }
}

fn grant_message(request: &msg::TokenRequest, pool_grant: PoolGrant) -> msg::Grant {
    let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    msg::Grant {
        key: request.key.clone(),
        number: pool_grant.number,
        amount: pool_grant.amount,
        validity_micros: micros(pool_grant.validity),
        retry_after_micros: micros(pool_grant.retry_after),
        backoff_micros: micros(pool_grant.backoff),
        report_within_micros: micros(pool_grant.report_within),
    }
}
