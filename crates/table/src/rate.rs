//! Requests for each second.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Thousandths in one.
const MILLI: u32 = 1_000;

/// A rate in thousandths of a request for each second, written in requests, as in `12.5`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate {
    milli: u32,
}

/// A text that is no rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRate {
    /// The text as given.
    pub text: String,
}

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no rate: write requests for each second with up to three decimals",
            self.text
        )
    }
}

impl std::error::Error for InvalidRate {}

impl Rate {
    /// A rate of `milli` thousandths of a request for each second.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self { milli }
    }

    /// A rate of whole requests for each second.
    #[must_use]
    pub const fn from_whole(requests: u32) -> Self {
        Self {
            milli: requests.saturating_mul(MILLI),
        }
    }

    /// Thousandths of a request for each second.
    #[must_use]
    pub const fn milli(self) -> u32 {
        self.milli
    }

    /// Requests for each second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / f64::from(MILLI)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.milli / MILLI;
        let rest = self.milli % MILLI;
        if rest == 0 {
            return write!(f, "{whole}");
        }
        let decimals = format!("{rest:03}");
        write!(f, "{whole}.{}", decimals.trim_end_matches('0'))
    }
}

impl FromStr for Rate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        parse(text).ok_or_else(|| InvalidRate { text: text.into() })
    }
}

fn parse(text: &str) -> Option<Rate> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let milli = digits(whole)?.checked_mul(MILLI)?;
    if decimals.len() > 3 {
        return None;
    }
    let rest = digits(&format!("{decimals:0<3}"))?;
    let fits = !decimals.is_empty();
    let milli = milli.checked_add(rest)?;
    fits.then_some(Rate { milli })
}

fn digits(text: &str) -> Option<u32> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| text.parse().ok())?
}

impl TryFrom<String> for Rate {
    type Error = InvalidRate;

    fn try_from(text: String) -> Result<Self, InvalidRate> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}
