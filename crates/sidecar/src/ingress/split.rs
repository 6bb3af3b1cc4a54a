//! Which of a route's services takes a request.

use std::{cell::RefCell, collections::HashMap};

use cassiashunt_mesh::RouteRow;
use cassiashunt_types::prelude::*;

/// The golden ratio's fractional part: its multiples, modulo one, fill the unit interval evenly
/// (the additive recurrence with the lowest discrepancy).
const STEP: f64 = 0.618_033_988_749_895;

/// Where each route's sequence stands.
#[derive(Debug, Default)]
pub(crate) struct Splits {
    at: RefCell<HashMap<Route, f64>>,
}

impl Splits {
    /// The service for the next request of a route: in every stretch of requests each service has
    /// nearly its weight's share, whether it has room or not.
    pub(crate) fn next(&self, route: &RouteRow, rng: &mut fastrand::Rng) -> Option<Service> {
        let [only] = route.targets.as_slice() else {
            let mut at = self.at.borrow_mut();
            let at = at.entry(route.name).or_insert_with(|| rng.f64());
            *at = (*at + STEP).fract();
            return pick(route, *at);
        };
        Some(only.service)
    }
}

fn pick(route: &RouteRow, at: f64) -> Option<Service> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut left = at * total;
    for target in &route.targets {
        left -= target.weight;
        if left < 0.0 {
            return Some(target.service);
        }
    }
    route.targets.last().map(|target| target.service)
}
