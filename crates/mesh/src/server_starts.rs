//! Which start of the backend server a report speaks of.
//!
//! Reports may arrive seconds late, from starts that have ended, or from other writers. A start that is
//! not known yet is therefore used only once the server itself has named its id, or where the server
//! does not answer, once it has reported twice while the known start was silent. The same holds for
//! reports under the known id that look late: one of another writer may have stated a later start or
//! sequence, or the server's clock went back between two starts.
//!
//! A leave is in force at once, and late reports don't end it. Another writer may have announced it:
//! the server is used again where it goes on reporting, and then itself answers that it is healthy,
//! which one that leaves never does. A later start under its id is confirmed in the same way.

use std::collections::VecDeque;

use crate::{Heartbeat, ServerState};

/// The maximum number of unconfirmed starts, and of departed ones, that are remembered.
const MAX_REMEMBERED: usize = 8;

/// How many reports in a row of an unknown start make it the current one while the known start is silent.
const MIN_REPORTS_OF_START: u32 = 2;

/// How many reports in a row, each made after the one before, make the server be asked whether it leaves
/// at all, and replace a start that left. Those that were made before a leave and arrive late are fewer.
const MIN_REPORTS_AFTER_LEAVE: u32 = 4;

/// What a report of the backend server means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is the newest report of the current start.
    Current,
    /// It is older than what is known, or of a start that has announced that it leaves.
    Stale,
    /// It looks late, and says that the server in use leaves. It is not in force and must not be
    /// acknowledged. The server is to be asked for its id.
    StaleDrain,
    /// Its start is the current one from now on.
    Started,
    /// Its start is not known. The server is to be asked for its id.
    Unconfirmed,
}

/// What the id that the server named means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The current start still runs.
    Current,
    /// Another start is the current one from now on: its last report, if it has sent one.
    Started(Option<Heartbeat>),
    /// Another start has the address of the known one. It is used once it reports: only its reports
    /// state its service, and the address may have gone to a server of another one.
    Replaced,
}

#[derive(Debug, Clone)]
struct Current {
    id: String,
    /// When it started, in Unix milliseconds; `None` before its first report.
    started_ms: Option<u64>,
    /// Of the last report; zero before the first.
    sequence: u64,
    /// The newest report under its id that looked late since the last one that did not.
    late: Option<Late>,
    /// The start that was taken for this one before.
    previous: Option<Previous>,
    /// Reports since it left that it is ready.
    after_leave: Option<AfterLeave>,
}

/// Reports of a start that it is ready, although it has announced that it leaves.
#[derive(Debug, Clone)]
struct AfterLeave {
    last: Heartbeat,
    count: u32,
    /// The number of the probe that can confirm the last one.
    probe: u64,
}

/// A report under the current id that looks late.
#[derive(Debug, Clone)]
struct Late {
    started_ms: u64,
    sequence: u64,
    is_draining: bool,
    /// The number of the probe that can refute that it drains: it was not sent before the report arrived.
    probe: u64,
}

/// A start under the current id whose reports stopped while those of another one went on.
#[derive(Debug, Clone)]
struct Previous {
    started_ms: u64,
    sequence: u64,
}

/// A start whose report the server has not confirmed.
#[derive(Debug, Clone)]
struct Candidate {
    /// The last report.
    report: Heartbeat,
    /// Its reports in a row.
    count: u32,
    /// The number of the probe that can confirm it: it was not sent before the report arrived.
    probe: u64,
}

/// Starts under an id that have announced or reported that they leave.
#[derive(Debug, Clone)]
struct Departed {
    id: String,
    /// The last of them started at this time at the latest, in Unix milliseconds.
    started_until_ms: u64,
    /// One of them was the current start.
    was_current: bool,
}

/// The starts of the backend server that a node knows.
#[derive(Debug, Clone, Default)]
pub struct ServerStarts {
    current: Option<Current>,
    candidates: VecDeque<Candidate>,
    departed: VecDeque<Departed>,
    probes_sent: u64,
    /// The server rejected a request because another start than the current one has its address.
    is_replaced: bool,
    /// The current start could not be reached, and has not reported since.
    is_down: bool,
    /// The id that the server named, of a start that has not reported yet.
    named: Option<String>,
}

