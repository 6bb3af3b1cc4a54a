//! The adapter to the service over HTTP.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use cassiashunt_resolve::IpResolver;
use cassiashunt_types::Time;
use ureq::{
    Agent, Body, Timeout,
    http::{Response, StatusCode},
    unversioned::transport::DefaultConnector,
};

use crate::{
    Budget, Call, Calls, Entry, Error, LeaseId, MAX_VALUE_BYTES, Platform, Version, swap, watch,
    wire,
};

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1_024 * 1_024;
/// How much longer than its watch the client of a watch waits.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Settings of an [`Http`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Where the service listens, as `http://address:port`.
    pub url: String,
    /// How long a call may take, from connecting to the end of the answer.
    pub timeout: Duration,
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// How many calls this process may make each second in the long run.
    pub calls_per_second: u32,
    /// How many calls this process may make at once.
    pub calls_burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            url: "http://127.0.0.1:7300".into(),
            timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(500),
            calls_per_second: 20,
            calls_burst: 100,
        }
    }
}

struct Account {
    budget: Budget,
    calls: Calls,
}

/// A client of the service.
pub struct Http {
    options: Options,
    agent: Agent,
    origin: Instant,
    account: Mutex<Account>,
}

impl Http {
    /// A client with these settings; nothing is sent yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(options.connect_timeout))
            .timeout_global(Some(options.timeout))
            .build();
        let account = Account {
            budget: Budget::new(options.calls_per_second, options.calls_burst),
            calls: Calls::default(),
        };
        Self {
            agent: Agent::with_parts(cfg, DefaultConnector::default(), IpResolver),
            options,
            origin: Instant::now(),
            account: Mutex::new(account),
        }
    }

    /// The calls so far, failed ones included.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.account().calls
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        self.account
            .lock()
            .expect("no holder of this lock can panic")
    }

    /// Counts a call, or refuses it where the budget is spent.
    fn spend(&self, call: Call) -> Result<(), Error> {
        let now = Time::ZERO + self.origin.elapsed();
        let mut account = self.account();
        if !account.budget.take(now) {
            account.calls.over_budget += 1;
            metrics::counter!("cassiashunt_platform_calls_over_budget_total").increment(1);
            return Err(Error::OverBudget);
        }
        account.calls.add(call);
        metrics::counter!("cassiashunt_platform_calls_total", "kind" => call.as_str()).increment(1);
        Ok(())
    }

    fn value_url(&self, key: &str) -> String {
        let key = wire::encode_key(key);
        format!("{}{}/{key}", self.options.url, wire::VALUES_PATH)
    }

    fn lease_url(&self, lease: LeaseId) -> String {
        format!("{}{}/{lease}", self.options.url, wire::LEASES_PATH)
    }

    fn send_swap(&self, req: &swap::Request<'_>) -> Result<Response<Body>, ureq::Error> {
        let expected = wire::expected_text(req.expected);
        let mut builder = self
            .agent
            .put(self.value_url(req.key))
            .header(wire::EXPECTED_HEADER, expected);
        if let Some(lease) = req.lease {
            builder = builder.header(wire::LEASE_HEADER, lease.to_string());
        }
        builder.send(req.value)
    }
}

