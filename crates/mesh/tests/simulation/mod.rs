//! A simulated fleet of `Tree` and `Sums`, run in virtual time with a delay for every message.

use std::collections::{BTreeMap, HashMap, HashSet};

use cassiashunt_admit::{Priority, chain_admission::Capacity};
use cassiashunt_mesh::{
    LinkWatchOptions, Origin, Sum, SumReport, SumTimes, Sums, Tree, TreePosition,
};
use cassiashunt_types::prelude::*;

/// The step by which virtual time advances.
const TIME_STEP: Duration = Duration::from_millis(5);
/// The time from sending to arrival of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(5);
/// How long a node that did not answer is not reported to, as in the sidecar.
const SKIP_DURATION: Duration = Duration::from_secs(2);
/// The size of a message without its entries, and of an entry.
const MESSAGE_OVERHEAD_BYTES: f64 = 60.0;
const ENTRY_BYTES: f64 = 14.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Dead,
    Paused,
}

struct Node {
    name: String,
    domain: FailureDomain,
    tree: Tree,
    sums: Sums,
    position: TreePosition,
    next_report: Time,
    answered: HashMap<String, Time>,
    skipped: HashMap<String, Time>,
    fault: Fault,
    demand: f64,
    bytes: f64,
}

enum Message {
    Up {
        is_head: bool,
        sum: SumReport,
        origins: Vec<Origin>,
    },
    Down {
        others: Option<SumReport>,
    },
    Detach,
}

struct Sent {
    sent_at: Time,
    arrives_at: Time,
    from: usize,
    to: usize,
    message: Message,
}

pub struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    index: HashMap<String, usize>,
    sent: Vec<Sent>,
    /// Ordered pairs of nodes between which messages are lost, and since when.
    cut: HashMap<(usize, usize), Time>,
    /// Dead and paused nodes, and since when.
    faulty: HashMap<usize, Time>,
    loss: f64,
    rng: fastrand::Rng,
}

fn service() -> Service {
    "stores".parse().expect("a valid name")
}

fn sum_of(demand: f64) -> Sum {
    let services = (0..4).map(|at| format!("service-{at}").parse().expect("a valid name"));
    let mut capacities: BTreeMap<Service, Capacity> =
        services.map(|it| (it, Capacity::default())).collect();
    let capacity = Capacity {
        slots: 10.0,
        busy: 4.0,
    };
    capacities.insert(service(), capacity);
    let demand = (0..3).map(|priority| ((Priority(priority), service()), demand));
    Sum {
        nodes: 1,
        capacities,
        demand: demand.collect(),
        ..Sum::default()
    }
}