impl ServerStarts {
    /// Handles a report whose service was checked.
    pub fn on_report(&mut self, report: &Heartbeat) -> ReportOutcome {
        let outcome = self.match_report(report);
        if outcome == ReportOutcome::Current {
            self.on_current(report);
        }
        self.count_after_leave(report);
        if outcome == ReportOutcome::Stale {
            self.on_stale(report)
        } else {
            outcome
        }
    }

    /// The current start runs: only one start has the server's address at a time.
    fn on_current(&mut self, report: &Heartbeat) {
        self.candidates.clear();
        self.is_down = false;
        self.named = None;
        if report.state == ServerState::Draining {
            self.depart(&report.server, report.started_ms, true);
        }
    }

    fn match_report(&mut self, report: &Heartbeat) -> ReportOutcome {
        if self.is_departed(&report.server, Some(report.started_ms)) {
            return self.on_departed_report(report);
        }
        let is_leaving = self.is_leaving();
        let has_ended = self.may_have_ended();
        match &mut self.current {
            Some(current) if current.id == report.server => {
                let is_later = current.started_ms.is_some_and(|it| report.started_ms > it);
                if is_leaving {
                    return ReportOutcome::Unconfirmed;
                }
                if is_later && current.resume(report) {
                    return ReportOutcome::Current;
                }
                if is_later {
                    self.begin(report);
                    return ReportOutcome::Started;
                }
                current.on_report(report)
            }
            _ if self.named.as_deref() == Some(report.server.as_str()) => {
                self.begin(report);
                ReportOutcome::Started
            }
            Some(Current {
                started_ms: Some(known),
                ..
            }) if report.started_ms <= *known && !has_ended => ReportOutcome::Stale,
            _ => self.on_unknown(report),
        }
    }

    /// Handles the announcement that the server with this id leaves, at `unix_ms`. Returns whether it is
    /// the current start.
    pub fn on_leave(&mut self, id: &str, unix_ms: u64) -> bool {
        let current = self.current.as_ref().filter(|it| it.id == id);
        let is_current = current.is_some();
        let started_ms = current.and_then(|it| it.started_ms);
        self.candidates.retain(|it| it.report.server != id);
        self.depart(id, started_ms.unwrap_or(unix_ms), is_current);
        is_current
    }

    /// Remembers that starts under an id leave. Announcements of other writers never push out a leave of
    /// a start that was the current one.
    fn depart(&mut self, id: &str, started_until_ms: u64, was_current: bool) {
        let known = self.departed.iter().position(|it| it.id == id);
        let known = known.and_then(|at| self.departed.remove(at));
        if self.departed.len() == MAX_REMEMBERED {
            let other = self.departed.iter().position(|it| !it.was_current);
            self.departed.remove(other.unwrap_or_default());
        }
        let known_until_ms = known.as_ref().map_or(0, |it| it.started_until_ms);
        self.departed.push_back(Departed {
            id: id.to_owned(),
            started_until_ms: started_until_ms.max(known_until_ms),
            was_current: was_current || known.is_some_and(|it| it.was_current),
        });
    }

    /// Records that the server rejected a request since another start has its address.
    pub fn on_misdirected(&mut self) {
        self.is_replaced = true;
    }

    /// Records that the server could not be reached.
    pub fn on_down(&mut self) {
        self.is_down = true;
    }

