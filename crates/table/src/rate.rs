//! Request rates with three decimals.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Thousandths of a request in one request.
const MILLI_PER_UNIT: u32 = 1_000;

/// A rate in requests per second with a resolution of 0.001, written as a decimal number such as
/// `12.5`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Rate {
    milli: u32,
}

/// A text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRate {
    /// The rejected text.
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
    /// Creates a rate of `milli` thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u32) -> Self {
        Self { milli }
    }

    /// Creates a rate of `requests` per second; values above about 4.29 million saturate.
    #[must_use]
    pub const fn from_whole(requests: u32) -> Self {
        Self {
            milli: requests.saturating_mul(MILLI_PER_UNIT),
        }
    }

    /// The rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli(self) -> u32 {
        self.milli
    }

    /// The rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / f64::from(MILLI_PER_UNIT)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.milli / MILLI_PER_UNIT;
        let fraction = self.milli % MILLI_PER_UNIT;
        if fraction == 0 {
            return write!(f, "{whole}");
        }
        let decimals = format!("{fraction:03}");
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
    let milli = parse_digits(whole)?.checked_mul(MILLI_PER_UNIT)?;
    if decimals.len() > 3 {
        return None;
    }
    let fraction = parse_digits(&format!("{decimals:0<3}"))?;
    let has_decimals = !decimals.is_empty();
    let milli = milli.checked_add(fraction)?;
    has_decimals.then_some(Rate { milli })
}

fn parse_digits(text: &str) -> Option<u32> {
    let digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
    digits_only.then(|| text.parse().ok())?
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
