//! Makes a fleet of an experiment file.

use std::sync::Arc;

use cassiashunt_load::{
    Experiment, Fleet as LoadFleet,
    experiment::{Fault, Variant},
    fleet::{Ingress, apply_to_server, server_options},
};
use cassiashunt_node::settings::{Bounds, Policy, Times};
use cassiashunt_platform::Faults;
use cassiashunt_table::{Change, Column, RowKey};
use cassiashunt_types::prelude::*;
use eyre::{Result, WrapErr, eyre};

use crate::{
    Fleet, Member, Options, ServerOptions,
    operator::{bind, give_key},
};

/// The priority of protected classes.
const PROTECTED: u8 = u8::MAX;
/// The priority of the other classes.
const PLAIN: u8 = 100;
/// Changes in one edit.
const CHANGES: usize = 200;

/// Launches an experiment's servers with a node beside each.
///
/// # Errors
///
/// Where something cannot start or the settings of the variant are wrong.
pub fn launch(experiment: &Experiment, variant: &Variant) -> Result<LoadFleet> {
    let fleet = Fleet::start(options(experiment, variant)?)?;
    for changes in table(experiment)?.chunks(CHANGES) {
        fleet.edit(changes.to_vec())?;
    }
    let fleet = Arc::new(fleet);
    let members = fleet.members.iter();
    let ingress = members.map(|member| Ingress {
        addr: member.addresses.callers,
        service: None,
    });
    let ingress = ingress.collect();
    let faulty = Arc::clone(&fleet);
    Ok(LoadFleet {
        ingress,
        apply: Box::new(move |fault| apply(&faulty, fault)),
        stop: Box::new(move || drop(fleet)),
    })
}

fn options(experiment: &Experiment, variant: &Variant) -> Result<Options> {
    let policy = toml::Value::Table(variant.settings.clone()).try_into::<Policy>();
    let mut servers = Vec::new();
    for service in &experiment.services {
        for index in 0..service.servers {
            servers.push(ServerOptions {
                service: service.name,
                domain: experiment.domain(index),
                standin: server_options(experiment, variant, service, servers.len()),
            });
        }
    }
    Ok(Options {
        domains: experiment.failure_domains.clone(),
        servers,
        times: Times {
            roster_write_ms: 1_000,
            roster_read_ms: 1_000,
            ..Times::default()
        },
        bounds: Bounds {
            connections: 16_384,
            ..Bounds::default()
        },
        policy: policy.wrap_err_with(|| format!("settings of variant {}", variant.name))?,
        cross_domain_us: (experiment.domain_one_way_ms * 1_000.0) as u64,
        ..Options::default()
    })
}

/// The edits that make the table of an experiment.
fn table(experiment: &Experiment) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    for req in &experiment.requests {
        let endpoint = format!("{} {}", req.method, req.path);
        changes.push(bind(
            &endpoint,
            req.route,
            req.class,
            req.service().parse()?,
        )?);
        let row = format!("*,{},{}", req.route, req.class);
        let priority = if req.protected { PROTECTED } else { PLAIN };
        changes.push(cell(&row, Column::Priority, &priority.to_string())?);
        changes.push(cell(&row, Column::Idempotent, yes_or_no(req.idempotent))?);
        changes.push(cell(&row, Column::DeadlineMs, &req.timeout_ms.to_string())?);
        if req.open {
            changes.push(cell(&row, Column::Open, "yes")?);
        }
    }
    changes.extend(child_routes(experiment)?);
    for workspace in &experiment.workspaces {
        let row = format!("{},*,*", workspace.name);
        changes.push(cell(&row, Column::Rate, &workspace.rate.to_string())?);
        changes.push(cell(
            &row,
            Column::Burst,
            &workspace.burst.round().to_string(),
        )?);
        changes.push(cell(
            &row,
            Column::Weight,
            &weight(workspace.weight).to_string(),
        )?);
        changes.push(give_key(workspace.name, &workspace.key));
    }
    Ok(changes)
}

