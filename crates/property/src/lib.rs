//! Property tests with the same verdict in each run.
//!
//! `arbtest` draws new inputs in each run, for as long as its budget lasts. [`check`] plays a fixed
//! set of inputs, so that a failure is a change's and not a draw's. To search for new ones, set
//! `ARBTEST_BUDGET_MS`; to play one again, `ARBTEST_SEED`. A seed that failed is kept as a test of
//! its own: `arbtest(property).seed(SEED)`.

use std::env;

pub use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};

/// Sizes of the inputs in bytes, as `arbtest` lets them grow.
const SIZES: std::ops::RangeInclusive<u32> = 32..=65_536;
/// Inputs of each size.
const INPUTS_EACH: u32 = 40;

/// Checks that a property holds for a fixed set of inputs, the smallest first.
///
/// # Panics
///
/// If the property panics, or if no input was enough for it.
pub fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let is_set = |name| env::var_os(name).is_some();
    let (is_replay, is_search) = (is_set("ARBTEST_SEED"), is_set("ARBTEST_BUDGET_MS"));
    if !is_replay {
        let mut is_enough = false;
        for seed in seeds() {
            let remember = |u: &mut Unstructured<'_>| {
                is_enough |= property(u).is_ok();
                Ok(())
            };
            arbtest(remember).seed(seed).run();
        }
        assert!(is_enough, "no input was enough for the property");
    }
    if is_replay || is_search {
        arbtest(property).run();
    }
}

/// The seeds of the fixed inputs: the low half is the size of one, the high half where it starts.
pub fn seeds() -> impl Iterator<Item = u64> {
    let grow = |size: &u32| Some(size.saturating_mul(5) / 4);
    let sizes = std::iter::successors(Some(*SIZES.start()), grow);
    let sizes = sizes.take_while(|size| SIZES.contains(size));
    let inputs = sizes.flat_map(|size| (0..INPUTS_EACH).map(move |_| size));
    let seed = |(n, size)| u64::from(spread(n)) << 32 | u64::from(size);
    (0..).zip(inputs).map(seed)
}

/// Spreads neighbouring numbers over the whole range (Knuth's multiplicative hash).
fn spread(n: u32) -> u32 {
    n.wrapping_add(1).wrapping_mul(2_654_435_761)
}