impl Fleet {
    pub fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        println!("{size} nodes in {domains} failure domains, seed {seed}");
        let members: Vec<(String, FailureDomain)> = (0..size)
            .map(|at| {
                let domain = format!("domain-{}", at % domains);
                (format!("node-{at}"), domain.parse().expect("a valid name"))
            })
            .collect();
        let now = Time::from_millis(10_000);
        let nodes = members.iter().map(|(name, domain)| Node {
            name: name.clone(),
            domain: *domain,
            tree: Tree::new(name, *domain, members.iter().cloned()),
            sums: Sums::default(),
            position: TreePosition::Head(Vec::new()),
            next_report: now + Duration::from_millis(rng.u64(..200)),
            answered: HashMap::new(),
            skipped: HashMap::new(),
            fault: Fault::None,
            demand: 1.0,
            bytes: 0.0,
        });
        let nodes: Vec<_> = nodes.collect();
        let names = members.into_iter().enumerate();
        Self {
            now,
            index: names.map(|(at, (name, _))| (name, at)).collect(),
            nodes,
            sent: Vec::new(),
            cut: HashMap::new(),
            faulty: HashMap::new(),
            loss: 0.0,
            rng,
        }
    }

    /// The time without a message after which a link counts as lost.
    pub fn loss_timeout(&self) -> Duration {
        LinkWatchOptions::default().loss_timeout(false)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TIME_STEP;
            self.deliver();
            for at in 0..self.nodes.len() {
                if self.nodes[at].fault == Fault::None && self.nodes[at].next_report <= self.now {
                    self.report(at);
                }
            }
        }
    }

    /// Sets or clears the fault of a node.
    pub fn set(&mut self, name: &str, fault: Fault) {
        let at = self.index[name];
        self.nodes[at].fault = fault;
        self.faulty.remove(&at);
        if fault != Fault::None {
            self.faulty.insert(at, self.now);
        }
    }

    pub fn set_demand(&mut self, demand: f64) {
        self.nodes.iter_mut().for_each(|node| node.demand = demand);
    }

    pub fn set_loss(&mut self, fraction: f64) {
        self.loss = fraction;
    }

    pub fn cut_pairs(&mut self, fraction: f64) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from != to && self.rng.f64() < fraction {
                    self.cut.insert((from, to), self.now);
                }
            }
        }
    }

    pub fn cut_domain(&mut self, domain: usize) {
        let inside: HashSet<usize> = self
            .names_of(domain)
            .iter()
            .map(|it| self.index[it])
            .collect();
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if inside.contains(&from) != inside.contains(&to) {
                    self.cut.insert((from, to), self.now);
                }
            }
        }
    }

    pub fn restore_links(&mut self) {
        self.cut.clear();
    }

    pub fn names_of(&self, domain: usize) -> Vec<String> {
        let domain = format!("domain-{domain}");
        let nodes = self.nodes.iter();
        let inside = nodes.filter(|node| node.domain.as_str() == domain);
        inside.map(|node| node.name.clone()).collect()
    }

    pub fn heads(&self) -> Vec<String> {
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        let heads = live.filter(|node| matches!(node.position, TreePosition::Head(_)));
        heads.map(|node| node.name.clone()).collect()
    }

    pub fn position(&self, at: usize) -> TreePosition {
        self.nodes[at].position.clone()
    }

    pub fn nodes_known(&self, name: &str) -> u32 {
        self.nodes[self.index[name]].sums.total().nodes
    }

    pub fn bytes(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| node.bytes).collect()
    }

    /// The maximum number of hops from a node to the head of another failure domain.
    pub fn depth(&self) -> usize {
        let above = |at: usize| match &self.nodes[at].position {
            TreePosition::Member(parent) => Some(self.index[parent]),
            TreePosition::Head(_) => None,
        };
        let depth = |mut at: usize| {
            let mut hops = 1;
            while let Some(parent) = above(at) {
                at = parent;
                hops += 1;
            }
            hops
        };
        (0..self.nodes.len()).map(depth).max().unwrap_or_default()
    }

    /// The live nodes whose sum differs from the true one by more than `fraction` of it.
    pub fn inaccurate(&self, fraction: f64) -> Vec<String> {
        let true_sum = self.true_sum();
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        let off = live.filter(|node| (known(node) - true_sum).abs() > fraction * true_sum);
        off.map(|node| format!("{}: sum {}, true sum {true_sum}", node.name, known(node)))
            .collect()
    }

    /// The highest sum known to a live node, divided by the true one.
    pub fn highest_ratio_to_true(&self) -> f64 {
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        live.map(known).fold(0.0, f64::max) / self.true_sum()
    }

    fn true_sum(&self) -> f64 {
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        live.map(|node| node.demand).sum()
    }

    /// Whether `from` has a link to `to`. A cut link counts as up until its time-out has passed.
    fn has_link(&self, from: usize, to: usize) -> bool {
        let lost_since = [
            self.cut.get(&(from, to)),
            self.cut.get(&(to, from)),
            self.faulty.get(&to),
        ];
        let since = lost_since.into_iter().flatten().min();
        since.is_none_or(|since| self.now.since(*since) < self.loss_timeout())
    }

    fn is_reachable(&self, from: usize, name: &str) -> bool {
        let skipped = self.nodes[from].skipped.get(name);
        let is_skipped = skipped.is_some_and(|at| self.now.since(*at) < SKIP_DURATION);
        self.has_link(from, self.index[name]) && !is_skipped
    }

    fn report(&mut self, at: usize) {
        let (now, times) = (self.now, SumTimes::default());
        let unanswered: Vec<_> = self.nodes[at]
            .answered
            .iter()
            .filter(|(_, answered)| now.since(**answered) > times.max_age())
            .map(|(name, _)| name.clone())
            .collect();
        for name in unanswered {
            self.nodes[at].skipped.insert(name, now);
        }
        let position = self.nodes[at]
            .tree
            .position(|name| self.is_reachable(at, name));
        let node = &mut self.nodes[at];
        node.next_report = now + times.report_interval;
        node.answered
            .retain(|name, _| position.recipients().contains(name));
        for name in position.recipients() {
            node.answered.entry(name.clone()).or_insert(now);
        }
        let is_head = matches!(position, TreePosition::Head(_));
        if is_head {
            node.sums.forget_parent();
        }
        let before = std::mem::replace(&mut node.position, position.clone());
        node.sums.set_own(sum_of(node.demand));
        node.sums.expire(now);
        let origins = if is_head {
            Vec::new()
        } else {
            node.sums.origins(now, false)
        };
        let sum = node.sums.subtree(false);
        for name in before
            .recipients()
            .iter()
            .filter(|it| !position.recipients().contains(it))
        {
            self.send(at, self.index[name], Message::Detach);
        }
        for name in position.recipients() {
            let message = Message::Up {
                is_head,
                sum: sum.clone(),
                origins: origins.clone(),
            };
            self.send(at, self.index[name], message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let size = match &message {
            Message::Up { sum, origins, .. } => {
                size_of(sum) + origins.iter().map(|it| size_of(&it.report)).sum::<f64>()
            }
            Message::Down { others } => others.as_ref().map_or(0.0, size_of),
            Message::Detach => 0.0,
        };
        self.nodes[from].bytes += MESSAGE_OVERHEAD_BYTES + size;
        self.nodes[to].bytes += MESSAGE_OVERHEAD_BYTES + size;
        let is_lost = self.cut.contains_key(&(from, to)) || self.rng.f64() < self.loss;
        if !is_lost {
            let arrives_at = self.now + MESSAGE_DELAY;
            let sent_at = self.now;
            self.sent.push(Sent {
                sent_at,
                arrives_at,
                from,
                to,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.arrives_at <= now);
        self.sent = later;
        for sent in due {
            match self.nodes[sent.to].fault {
                Fault::None => self.receive(sent),
                Fault::Dead => {}
                // Messages to a paused process are queued until it resumes.
                Fault::Paused => self.sent.push(sent),
            }
        }
    }

    fn receive(&mut self, sent: Sent) {
        let now = self.now;
        let from = self.nodes[sent.from].name.clone();
        let node = &mut self.nodes[sent.to];
        match sent.message {
            Message::Up {
                is_head,
                sum,
                origins,
            } => {
                let age = node.sums.report_age(now, &from, sent.sent_at);
                let name = from.clone();
                let origin = Origin {
                    name,
                    age,
                    report: sum,
                };
                if is_head {
                    node.sums.on_origin(now, origin);
                } else {
                    node.sums.on_child(now, origin);
                }
                for mut origin in origins {
                    origin.age += age;
                    node.sums.on_origin(now, origin);
                }
                node.sums.expire(now);
                let others = (!is_head).then(|| node.sums.others_for(&from, false));
                self.send(sent.to, sent.from, Message::Down { others });
            }
            Message::Detach => node.sums.on_detached(&from),
            Message::Down { others } => {
                if let Some(answered) = node.answered.get_mut(&from) {
                    *answered = now;
                }
                if let Some(others) = others.filter(|_| node.position == TreePosition::Member(from))
                {
                    node.sums.on_parent(now, others);
                }
            }
        }
    }
}

fn known(node: &Node) -> f64 {
    let total = node.sums.total();
    total
        .demand
        .get(&(Priority(0), service()))
        .copied()
        .unwrap_or_default()
}

fn size_of(report: &SumReport) -> f64 {
    ENTRY_BYTES * (report.sum.capacities.len() + report.sum.demand.len()) as f64
}
