//! What a workspace is entitled to.

use cassiashunt_types::prelude::*;

/// Says which requests, by their intended times in order, stay inside a rate and burst.
///
/// A token bucket that starts full; a request that finds no token takes none.
#[must_use]
pub fn conforming(times: &[Duration], rate: f64, burst: f64) -> Vec<bool> {
    let mut level = burst;
    let mut last = Duration::ZERO;
    let each = times.iter().map(|at| {
        level = burst.min(level + rate * at.saturating_sub(last).as_secs_f64());
        last = *at;
        let conforms = level >= 1.0;
        level -= if conforms { 1.0 } else { 0.0 };
        conforms
    });
    each.collect()
}

/// What each of several demands gets of a capacity, by weighted max-min fairness.
///
/// Nobody gets more than its demand, and what one leaves is dealt out among the others by weight
/// (Bertsekas and Gallager, Data Networks, section 6.5.2).
#[must_use]
pub fn fair(demands: &[f64], weights: &[f64], capacity: f64) -> Vec<f64> {
    let mut given = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    while !open.is_empty() {
        let total: f64 = open.iter().map(|index| weights[*index]).sum();
        let level = left / total;
        let is_met = |index: &usize| demands[*index] <= level * weights[*index];
        let (met, short): (Vec<_>, Vec<_>) = open.iter().copied().partition(is_met);
        if met.is_empty() {
            short
                .iter()
                .for_each(|index| given[*index] = level * weights[*index]);
            return given;
        }
        for index in met {
            given[index] = demands[index];
            left -= demands[index];
        }
        open = short;
    }
    given
}
