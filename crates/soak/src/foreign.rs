//! Another writer: what it tells nodes, leaves in the store, and states in requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, ask, open};
use fastrand::Rng;
use serde_json::{Value, json};

use crate::site::{Member, SERVICES, Site};

/// The prefix of the nodes' entries in the store.
const ENTRIES: &str = "cassiashunt/nodes/";
/// Names of entries that no node has.
const MADE_UP_ENTRIES: u32 = 8;
/// The pause between two writings, in milliseconds.
const WRITING_PAUSE_MS: std::ops::Range<u64> = 2..12;
/// The most bytes that can't be read.
const MAX_NOISE_BYTES: usize = 300;

/// What another writer writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writing {
    /// Status reports, to one node.
    Reports,
    /// Leaves of servers that do not exist, to one node.
    Leaves,
    /// Entries of nodes that do not exist.
    MadeUpEntries,
    /// Entries in place of one node's own.
    ReplacedEntries,
}

impl Writing {
    pub(crate) const ALL: [Self; 4] = [
        Self::Reports,
        Self::Leaves,
        Self::MadeUpEntries,
        Self::ReplacedEntries,
    ];

    /// Writes one after the other about a node for so long, as drawn from a seed.
    pub(crate) fn play(self, site: &Site, at: usize, seed: u64, span: Duration) {
        let mut rng = Rng::with_seed(seed);
        let until = Instant::now() + span;
        let member = &site.members[at];
        while Instant::now() < until {
            match self {
                Self::Reports => {
                    let (id, body) = report(member, &mut rng);
                    tell(member, "instances.heartbeat", &id, body);
                }
                Self::Leaves => tell(member, "instances.leave", &odd_name(&mut rng), Vec::new()),
                Self::MadeUpEntries => {
                    let (name, service) = (rng.u32(..MADE_UP_ENTRIES), odd_name(&mut rng));
                    write_entry(site, &format!("x{name:06x}"), at, service, &mut rng);
                }
                Self::ReplacedEntries => {
                    let service = match rng.bool() {
                        true => SERVICES[rng.usize(..SERVICES.len())].into(),
                        false => odd_name(&mut rng),
                    };
                    write_entry(site, &format!("node-{at}"), at, service, &mut rng);
                }
            }
            thread::sleep(Duration::from_millis(rng.u64(WRITING_PAUSE_MS)));
        }
    }
}

/// Fields that the system sets itself, as a client may state them.
pub(crate) fn stated_fields() -> Vec<(String, String)> {
    let mut rng = Rng::new();
    let names = [
        ["X-Caller-Service", "x-caller-service", "X-CALLER-SERVICE"],
        ["X-Tenant", "x-tenant", "X-TENANT"],
        [
            "X-Expected-Instance",
            "x-expected-instance",
            "X-EXPECTED-INSTANCE",
        ],
    ];
    let mut fields = Vec::new();
    for _ in 0..rng.usize(..4) {
        let name = names[rng.usize(..names.len())][rng.usize(..3)];
        let value = match rng.u8(..3) {
            0 => odd_name(&mut rng),
            1 => SERVICES[rng.usize(..SERVICES.len())].into(),
            _ => String::new(),
        };
        fields.push((name.into(), value));
    }
    fields
}

/// A name that the site doesn't have.
fn odd_name(rng: &mut Rng) -> String {
    format!("x{:06x}", rng.u32(..1 << 24))
}

/// The id and body of a report that is not the server's own. Under the server's own id it never has all
/// fields and the node's service.
fn report(member: &Member, rng: &mut Rng) -> (String, Vec<u8>) {
    let is_own_id = rng.bool();
    let id = match is_own_id {
        true => member.server.id.clone(),
        false => odd_name(rng),
    };
    let service = match rng.u8(..4) {
        0 if !is_own_id => member.service.to_owned(),
        1 => other_service(member).to_owned(),
        _ => odd_name(rng),
    };
    let numbers = [0, 1, 2, unix_ms(), u64::MAX];
    let mut body = json!({
        "address": member.server.address().to_string(),
        "born": numbers[rng.usize(..numbers.len())],
        "details": {"service": service, "version": "v1", "zone": "east", "slots": 8},
        "status": {
            "state": "ready",
            "sequence": numbers[rng.usize(..numbers.len())],
            "warmup_left_ms": 0,
        },
    });
    match rng.u8(..4) {
        0 => spoil(&mut body, &["address", "born", "details", "status"], rng),
        1 => return (id, noise(rng)),
        _ => {}
    }
    (id, body.to_string().into_bytes())
}

fn other_service(member: &Member) -> &'static str {
    let mut others = SERVICES.iter().filter(|it| **it != member.service);
    others.next().copied().unwrap_or_default()
}

/// Takes one of the fields away, or gives it another type.
fn spoil(value: &mut Value, fields: &[&str], rng: &mut Rng) {
    let types = [json!(null), json!([]), json!(-1), json!(true), json!(1.5)];
    let field = fields[rng.usize(..fields.len())];
    if let Some(object) = value.as_object_mut() {
        object.remove(field);
        if rng.bool() {
            object.insert(field.into(), types[rng.usize(..types.len())].clone());
        }
    }
}

fn noise(rng: &mut Rng) -> Vec<u8> {
    (0..rng.usize(..MAX_NOISE_BYTES))
        .map(|_| rng.u8(..))
        .collect()
}

/// Writes an entry under a name, made from that of one of the nodes, with this service.
fn write_entry(site: &Site, name: &str, at: usize, service: String, rng: &mut Rng) {
    let of = match rng.bool() {
        true => at,
        false => rng.usize(..site.members.len()),
    };
    let entry = site.store.value(&format!("{ENTRIES}node-{of}"));
    let entry = entry.and_then(|it| serde_json::from_slice::<Value>(&it).ok());
    let value = match (rng.u8(..4), entry) {
        (0, _) | (_, None) => noise(rng),
        (1, Some(mut entry)) => {
            spoil(&mut entry, &["incarnation", "address", "domain"], rng);
            spoil(&mut entry, &["service", "slots", "state"], rng);
            entry.to_string().into_bytes()
        }
        (_, Some(mut entry)) if entry.is_object() => {
            entry["service"] = service.into();
            if rng.bool() {
                entry["address"] = "127.0.0.1:9".into();
            }
            entry.to_string().into_bytes()
        }
        (_, Some(_)) => b"{}".to_vec(),
    };
    site.store.put_bytes(&format!("{ENTRIES}{name}"), &value);
}

fn tell(member: &Member, call: &str, id: &str, body: Vec<u8>) {
    let request = Request {
        method: "POST",
        target: format!("/-/rpc?call={call}&of={id}"),
        body,
        ..Request::default()
    };
    // The node may be stopped, and what it answers is not judged.
    let _ = open(member.heartbeats).and_then(|mut it| ask(&mut it, &request.encode()));
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed();
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
