//! A fleet of the tree's pure parts, driven in virtual time with a delay for every word.

use std::collections::{BTreeMap, HashMap, HashSet};

use cassiashunt_admit::{Priority, chain_admission::Capacity};
use cassiashunt_mesh::{
    LinkWatchOptions, Origin, Sum, SumReport, SumTimes, Sums, Tree, TreePosition,
};
use cassiashunt_types::prelude::*;

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// The delay of a word.
const DELAY: Duration = Duration::from_millis(5);
/// How long a node that did not answer is passed over, as in the node.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// Bytes of a word beside its entries, and of an entry.
const HEAD_BYTES: f64 = 60.0;
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
    station: TreePosition,
    next: Time,
    answered: HashMap<String, Time>,
    passed_over: HashMap<String, Time>,
    fault: Fault,
    demand: f64,
    bytes: f64,
}

enum Word {
    Up {
        is_head: bool,
        told: SumReport,
        origins: Vec<Origin>,
    },
    Down {
        rest: Option<SumReport>,
    },
    Left,
}

struct Sent {
    told_at: Time,
    at: Time,
    from: usize,
    to: usize,
    word: Word,
}

pub struct Fleet {
    now: Time,
    nodes: Vec<Node>,
    index: HashMap<String, usize>,
    sent: Vec<Sent>,
    /// Pairs whose links have been cut, and since when.
    cut: HashMap<(usize, usize), Time>,
    /// Since when a node is dead or paused.
    faulty: HashMap<usize, Time>,
    loss: f64,
    rng: fastrand::Rng,
}

fn service() -> Service {
    "stores".parse().expect("a plain name")
}

fn sum_of(demand: f64) -> Sum {
    let services = (0..4).map(|at| format!("service-{at}").parse().expect("a plain name"));
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
    }
}

