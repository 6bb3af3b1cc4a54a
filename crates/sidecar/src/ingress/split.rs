//! Weighted traffic split of a route over its services.

use std::{cell::RefCell, collections::HashMap};

use cassiashunt_mesh::RouteRow;
use cassiashunt_types::prelude::*;

/// The fractional part of the golden ratio: its multiples, modulo one, fill the unit interval
/// evenly (the additive recurrence with the lowest discrepancy).
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The position of each route's low-discrepancy sequence, in 0..1.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits {
    positions: RefCell<HashMap<Route, f64>>,
}

impl TrafficSplits {
    /// The service for the next request of a route. Over any run of consecutive requests each
    /// service gets nearly the share of its weight, whether or not it has free capacity.
    pub(crate) fn next(&self, route: &RouteRow, rng: &mut fastrand::Rng) -> Option<Service> {
        let [only] = route.targets.as_slice() else {
            let mut positions = self.positions.borrow_mut();
            let position = positions.entry(route.name).or_insert_with(|| rng.f64());
            *position = (*position + GOLDEN_RATIO_FRACTION).fract();
            return pick(route, *position);
        };
        Some(only.service)
    }
}

fn pick(route: &RouteRow, position: f64) -> Option<Service> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut remaining = position * total;
    for target in &route.targets {
        remaining -= target.weight;
        if remaining < 0.0 {
            return Some(target.service);
        }
    }
    route.targets.last().map(|target| target.service)
}