    /// Returns whether the server is to be asked for its id.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        let late = self.current.as_ref().and_then(|it| it.late.as_ref());
        let is_refutable = late.is_some_and(|it| it.is_draining);
        self.current.is_none()
            || self.is_replaced
            || is_refutable
            || self.is_leave_doubted()
            || !self.candidates.is_empty()
    }

    /// Returns whether the current start, or a later one under its id, reports that it is ready since it
    /// was announced to leave.
    #[must_use]
    pub fn is_leave_doubted(&self) -> bool {
        self.current.as_ref().is_some_and(Current::is_leave_doubted)
    }

    /// Records that a probe is being sent. Returns its number.
    pub fn on_probe_sent(&mut self) -> u64 {
        self.probes_sent += 1;
        self.probes_sent
    }

    /// Handles the id with which the server answered a probe.
    pub fn on_probed(&mut self, probe: u64, id: &str) -> ProbeOutcome {
        self.is_replaced = false;
        let is_current = match &mut self.current {
            Some(current) if current.id == id => {
                // A server that leaves answers no probes.
                let is_refuted = |it: &mut Late| it.is_draining && it.probe <= probe;
                current.late.take_if(is_refuted);
                self.is_down = false;
                self.named = None;
                true
            }
            _ => false,
        };
        let found = self.candidates.iter().rfind(|it| it.report.server == id);
        let report = found.map(|it| it.report.clone());
        self.candidates.retain(|it| it.probe > probe);
        if is_current {
            return self.on_probed_current(probe);
        }
        match (&report, &mut self.current) {
            (Some(report), _) => self.begin(report),
            (None, Some(current)) => {
                current.late = None;
                current.after_leave = None;
                self.named = Some(id.to_owned());
                self.is_down = true;
                return ProbeOutcome::Replaced;
            }
            (None, None) => self.current = Some(Current::new(id, None)),
        }
        ProbeOutcome::Started(report)
    }

    /// The current start is healthy, so it does not leave. A leave is doubted only where it also goes on
    /// reporting, since a start that was found by its id may be another one.
    fn on_probed_current(&mut self, probe: u64) -> ProbeOutcome {
        let is_doubted = self.is_leave_doubted();
        let current = self.current.as_mut();
        let after_leave = current.and_then(|it| {
            let is_confirmed = |it: &mut AfterLeave| is_doubted && it.probe <= probe;
            it.after_leave.take_if(is_confirmed)
        });
        let Some(AfterLeave { last, .. }) = after_leave else {
            return ProbeOutcome::Current;
        };
        // The leave of an earlier start holds.
        let is_earlier = |it: &Departed| it.started_until_ms < last.started_ms;
        self.departed
            .retain(|it| it.id != last.server || is_earlier(it));
        self.begin(&last);
        ProbeOutcome::Started(Some(last))
    }

    /// Returns whether the current start has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|it| self.is_departed(&it.id, it.started_ms))
    }

    /// A departed start may go on reporting until it ends.
    fn on_departed_report(&mut self, report: &Heartbeat) -> ReportOutcome {
        match &mut self.current {
            Some(current) if current.id == report.server => current.on_report(report),
            _ => ReportOutcome::Stale,
        }
    }

    fn count_after_leave(&mut self, report: &Heartbeat) {
        let is_leaving = self.is_leaving();
        let probe = self.probes_sent + 1;
        let current = self.current.as_mut();
        let Some(current) = current.filter(|it| it.id == report.server) else {
            return;
        };
        if report.state == ServerState::Draining {
            current.after_leave = None;
        } else if is_leaving {
            AfterLeave::count(&mut current.after_leave, report, probe);
        }
    }

    /// Handles a report that looks late. The second one in a row under the current id shows that its
    /// start is the current one, unless that leaves: nothing but a new start ends a leave.
    fn on_stale(&mut self, report: &Heartbeat) -> ReportOutcome {
        let is_departed = self.is_departed(&report.server, Some(report.started_ms));
        let is_leaving = self.is_leaving();
        let Some(current) = self.current.as_mut().filter(|it| it.id == report.server) else {
            return ReportOutcome::Stale;
        };
        if is_leaving {
            return ReportOutcome::Stale;
        }
        if !is_departed && current.on_late(report, self.probes_sent + 1) {
            self.on_current(report);
            return ReportOutcome::Current;
        }
        if report.state == ServerState::Draining {
            ReportOutcome::StaleDrain
        } else {
            ReportOutcome::Stale
        }
    }

    fn on_unknown(&mut self, report: &Heartbeat) -> ReportOutcome {
        let is_same = |it: &Candidate| {
            it.report.server == report.server && it.report.started_ms == report.started_ms
        };
        let known = self.candidates.iter().position(is_same);
        let earlier = known.and_then(|at| self.candidates.remove(at));
        if let Some(earlier) = &earlier
            && report.sequence <= earlier.report.sequence
        {
            push_bounded(&mut self.candidates, earlier.clone());
            return ReportOutcome::Stale;
        }
        let count = earlier.as_ref().map_or(1, |it| it.count.saturating_add(1));
        if count >= self.reports_to_begin() {
            self.begin(report);
            return ReportOutcome::Started;
        }
        push_bounded(
            &mut self.candidates,
            Candidate {
                report: report.clone(),
                count,
                probe: earlier.map_or(self.probes_sent + 1, |it| it.probe),
            },
        );
        ReportOutcome::Unconfirmed
    }

    /// How many reports in a row make an unknown start the current one although the server does not answer.
    /// A start that leaves may be silent while it finishes its requests.
    fn reports_to_begin(&self) -> u32 {
        if self.is_leaving() {
            MIN_REPORTS_AFTER_LEAVE
        } else {
            MIN_REPORTS_OF_START
        }
    }

    fn begin(&mut self, report: &Heartbeat) {
        self.candidates.clear();
        self.is_replaced = false;
        self.is_down = false;
        self.named = None;
        self.current = Some(Current::new(&report.server, Some(report)));
        if report.state == ServerState::Draining {
            self.depart(&report.server, report.started_ms, true);
        }
    }

    /// Whether the current start is expected to get no requests, so that none of them would be rejected by
    /// the next start.
    fn may_have_ended(&self) -> bool {
        self.is_down || self.is_leaving()
    }

    /// Whether a start has announced that it leaves. One that is known by a probe only counts as the
    /// departed one of its id.
    fn is_departed(&self, id: &str, started_ms: Option<u64>) -> bool {
        let departed = self.departed.iter().find(|it| it.id == id);
        departed.is_some_and(|it| started_ms.is_none_or(|started| started <= it.started_until_ms))
    }
}

