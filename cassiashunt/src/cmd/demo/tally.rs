//! Counts of what callers saw.

use std::collections::BTreeMap;

use eyre::{Result, bail};

use super::caller::{Kind, Outcome};

/// Counts by class.
#[derive(Debug, Default)]
pub struct Tally {
    classes: BTreeMap<Kind, Class>,
}

/// The counts of one class.
#[derive(Debug, Default)]
struct Class {
    served: usize,
    refused: BTreeMap<String, usize>,
    with_retry_after: usize,
    /// Neither served nor refused as not run.
    lost: Vec<String>,
}

impl Tally {
    /// Takes in one outcome.
    pub fn count(&mut self, kind: Kind, outcome: Outcome) {
        let class = self.classes.entry(kind).or_default();
        match outcome {
            Outcome::Served => class.served += 1,
            Outcome::Refused {
                reason,
                verdict,
                has_retry_after,
            } if verdict == "not-run" => {
                *class.refused.entry(reason).or_default() += 1;
                class.with_retry_after += usize::from(has_retry_after);
            }
            outcome => class.lost.push(format!("{outcome:?}")),
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: Self) {
        for (kind, counts) in other.classes {
            let class = self.classes.entry(kind).or_default();
            class.served += counts.served;
            class.with_retry_after += counts.with_retry_after;
            class.lost.extend(counts.lost);
            for (reason, count) in counts.refused {
                *class.refused.entry(reason).or_default() += count;
            }
        }
    }

    /// Prints a line for each class.
    pub fn print(&self) {
        for (kind, class) in &self.classes {
            println!("  class {}: {}", kind.class(), class.describe());
        }
    }

    /// Fails where a request was neither answered whole nor refused as not run.
    ///
    /// # Errors
    ///
    /// Names the first such outcome.
    pub fn ensure_whole(&self) -> Result<()> {
        let lost = self.classes.values().flat_map(|class| &class.lost);
        if let Some(first) = lost.into_iter().next() {
            bail!("a request was neither answered whole nor refused as not run: {first}");
        }
        Ok(())
    }
}

impl Class {
    fn describe(&self) -> String {
        let mut text = format!("{} served", self.served);
        let refused: usize = self.refused.values().sum();
        if refused > 0 {
            let reasons = self.refused.iter();
            let reasons: Vec<_> = reasons.map(|(name, n)| format!("{n} {name}")).collect();
            text += &format!(
                ", {refused} refused and not run ({}; {} with Retry-After)",
                reasons.join(", "),
                self.with_retry_after
            );
        }
        if !self.lost.is_empty() {
            text += &format!(", {} may have run or were cut off", self.lost.len());
        }
        text
    }
}