impl Platform for Http {
    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.spend(Call::Get)?;
        let answer = self.agent.get(self.value_url(key)).call();
        let mut answer = answer.map_err(read_error)?;
        match answer.status() {
            StatusCode::OK => read_entry(key, &mut answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    fn swap(&self, req: swap::Request<'_>) -> Result<swap::Outcome, Error> {
        check_size(&req)?;
        self.spend(Call::Swap)?;
        let mut answer = match self.send_swap(&req) {
            Ok(answer) => answer,
            Err(err) if never_sent(&err) => return Err(read_error(err)),
            Err(_) => return Ok(swap::Outcome::Unknown),
        };
        swap_outcome(&req, &mut answer)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        self.spend(Call::List)?;
        let prefix = wire::encode_key(prefix);
        let url = format!("{}{}?prefix={prefix}", self.options.url, wire::VALUES_PATH);
        let mut answer = self.agent.get(url).call().map_err(read_error)?;
        check_ok(&answer)?;
        wire::decode_list(&read_body(&mut answer)?)
    }

    fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.spend(Call::Grant)?;
        let ttl_ms = ttl.as_millis();
        let url = format!("{}{}?ttl-ms={ttl_ms}", self.options.url, wire::LEASES_PATH);
        let mut answer = self.agent.post(url).send_empty().map_err(read_error)?;
        check_ok(&answer)?;
        let body = read_body(&mut answer)?;
        let text = std::str::from_utf8(&body).ok();
        let lease = text.and_then(|text| text.trim().parse().ok());
        lease.map(LeaseId).ok_or_else(|| protocol("no lease"))
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<(), Error> {
        self.spend(Call::KeepAlive)?;
        let answer = self.agent.post(self.lease_url(lease)).send_empty();
        lease_answer(lease, &answer.map_err(read_error)?)
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.spend(Call::Revoke)?;
        let answer = self.agent.delete(self.lease_url(lease)).call();
        lease_answer(lease, &answer.map_err(read_error)?)
    }

    fn watch(
        &self,
        key: &str,
        seen: swap::Expected,
        timeout: Duration,
    ) -> Result<watch::Outcome, Error> {
        self.spend(Call::Watch)?;
        let seen = wire::expected_text(seen);
        let path = wire::encode_key(key);
        let url = format!(
            "{}{}/{path}?seen={seen}&timeout-ms={}",
            self.options.url,
            wire::WATCH_PATH,
            timeout.as_millis()
        );
        let answer = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(timeout + WATCH_SLACK))
            .build()
            .call();
        let mut answer = answer.map_err(read_error)?;
        match answer.status() {
            StatusCode::OK => read_entry(key, &mut answer).map(watch::Outcome::Changed),
            StatusCode::NOT_FOUND => Ok(watch::Outcome::Gone),
            StatusCode::NOT_MODIFIED => Ok(watch::Outcome::Unchanged),
            status => Err(status_error(status)),
        }
    }
}

fn check_size(req: &swap::Request<'_>) -> Result<(), Error> {
    let bytes = req.value.len();
    if bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    let key = req.key.into();
    Err(Error::TooLarge { key, bytes })
}

fn swap_outcome(
    req: &swap::Request<'_>,
    answer: &mut Response<Body>,
) -> Result<swap::Outcome, Error> {
    match answer.status() {
        StatusCode::OK => Ok(
            read_version(answer).map_or(swap::Outcome::Unknown, |version| swap::Outcome::Applied {
                version,
            }),
        ),
        StatusCode::CONFLICT if read_version(answer).is_err() => {
            Ok(swap::Outcome::Conflict { current: None })
        }
        StatusCode::CONFLICT => {
            let current = Some(read_entry(req.key, answer)?);
            Ok(swap::Outcome::Conflict { current })
        }
        StatusCode::GONE => {
            let lease = req.lease.unwrap_or_default();
            Err(Error::NoLease { lease })
        }
        StatusCode::PAYLOAD_TOO_LARGE => {
            let key = req.key.into();
            let bytes = req.value.len();
            Err(Error::TooLarge { key, bytes })
        }
        status if status.is_client_error() => Err(status_error(status)),
        _ => Ok(swap::Outcome::Unknown),
    }
}

/// Whether the request surely never reached the service.
fn never_sent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(timeout) => matches!(timeout, Timeout::Resolve | Timeout::Connect),
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

fn read_error(err: ureq::Error) -> Error {
    let detail = err.to_string();
    if never_sent(&err) {
        return Error::Down { detail };
    }
    Error::Lost { detail }
}

fn status_error(status: StatusCode) -> Error {
    let detail = format!("status {status}");
    if status.is_server_error() {
        return Error::Down { detail };
    }
    Error::Protocol { detail }
}

fn protocol(detail: &str) -> Error {
    let detail = detail.into();
    Error::Protocol { detail }
}

fn check_ok(answer: &Response<Body>) -> Result<(), Error> {
    match answer.status() {
        StatusCode::OK => Ok(()),
        status => Err(status_error(status)),
    }
}

fn lease_answer(lease: LeaseId, answer: &Response<Body>) -> Result<(), Error> {
    match answer.status() {
        StatusCode::GONE => Err(Error::NoLease { lease }),
        _ => check_ok(answer),
    }
}

fn read_entry(key: &str, answer: &mut Response<Body>) -> Result<Entry, Error> {
    Ok(Entry {
        key: key.into(),
        version: read_version(answer)?,
        lease: header(answer, wire::LEASE_HEADER).map(LeaseId),
        value: read_body(answer)?.into(),
    })
}

fn read_version(answer: &Response<Body>) -> Result<Version, Error> {
    let version = header(answer, wire::VERSION_HEADER);
    version.map(Version).ok_or_else(|| protocol("no version"))
}

fn header(answer: &Response<Body>, name: &str) -> Option<u64> {
    answer.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn read_body(answer: &mut Response<Body>) -> Result<Vec<u8>, Error> {
    let body = answer.body_mut().with_config();
    body.limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(read_error)
}