impl Current {
    /// The start with this id: of this report, or found by a probe.
    fn new(id: &str, report: Option<&Heartbeat>) -> Self {
        Self {
            id: id.to_owned(),
            started_ms: report.map(|it| it.started_ms),
            sequence: report.map_or(0, |it| it.sequence),
            late: None,
            previous: None,
            after_leave: None,
        }
    }

    fn is_leave_doubted(&self) -> bool {
        let is_later = |it: u64| self.started_ms.is_none_or(|known| it > known);
        let after_leave = self.after_leave.as_ref();
        after_leave
            .is_some_and(|it| it.count >= MIN_REPORTS_AFTER_LEAVE || is_later(it.last.started_ms))
    }

    /// Handles a report of this start, or of an earlier one under the same id.
    fn on_report(&mut self, report: &Heartbeat) -> ReportOutcome {
        let is_earlier_start = self.started_ms.is_some_and(|it| report.started_ms < it);
        let is_repeated = self.sequence > 0 && report.sequence <= self.sequence;
        if is_earlier_start || is_repeated {
            return ReportOutcome::Stale;
        }
        self.accept(report);
        ReportOutcome::Current
    }

    /// Handles a report that looks late. Returns whether it is of the current start after all: it
    /// follows another one of its start, and no report of the known one came between.
    fn on_late(&mut self, report: &Heartbeat, probe: u64) -> bool {
        let earlier = self.late.take_if(|it| it.started_ms == report.started_ms);
        match earlier {
            Some(it) if it.sequence < report.sequence => {
                self.previous = self.started_ms.map(|started_ms| Previous {
                    started_ms,
                    sequence: self.sequence,
                });
                self.accept(report);
                true
            }
            Some(it) => {
                self.late = Some(it);
                false
            }
            None => {
                self.late = Some(Late {
                    started_ms: report.started_ms,
                    sequence: report.sequence,
                    is_draining: report.state == ServerState::Draining,
                    probe,
                });
                false
            }
        }
    }

    /// Handles a report of a later start. Returns whether it is the previous one, which runs after all.
    fn resume(&mut self, report: &Heartbeat) -> bool {
        let is_previous =
            |it: &Previous| it.started_ms == report.started_ms && it.sequence < report.sequence;
        let is_resumed = self.previous.as_ref().is_some_and(is_previous);
        if is_resumed {
            self.previous = None;
            self.accept(report);
        }
        is_resumed
    }

    fn accept(&mut self, report: &Heartbeat) {
        self.started_ms = Some(report.started_ms);
        self.sequence = report.sequence;
        self.late = None;
    }
}

impl AfterLeave {
    /// Counts a report, unless it was made before the last one.
    fn count(known: &mut Option<Self>, report: &Heartbeat, probe: u64) {
        let same_start = known
            .as_ref()
            .filter(|it| it.last.started_ms == report.started_ms);
        let count = match same_start {
            Some(it) if it.last.sequence >= report.sequence => return,
            Some(it) => it.count.saturating_add(1),
            None => 1,
        };
        *known = Some(Self {
            last: report.clone(),
            count,
            probe,
        });
    }
}

/// Appends an item, and drops the oldest one where there are too many.
fn push_bounded<T>(items: &mut VecDeque<T>, item: T) {
    if items.len() == MAX_REMEMBERED {
        items.pop_front();
    }
    items.push_back(item);
}
