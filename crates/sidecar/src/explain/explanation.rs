//! What would become of a request now, as data and as text.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// The node that was asked.
    pub node: String,
    /// Method, host and path.
    pub request: String,
    /// Whether the node can prove that its table is the newest.
    pub is_in_touch: bool,
    /// The version of the table in force; 0 for none.
    pub table_version: u64,
    /// What would become of it.
    pub fate: Fate,
    /// Its route, if there is one.
    pub route: Option<RouteView>,
    /// Its workspace and limit, if it has one.
    pub workspace: Option<WorkspaceView>,
    /// Its price at each service that its chain uses.
    pub prices: Vec<Price>,
    /// The servers of the services that its route names.
    pub servers: Vec<ServerView>,
}

/// What would become of a request.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case", tag = "is")]
pub enum Fate {
    /// It would be sent to a server.
    #[default]
    Sent,
    /// A part of such requests would be sent.
    Partly {
        /// The service whose room is short.
        bottleneck: String,
        /// The part of its workspace's requests that is let in.
        fraction: f64,
        /// When room for all is expected.
        room_in: Duration,
    },
    /// It would be refused.
    Refused {
        /// The status of the answer.
        status: u16,
        /// The stable code of the reason.
        reason: &'static str,
        /// What it rests on.
        because: String,
    },
}

/// A route.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteView {
    /// Its name.
    pub name: String,
    /// The host and the beginning of its paths.
    pub matches: String,
    /// Whether its requests may run more than once.
    pub may_repeat: bool,
    /// Its rank; 0 is the most important.
    pub rank: u8,
    /// The priority of this request; greater is more urgent.
    pub priority: u8,
    /// Its latency objective.
    pub objective: Duration,
    /// Its time limit.
    pub timeout: Duration,
    /// Its services, each with its part of the requests.
    pub targets: Vec<(String, f64)>,
}

/// A workspace, and its limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceView {
    /// Its name.
    pub name: String,
    /// Its rank; 0 is the most important.
    pub rank: u8,
    /// Requests per second over all nodes; 0 for no limit.
    pub rate: f64,
    /// Requests that may exceed the rate.
    pub burst: f64,
    /// Requests that this node could let in now without asking another.
    pub tokens: f64,
}

/// The price of a request at a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Price {
    /// The service.
    pub service: String,
    /// The slot time that the request is expected to take there.
    pub slot_time: Duration,
    /// The slots of the service.
    pub slots: f64,
    /// Requests that run or wait there.
    pub busy: f64,
    /// The part of its priority that is let in there.
    pub admitted: f64,
}

/// A server, as the node would choose by it.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerView {
    /// Its service.
    pub service: String,
    /// The node beside it.
    pub owner: String,
    /// Its failure domain.
    pub domain: String,
    /// Its slots.
    pub slots: u32,
    /// The part of its slots that is in use, as far as this node knows.
    pub utilisation: f64,
    /// What it is chosen by: the least cost first.
    pub cost: f64,
    /// Why it is left out; `None` if it may be chosen.
    pub left_out: Option<&'static str>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request    {}", self.request)?;
        let touch = if self.is_in_touch {
            "in touch"
        } else {
            "not in touch"
        };
        let Self {
            node,
            table_version,
            ..
        } = self;
        writeln!(
            f,
            "node       {node}, {touch}, table version {table_version}"
        )?;
        writeln!(f, "fate       {}", self.fate)?;
        if let Some(route) = &self.route {
            write!(f, "{route}")?;
        }
        if let Some(workspace) = &self.workspace {
            writeln!(f, "{workspace}")?;
        }
        for price in &self.prices {
            writeln!(f, "{price}")?;
        }
        for server in &self.servers {
            writeln!(f, "{server}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Fate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent => f.write_str("sent to a server"),
            Self::Partly {
                bottleneck,
                fraction,
                room_in,
            } => write!(
                f,
                "{:.0}% of such requests sent, the others refused with 503 shed: \
                 {bottleneck} is short of room, for {} more as expected",
                fraction * 100.0,
                Millis(*room_in)
            ),
            Self::Refused {
                status,
                reason,
                because,
            } => write!(f, "refused with {status} {reason}: {because}"),
        }
    }
}

impl fmt::Display for RouteView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let repeat = if self.may_repeat {
            "may repeat"
        } else {
            "runs once at most"
        };
        writeln!(
            f,
            "route      {} ({}), {repeat}, rank {}, priority {}, objective {}, time limit {}",
            self.name,
            self.matches,
            self.rank,
            self.priority,
            Millis(self.objective),
            Millis(self.timeout)
        )?;
        for (service, part) in &self.targets {
            writeln!(
                f,
                "target     {service}, {:.0}% of the requests",
                part * 100.0
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for WorkspaceView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            rank,
            rate,
            burst,
            tokens,
        } = self;
        write!(f, "workspace  {name}, rank {rank}, ")?;
        if *rate > 0.0 {
            write!(
                f,
                "limit {rate}/s and {burst} in a burst, {tokens:.1} at this node now"
            )
        } else {
            f.write_str("no limit")
        }
    }
}

impl fmt::Display for Price {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "price      {}: {} of a slot, {:.0} of {:.0} slots busy, {:.0}% of its priority let in",
            self.service,
            Millis(self.slot_time),
            self.busy,
            self.slots,
            self.admitted * 100.0
        )
    }
}

impl fmt::Display for ServerView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            owner,
            domain,
            slots,
            utilisation,
            cost,
            left_out,
        } = self;
        write!(
            f,
            "server     {service} at {owner} in {domain}: {:.0}% of {slots} slots, ",
            utilisation * 100.0
        )?;
        match left_out {
            None => write!(f, "cost {cost:.3}"),
            Some(reason) => write!(f, "left out: {reason}"),
        }
    }
}

/// A span in whole milliseconds.
struct Millis(Duration);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}
