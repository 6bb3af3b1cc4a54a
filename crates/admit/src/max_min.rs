//! Weighted max-min fairness.

/// A party's demand, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Demanded {
    pub(crate) weight: f64,
    pub(crate) demand: f64,
}

impl Demanded {
    fn per_weight(&self) -> f64 {
        self.demand / self.weight
    }
}

/// The demand for each unit of weight up to which every party is served, if `room` is divided among
/// them; infinite if all fit. Progressive filling, from the smallest demand for its weight.
pub(crate) fn fair_level(mut demands: Vec<Demanded>, room: f64) -> f64 {
    demands.sort_unstable_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
    let mut remaining = room;
    let mut weight: f64 = demands.iter().map(|it| it.weight).sum();
    for it in &demands {
        if it.per_weight() * weight > remaining {
            return remaining / weight;
        }
        remaining -= it.demand;
        weight -= it.weight;
    }
    f64::INFINITY
}
