//! The fleet that an experiment's load goes to, and its backend servers.

use std::net::SocketAddr;

use cassiashunt_standin::server::{self, Handle, Peer};
use cassiashunt_types::prelude::*;
use eyre::{WrapErr, eyre};

use crate::experiment::{Experiment, Fault, Launch, ServiceOptions, Variant};

/// An address that callers may send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ingress {
    /// The address.
    pub addr: SocketAddr,
    /// The only service that it serves; any service where absent.
    pub service: Option<Service>,
}

/// A closure that applies a fault; it fails where the fleet has no such part.
pub type Apply = Box<dyn Fn(&Fault) -> eyre::Result<()> + Send>;

/// A fleet that runs.
pub struct Fleet {
    /// The addresses that callers may send to.
    pub ingress: Vec<Ingress>,
    /// Applies a fault.
    pub apply: Apply,
    /// Stops everything.
    pub stop: Box<dyn FnOnce() + Send>,
}

/// Launches the fleet of a variant.
pub type LaunchFn<'a> = dyn Fn(&Experiment, &Variant) -> eyre::Result<Fleet> + 'a;

/// One backend server of an experiment.
pub struct Server {
    /// Its service.
    pub service: Service,
    /// Its number within the service.
    pub index: usize,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The stand-in.
    pub handle: Handle,
}

/// The backend servers of an experiment.
pub struct Servers {
    /// Every server, by service and number.
    pub list: Vec<Server>,
}

impl Servers {
    /// Starts the servers of an experiment; their child calls have nowhere to go yet.
    ///
    /// # Errors
    ///
    /// Fails where a stand-in cannot listen.
    pub fn start(experiment: &Experiment, variant: &Variant) -> eyre::Result<Self> {
        let mut list = Vec::new();
        for service in &experiment.services {
            for index in 0..service.servers {
                let options = server_options(experiment, variant, service, list.len());
                let handle = server::serve(options)
                    .wrap_err_with(|| format!("cannot start server {index} of {}", service.name))?;
                list.push(Server {
                    service: service.name,
                    index,
                    domain: experiment.domain(index),
                    handle,
                });
            }
        }
        Ok(Self { list })
    }

    /// Applies a fault of the servers themselves; says whether it was one.
    ///
    /// # Errors
    ///
    /// Fails where a server cannot start again.
    pub fn apply(&self, fault: &Fault) -> eyre::Result<bool> {
        for server in self.list.iter().filter(|server| server.is_meant(fault)) {
            server.apply(fault)?;
        }
        Ok(is_servers_own(fault))
    }

    /// Lets child calls go straight to a random server of the child's service.
    fn join(&self, experiment: &Experiment) {
        for server in &self.list {
            server.handle.set(|options| {
                for other in &self.list {
                    let name = other.service.as_str().to_owned();
                    let is_near = other.domain == server.domain;
                    let peer = Peer {
                        addr: other.handle.addr,
                        one_way_ms: if is_near {
                            0.0
                        } else {
                            experiment.domain_one_way_ms
                        },
                    };
                    options.peers.entry(name).or_default().push(peer);
                }
            });
        }
    }

    fn ingress(&self) -> Vec<Ingress> {
        let each = self.list.iter();
        each.map(|server| Ingress {
            addr: server.handle.addr,
            service: Some(server.service),
        })
        .collect()
    }
}

impl Server {
    fn is_meant(&self, fault: &Fault) -> bool {
        let is_service = fault.service() == Some(self.service);
        is_service && fault.server().is_none_or(|index| index == self.index)
    }

    fn apply(&self, fault: &Fault) -> eyre::Result<()> {
        apply_to_server(&self.handle, fault)
    }
}

/// Applies a fault of servers to one; any other fault does nothing.
///
/// # Errors
///
/// Fails where the server cannot start again.
pub fn apply_to_server(handle: &Handle, fault: &Fault) -> eyre::Result<()> {
    match fault {
        Fault::Slow { factor, .. } => handle.set(|options| options.slow_factor = *factor),
        Fault::Fail { rate, .. } => handle.set(|options| options.failure_rate = *rate),
        Fault::LieLoad { factor, .. } => {
            handle.set(|options| options.report.load_factor = *factor);
        }
        Fault::LieHealth { healthy, .. } => {
            handle.set(|options| options.report.health = *healthy);
        }
        Fault::KillServer { .. } => handle.crash(),
        Fault::RestartServer { .. } => handle.restart()?,
        _ => {}
    }
    Ok(())
}

fn is_servers_own(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::Slow { .. }
            | Fault::Fail { .. }
            | Fault::LieLoad { .. }
            | Fault::LieHealth { .. }
            | Fault::KillServer { .. }
            | Fault::RestartServer { .. }
    )
}

impl Experiment {
    /// The failure domain of a service's server: they are dealt in turn.
    #[must_use]
    pub fn domain(&self, index: usize) -> FailureDomain {
        self.failure_domains[index % self.failure_domains.len()]
    }
}

/// The settings of one of an experiment's servers; it is the fleet's server of this number.
#[must_use]
pub fn server_options(
    experiment: &Experiment,
    variant: &Variant,
    service: &ServiceOptions,
    number: usize,
) -> server::Options {
    server::Options {
        service: service.name.as_str().into(),
        slots: service.slots,
        connections: service.connections,
        queue: variant.queue.unwrap_or(service.queue),
        endpoints: service.endpoints.clone(),
        child_retries: variant.child_retries,
        child_deadlines: variant.deadlines,
        journal: variant.journal.clone(),
        connect_ms: experiment.connect_ms,
        cold_ms: service.cold_ms,
        cold_factor: service.cold_factor,
        report: server::Report {
            lag_ms: service.report_lag_ms,
            probe_ms: experiment.probe_ms,
            ..Default::default()
        },
        seed: experiment
            .seed
            .wrapping_add(u64::try_from(number).unwrap_or_default()),
        ..Default::default()
    }
}

/// Launches the servers alone: callers and servers choose a server at random.
///
/// # Errors
///
/// Fails where a stand-in cannot listen.
pub fn direct(experiment: &Experiment, variant: &Variant) -> eyre::Result<Fleet> {
    let servers = std::sync::Arc::new(Servers::start(experiment, variant)?);
    servers.join(experiment);
    let ingress = servers.ingress();
    let for_stop = servers.clone();
    Ok(Fleet {
        ingress,
        apply: Box::new(move |fault| match servers.apply(fault)? {
            true => Ok(()),
            false => Err(eyre!("there are no nodes and no platform")),
        }),
        stop: Box::new(move || for_stop.list.iter().for_each(|server| server.handle.stop())),
    })
}

/// A fleet that runs already; it cannot be made to fail from here.
#[must_use]
pub fn running(variant: &Variant) -> Fleet {
    let each = variant.ingress.iter();
    let ingress = each.map(|addr| Ingress {
        addr: *addr,
        service: None,
    });
    Fleet {
        ingress: ingress.collect(),
        apply: Box::new(|fault| Err(eyre!("{fault:?} needs a fleet that this run has launched"))),
        stop: Box::new(|| {}),
    }
}

/// Launches what a variant asks for; `nodes` launches the servers with their nodes.
///
/// # Errors
///
/// Fails where something cannot be started.
pub fn launch(
    experiment: &Experiment,
    variant: &Variant,
    nodes: &LaunchFn<'_>,
) -> eyre::Result<Fleet> {
    match variant.launch {
        Launch::Direct => direct(experiment, variant),
        Launch::Nodes => nodes(experiment, variant),
        Launch::Running => Ok(running(variant)),
    }
}
