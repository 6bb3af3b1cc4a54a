//! Whether this node may go on acting on what it last knew.

use cassiashunt_control::{
    Control, FreshnessTracker, Heads, Relay, freshness,
    msg::{HandOver, Report},
    relay::{Action, Event as RelayEvent},
};
use cassiashunt_member::Event as MemberEvent;
use cassiashunt_ring::Ring;
use cassiashunt_types::prelude::*;
use prost::Message as _;

use super::{
    membership::Membership,
    message::Attested,
    platform::{Answer, ControlEdit, Request},
};
use crate::shared::Shared;

/// The age of the platform's answer up to which a relay attests it.
const PLATFORM_AGE: Duration = Duration::from_millis(1_500);

/// Relay and freshness of one node.
pub(super) struct Freshness {
    relay: Relay,
    touch: FreshnessTracker,
    calls: Ring<Request>,
    is_attesting: bool,
}

/// What the control thread is to do besides.
pub(super) enum Step {
    /// Send a relay's role to the node that takes it.
    HandOver(HandOver),
    /// The platform holds an older table than this node.
    Reverted,
}

impl Freshness {
    pub(super) fn new(shared: &Shared, calls: Ring<Request>) -> Self {
        let freshness = Duration::from_millis(shared.settings.times.freshness_ms);
        let opts = freshness::Options {
            freshness,
            ..Default::default()
        };
        Self {
            relay: Relay::new(shared.id, Default::default()),
            touch: FreshnessTracker::new(opts),
            calls,
            is_attesting: false,
        }
    }

    /// The control value in force.
    pub(super) fn control(&self) -> &Control {
        self.touch.control()
    }

    /// The newest revisions that anybody told of.
    pub(super) fn newest(&self) -> Heads {
        self.touch.newest()
    }

    /// The node that bears a relay's role.
    pub(super) fn bearer(&self, relay: NodeId) -> NodeId {
        self.touch.bearer(relay)
    }

    /// The roles that this node bears and that vouch, with the revisions applied.
    pub(super) fn applied(&self) -> Vec<cassiashunt_control::msg::Applied> {
        self.relay.applied()
    }

    pub(super) fn is_relay(&self) -> bool {
        self.relay.is_relay()
    }

    pub(super) fn tick(&mut self, shared: &Shared, membership: &mut Membership) -> Vec<Step> {
        let mut steps = self.on_relay(shared, RelayEvent::Tick);
        self.attest(shared, membership);
        steps.extend(self.hear(shared, membership));
        self.publish(shared);
        steps
    }

    /// Takes in what the platform holds.
    pub(super) fn on_answer(&mut self, shared: &Shared, answer: &Answer) -> Vec<Step> {
        match answer {
            Answer::Heads { asked, heads, .. } => {
                let (asked, heads) = (*asked, *heads);
                self.on_relay(shared, RelayEvent::HeadsRead { asked, heads })
            }
            Answer::ReadFailed => self.on_relay(shared, RelayEvent::ReadFailed),
            _ => Vec::new(),
        }
    }

    /// Puts a control value in force; an older one is ignored.
    pub(super) fn apply_control(&mut self, shared: &Shared, control: &Control) -> Vec<Step> {
        if control.revision <= self.control().revision {
            return Vec::new();
        }
        log::info!(event = "control-in-force", revision = control.revision.0; "");
        self.touch.apply_control(control);
        shared.set_control(control);
        self.on_relay(shared, RelayEvent::Control(control.clone()))
    }

    /// A table revision is in force at this node.
    pub(super) fn apply_table(&mut self, shared: &Shared, revision: Revision) -> Vec<Step> {
        self.touch.apply_table(revision);
        let steps = self.on_relay(shared, RelayEvent::Table(revision));
        self.publish(shared);
        steps
    }

    /// Another node hands a relay's role to this one.
    pub(super) fn handed_over(&mut self, shared: &Shared, msg: HandOver) -> Vec<Step> {
        self.on_relay(shared, RelayEvent::HandedOver(msg))
    }

