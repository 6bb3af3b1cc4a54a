//! Conversion of sums to and from messages.

use cassiashunt_admit::{Priority, chain::RouteUse, chain_admission::Capacity, repeats::Tries};
use cassiashunt_mesh::{Origin, Sum, SumReport, Uses};
use cassiashunt_types::prelude::*;

use crate::{
    clock,
    link::{
        CallCount, CapacityEntry, DemandEntry, OriginRow, RunUse, ServiceUses, SumRow, TriesEntry,
        UsesRow,
    },
};

/// Converts a sum to its message. Demand of 0.01 slots or less is left out.
pub(crate) fn to_row(report: SumReport) -> SumRow {
    let demand = report.sum.demand.iter().filter(|(_, slots)| **slots > 0.01);
    SumRow {
        nodes: report.sum.nodes,
        capacities: report
            .sum
            .capacities
            .iter()
            .map(|(service, capacity)| CapacityEntry {
                service: service.as_str().into(),
                slots: capacity.slots as f32,
                busy: capacity.busy as f32,
            })
            .collect(),
        demand: demand
            .map(|((priority, service), slots)| DemandEntry {
                priority: u32::from(priority.0),
                service: service.as_str().into(),
                slots: *slots as f32,
            })
            .collect(),
        tries: report.sum.tries.iter().map(tries_to_entry).collect(),
        uses: report.uses.map(uses_to_row),
    }
}

/// Converts a message to its sum. Entries that can't be parsed are left out.
pub(crate) fn from_row(row: &SumRow) -> SumReport {
    let capacities = row.capacities.iter().filter_map(|entry| {
        let capacity = Capacity {
            slots: f64::from(entry.slots),
            busy: f64::from(entry.busy),
        };
        Some((entry.service.parse().ok()?, capacity))
    });
    let demand = row.demand.iter().filter_map(|entry| {
        let priority = Priority(u8::try_from(entry.priority).ok()?);
        Some((
            (priority, entry.service.parse().ok()?),
            f64::from(entry.slots),
        ))
    });
    let tries = row.tries.iter().filter_map(tries_from_entry);
    SumReport {
        sum: Sum {
            nodes: row.nodes,
            capacities: capacities.collect(),
            demand: demand.collect(),
            tries: tries.collect(),
        },
        uses: row.uses.as_ref().map(uses_from_row),
    }
}

fn tries_to_entry((service, tries): (&Service, &Tries)) -> TriesEntry {
    TriesEntry {
        service: service.as_str().into(),
        passed: tries.passed as f32,
        failed: tries.failed as f32,
        repeats_limit: tries.repeats_limit as f32,
        repeats_left: tries.repeats_left as f32,
        first_tries: tries.first_tries.iter().map(|it| *it as f32).collect(),
        most_first_tries: tries.most_first_tries as f32,
    }
}

fn tries_from_entry(entry: &TriesEntry) -> Option<(Service, Tries)> {
    let mut first_tries = [0.0; 3];
    for (to, from) in first_tries.iter_mut().zip(&entry.first_tries) {
        *to = f64::from(*from);
    }
    let tries = Tries {
        passed: f64::from(entry.passed),
        failed: f64::from(entry.failed),
        repeats_limit: f64::from(entry.repeats_limit),
        repeats_left: f64::from(entry.repeats_left),
        first_tries,
        most_first_tries: f64::from(entry.most_first_tries),
    };
    Some((entry.service.parse().ok()?, tries))
}

/// Converts a relayed sum to its message.
pub(crate) fn origin_to_row(origin: Origin) -> OriginRow {
    OriginRow {
        name: origin.name,
        age_us: clock::micros(origin.age),
        sum: Some(to_row(origin.report)),
    }
}

/// Converts a message to its relayed sum.
pub(crate) fn origin_from_row(row: &OriginRow) -> Origin {
    Origin {
        name: row.name.clone(),
        age: Duration::from_micros(row.age_us),
        report: row.sum.as_ref().map(from_row).unwrap_or_default(),
    }
}

fn uses_to_row(uses: Uses) -> UsesRow {
    let services = uses.into_iter().map(|(service, uses)| ServiceUses {
        service: service.as_str().into(),
        uses: uses.iter().map(use_to_row).collect(),
    });
    UsesRow {
        services: services.collect(),
    }
}

fn uses_from_row(row: &UsesRow) -> Uses {
    let services = row.services.iter().filter_map(|row| {
        let uses = row.uses.iter().filter_map(use_from_row).collect();
        Some((row.service.parse().ok()?, uses))
    });
    services.collect()
}

fn use_to_row(route_use: &RouteUse) -> RunUse {
    RunUse {
        route: route_use.route.as_str().into(),
        runs_per_s: route_use.runs_per_s as f32,
        slot_s: route_use.slot_s as f32,
        calls: route_use
            .calls
            .iter()
            .map(|(route, per_run)| CallCount {
                route: route.as_str().into(),
                per_run: *per_run as f32,
            })
            .collect(),
    }
}

fn use_from_row(row: &RunUse) -> Option<RouteUse> {
    let calls = row.calls.iter().filter_map(|call| {
        let route = call.route.parse().ok()?;
        Some((route, f64::from(call.per_run)))
    });
    Some(RouteUse {
        route: row.route.parse().ok()?,
        runs_per_s: f64::from(row.runs_per_s),
        slot_s: f64::from(row.slot_s),
        calls: calls.collect(),
    })
}