fn weight(weight: f64) -> u32 {
    weight.round().max(1.0) as u32
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// The routes of the servers' own calls, which callers do not ask for themselves.
fn child_routes(experiment: &Experiment) -> Result<Vec<Change>> {
    let mut seen: Vec<String> = Vec::new();
    let mut changes = Vec::new();
    let endpoints = experiment
        .services
        .iter()
        .flat_map(|service| &service.endpoints);
    for child in endpoints.flat_map(|endpoint| &endpoint.children) {
        let endpoint = format!("{} {}", child.method, child.path);
        let is_asked = |req: &cassiashunt_load::experiment::RequestKind| {
            req.path == child.path && req.method == child.method
        };
        if seen.contains(&endpoint) || experiment.requests.iter().any(is_asked) {
            continue;
        }
        let name = child.path.trim_matches('/').replace('/', "-");
        let service: Service = name.split('-').next().unwrap_or_default().parse()?;
        let first = child.path.trim_start_matches('/').split('/').next();
        let service = first.map_or(Ok(service), str::parse)?;
        changes.push(bind(
            &endpoint,
            name.parse()?,
            "internal".parse()?,
            service,
        )?);
        seen.push(endpoint);
    }
    Ok(changes)
}

fn cell(row: &str, column: Column, value: &str) -> Result<Change> {
    let row: RowKey = row.parse()?;
    let new = Some(column.parse(value)?);
    Ok(Change::Cell {
        row,
        column,
        old: None,
        new,
    })
}

fn apply(fleet: &Fleet, fault: &Fault) -> Result<()> {
    match fault {
        Fault::KillNode { .. } => fleet.kill_node(meant(fleet, fault)?),
        Fault::DrainNode { .. } => {
            let number = meant(fleet, fault)?;
            // Whether the stop cut anything off shows in the callers' answers.
            let _ = fleet.stop_node(number);
        }
        Fault::RestartNode { .. } => fleet.replace_node(meant(fleet, fault)?)?,
        Fault::PlatformDown => set_faults(fleet, |faults| faults.down = true),
        Fault::PlatformUp => set_faults(fleet, |faults| *faults = Faults::default()),
        Fault::PlatformSlow { delay_ms } => {
            set_faults(fleet, |faults| faults.slow_ms = *delay_ms);
        }
        Fault::CutDomain { domain } => cut(fleet, *domain),
        Fault::HealDomain { .. } => fleet.cuts.heal(),
        Fault::WithdrawKey { workspace } => fleet.withdraw_keys(*workspace)?,
        _ => apply_to_servers(fleet, fault)?,
    }
    Ok(())
}

fn set_faults(fleet: &Fleet, change: impl FnOnce(&mut Faults)) {
    let mut faults = fleet.platform.memory().faults();
    change(&mut faults);
    fleet.platform.memory().set_faults(faults);
}

fn cut(fleet: &Fleet, domain: FailureDomain) {
    let inside = fleet.peers_in(domain);
    let all = fleet.members.iter().map(|member| member.addresses.peers);
    let outside: Vec<_> = all.filter(|addr| !inside.contains(addr)).collect();
    fleet.cuts.cut(&inside, &outside);
}

/// The members of the service that a fault names, in the order of their numbers.
fn members<'a>(fleet: &'a Fleet, fault: &Fault) -> Vec<(usize, &'a Member)> {
    let all = fleet.members.iter().enumerate();
    let named = |member: &Member| {
        let server = member.settings.server.as_ref();
        server.map(|server| server.service) == fault.service()
    };
    all.filter(|(_, member)| named(member)).collect()
}

/// The one member that a fault names.
fn meant(fleet: &Fleet, fault: &Fault) -> Result<usize> {
    let index = fault.server().unwrap_or(0);
    let found = members(fleet, fault).get(index).map(|(number, _)| *number);
    found.ok_or_else(|| eyre!("{fault:?} names no server of the fleet"))
}

fn apply_to_servers(fleet: &Fleet, fault: &Fault) -> Result<()> {
    for (index, (_, member)) in members(fleet, fault).into_iter().enumerate() {
        if fault.server().is_none_or(|server| server == index) {
            apply_to_server(&member.server, fault)?;
        }
    }
    Ok(())
}