    /// Gives this node's roles away before a planned stop.
    pub(super) fn stop(&mut self, shared: &Shared, membership: &Membership) -> Vec<Step> {
        let domain = shared.settings.node.failure_domain;
        let mut others = membership
            .members
            .live()
            .filter(|record| record.id != shared.id);
        let to = others.find(|record| record.domain == domain && record.phase.takes_work());
        let to = to.map(|record| record.id);
        self.on_relay(shared, RelayEvent::Stop { to })
    }

    fn on_relay(&mut self, shared: &Shared, event: RelayEvent) -> Vec<Step> {
        let now = shared.clock.now();
        let actions = self.relay.on(now, event);
        actions
            .into_iter()
            .filter_map(|action| self.act(action))
            .collect()
    }

    fn act(&mut self, action: Action) -> Option<Step> {
        match action {
            Action::ReadHeads => self.call(Request::ReadHeads),
            Action::PrunePrevious { domain, relay } => {
                let known = self.control().clone();
                let edit = ControlEdit::Settle { domain, relay };
                self.call(Request::EditControl { known, edit });
            }
            Action::HandOver(msg) => return Some(Step::HandOver(msg)),
            Action::Reverted { found, known } => {
                log::error!(event = "platform-reverted", found:? = found, known:? = known; "");
                if found.control < known.control {
                    let known = self.control().clone();
                    self.call(Request::EditControl {
                        known,
                        edit: ControlEdit::Restore,
                    });
                }
                return (found.table < known.table).then_some(Step::Reverted);
            }
        }
        None
    }

    fn call(&self, req: Request) {
        if self.calls.push(req).is_err() {
            log::warn!(event = "platform-ring-full"; "the call is made later");
        }
    }

    /// Attests this node's roles. The platform's age, where it is young enough, dates the whole
    /// attestation, so that its contents stay the same from one read to the next.
    fn attest(&mut self, shared: &Shared, membership: &mut Membership) {
        let now = shared.clock.now();
        let mut reports = self.relay.reports(now);
        if reports.is_empty() {
            if std::mem::take(&mut self.is_attesting) {
                membership.on(shared, MemberEvent::StopAttesting);
            }
            return;
        }
        for report in &reports {
            self.touch.on_report(now, now, report);
        }
        let age = reports.iter().find_map(|report| report.platform_age_micros);
        let age = age
            .map(Duration::from_micros)
            .filter(|age| *age < PLATFORM_AGE);
        for report in &mut reports {
            report.platform_age_micros = age.map(|_| 0);
        }
        self.is_attesting = true;
        let at = age.map_or(now, |age| now.before(age));
        let body = Attested { reports }.encode_to_vec();
        membership.on(shared, MemberEvent::Attest { body, at });
    }

    /// Takes in what the other relays attest.
    fn hear(&mut self, shared: &Shared, membership: &Membership) -> Vec<Step> {
        let now = shared.clock.now();
        let mut heard: Vec<Report> = Vec::new();
        for attestation in membership.members.attestations(now) {
            if attestation.node == shared.id {
                continue;
            }
            let Ok(attested) = Attested::decode(attestation.body) else {
                continue;
            };
            let age = u64::try_from(attestation.age.as_micros()).unwrap_or(u64::MAX);
            heard.extend(
                attested
                    .reports
                    .into_iter()
                    .map(|report| older(report, age)),
            );
        }
        let mut steps = Vec::new();
        for report in heard {
            self.touch.on_report(now, now, &report);
            steps.extend(self.on_relay(shared, RelayEvent::ReportReceived(report)));
        }
        steps
    }

    fn publish(&self, shared: &Shared) {
        let applied = Heads {
            table: shared.config.revision(),
            control: self.control().revision,
        };
        let until = self
            .touch
            .in_touch(applied)
            .map_or(Time::ZERO, |touch| touch.until);
        shared.control.set_in_touch_until(until);
    }
}

/// The report `age_micros` later.
fn older(report: Report, age_micros: u64) -> Report {
    Report {
        age_micros: report.age_micros.saturating_add(age_micros),
        platform_age_micros: report
            .platform_age_micros
            .map(|age| age.saturating_add(age_micros)),
        ..report
    }
}