impl Fleet {
    pub fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        println!("{size} nodes in {domains} failure domains, seed {seed}");
        let members: Vec<(String, FailureDomain)> = (0..size)
            .map(|at| {
                let domain = format!("domain-{}", at % domains);
                (format!("node-{at}"), domain.parse().expect("a plain name"))
            })
            .collect();
        let now = Time::from_millis(10_000);
        let nodes = members.iter().map(|(name, domain)| Node {
            name: name.clone(),
            domain: *domain,
            tree: Tree::new(name, *domain, members.iter().cloned()),
            sums: Sums::default(),
            station: TreePosition::Head(Vec::new()),
            next: now + Duration::from_millis(rng.u64(..200)),
            answered: HashMap::new(),
            passed_over: HashMap::new(),
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

    /// The silence after which a link counts as lost.
    pub fn silence(&self) -> Duration {
        LinkWatchOptions::default().loss_timeout(false)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for at in 0..self.nodes.len() {
                if self.nodes[at].fault == Fault::None && self.nodes[at].next <= self.now {
                    self.tell(at);
                }
            }
        }
    }

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

    pub fn lose(&mut self, part: f64) {
        self.loss = part;
    }

    pub fn cut_pairs(&mut self, part: f64) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from != to && self.rng.f64() < part {
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

    pub fn heal(&mut self) {
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
        let heads = live.filter(|node| matches!(node.station, TreePosition::Head(_)));
        heads.map(|node| node.name.clone()).collect()
    }

    pub fn station(&self, at: usize) -> TreePosition {
        self.nodes[at].station.clone()
    }

    pub fn nodes_known(&self, name: &str) -> u32 {
        self.nodes[self.index[name]].sums.total().nodes
    }

    pub fn bytes(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| node.bytes).collect()
    }

    /// The most hops from a node to a head of another failure domain.
    pub fn depth(&self) -> usize {
        let above = |at: usize| match &self.nodes[at].station {
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

    /// The live nodes whose sum is off by more than a part of the true one.
    pub fn wrong(&self, part: f64) -> Vec<String> {
        let truth = self.truth();
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        let off = live.filter(|node| (known(node) - truth).abs() > part * truth);
        off.map(|node| format!("{} knows {} of {truth}", node.name, known(node)))
            .collect()
    }

    /// The highest sum that a live node believes, over the true one.
    pub fn highest_over_true(&self) -> f64 {
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        live.map(known).fold(0.0, f64::max) / self.truth()
    }

    fn truth(&self) -> f64 {
        let live = self.nodes.iter().filter(|node| node.fault == Fault::None);
        live.map(|node| node.demand).sum()
    }

    /// Whether `from` has a link to `to`: a cut link counts as up until its silence is over.
    fn has_link(&self, from: usize, to: usize) -> bool {
        let silent_since = [
            self.cut.get(&(from, to)),
            self.cut.get(&(to, from)),
            self.faulty.get(&to),
        ];
        let silent = silent_since.into_iter().flatten().min();
        silent.is_none_or(|since| self.now.since(*since) < self.silence())
    }

    fn reaches(&self, from: usize, name: &str) -> bool {
        let passed_over = self.nodes[from].passed_over.get(name);
        let is_passed_over = passed_over.is_some_and(|at| self.now.since(*at) < PASSED_OVER);
        self.has_link(from, self.index[name]) && !is_passed_over
    }

    fn tell(&mut self, at: usize) {
        let (now, times) = (self.now, SumTimes::default());
        let silent: Vec<_> = self.nodes[at]
            .answered
            .iter()
            .filter(|(_, answered)| now.since(**answered) > times.max_age())
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.nodes[at].passed_over.insert(name, now);
        }
        let station = self.nodes[at].tree.position(|name| self.reaches(at, name));
        let node = &mut self.nodes[at];
        node.next = now + times.report_interval;
        node.answered
            .retain(|name, _| station.recipients().contains(name));
        for name in station.recipients() {
            node.answered.entry(name.clone()).or_insert(now);
        }
        let is_head = matches!(station, TreePosition::Head(_));
        if is_head {
            node.sums.forget_parent();
        }
        let before = std::mem::replace(&mut node.station, station.clone());
        node.sums.set_own(sum_of(node.demand));
        node.sums.expire(now);
        let origins = if is_head {
            Vec::new()
        } else {
            node.sums.origins(now, false)
        };
        let told = node.sums.subtree(false);
        for name in before
            .recipients()
            .iter()
            .filter(|it| !station.recipients().contains(it))
        {
            self.send(at, self.index[name], Word::Left);
        }
        for name in station.recipients() {
            let word = Word::Up {
                is_head,
                told: told.clone(),
                origins: origins.clone(),
            };
            self.send(at, self.index[name], word);
        }
    }

    fn send(&mut self, from: usize, to: usize, word: Word) {
        let size = match &word {
            Word::Up { told, origins, .. } => {
                size_of(told) + origins.iter().map(|it| size_of(&it.report)).sum::<f64>()
            }
            Word::Down { rest } => rest.as_ref().map_or(0.0, size_of),
            Word::Left => 0.0,
        };
        self.nodes[from].bytes += HEAD_BYTES + size;
        self.nodes[to].bytes += HEAD_BYTES + size;
        let is_lost = self.cut.contains_key(&(from, to)) || self.rng.f64() < self.loss;
        if !is_lost {
            let at = self.now + DELAY;
            let told_at = self.now;
            self.sent.push(Sent {
                told_at,
                at,
                from,
                to,
                word,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.at <= now);
        self.sent = later;
        for sent in due {
            match self.nodes[sent.to].fault {
                Fault::None => self.receive(sent),
                Fault::Dead => {}
                // What is sent to a paused process waits for it.
                Fault::Paused => self.sent.push(sent),
            }
        }
    }

    fn receive(&mut self, sent: Sent) {
        let now = self.now;
        let from = self.nodes[sent.from].name.clone();
        let node = &mut self.nodes[sent.to];
        match sent.word {
            Word::Up {
                is_head,
                told,
                origins,
            } => {
                let age = node.sums.report_age(now, &from, sent.told_at);
                let name = from.clone();
                let origin = Origin {
                    name,
                    age,
                    report: told,
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
                let rest = (!is_head).then(|| node.sums.others_for(&from, false));
                self.send(sent.to, sent.from, Word::Down { rest });
            }
            Word::Left => node.sums.on_detached(&from),
            Word::Down { rest } => {
                if let Some(answered) = node.answered.get_mut(&from) {
                    *answered = now;
                }
                if let Some(rest) = rest.filter(|_| node.station == TreePosition::Member(from)) {
                    node.sums.on_parent(now, rest);
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

fn size_of(told: &SumReport) -> f64 {
    ENTRY_BYTES * (told.sum.capacities.len() + told.sum.demand.len()) as f64
}
