//! Runs an experiment: every variant in turn, each on the same schedule.

use std::{
    io::{IsTerminal, Write},
    path::PathBuf,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::server::Journal;
use eyre::{WrapErr, eyre};

use crate::{
    Experiment, Fleet, Outcome, Sample,
    client::{Call, Client},
    experiment::{Retries, RetryMode, Variant},
    fleet::{self, LaunchFn},
    history::{History, request_id},
    plot,
    report::{Comparison, Report},
    schedule::{Arrival, schedule},
    table,
};

/// The stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// How often progress is shown.
const PROGRESS_EVERY: Duration = Duration::from_secs(1);
/// How long the callers sleep before the first intended time, to be ready for it.
const LEAD_IN: Duration = Duration::from_millis(300);

/// How an experiment is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The directory for the table, the JSON lines and the plots; none are written where absent.
    pub out: Option<PathBuf>,
    /// How often each variant is run; the variants take turns.
    pub repeats: u32,
    /// The only variants to run, by name; all where empty.
    pub only: Vec<String>,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            out: None,
            repeats: 1,
            only: Vec::new(),
            progress: true,
        }
    }
}

/// Runs an experiment and writes its output; `nodes` launches servers with their nodes.
///
/// Each repeat has a schedule of its own seed, which all variants share.
///
/// # Errors
///
/// Fails where a fleet cannot be launched, a variant is unknown, or output cannot be written.
pub fn run(
    experiment: &Experiment,
    options: &Options,
    nodes: &LaunchFn<'_>,
) -> eyre::Result<Comparison> {
    let variants = chosen(experiment, &options.only)?;
    let mut comparison = Comparison::new(experiment);
    for repeat in 0..options.repeats {
        let seed = experiment.seed.wrapping_add(u64::from(repeat));
        let arrivals = schedule(experiment, seed);
        for variant in &variants {
            let turn = Turn {
                experiment,
                variant,
                arrivals: &arrivals,
                seed,
                progress: options.progress,
            };
            let report = turn
                .run(nodes)
                .wrap_err_with(|| format!("variant {}", variant.name))?;
            comparison.reports.push(Report { repeat, ..report });
        }
    }
    if let Some(out) = &options.out {
        write_output(&comparison, out)?;
    }
    Ok(comparison)
}

fn chosen<'a>(experiment: &'a Experiment, only: &[String]) -> eyre::Result<Vec<&'a Variant>> {
    if only.is_empty() {
        return Ok(experiment.variants.iter().collect());
    }
    let named = only.iter().map(|name| {
        let found = experiment
            .variants
            .iter()
            .find(|variant| variant.name == *name);
        found.ok_or_else(|| eyre!("there is no variant {name:?}"))
    });
    named.collect()
}

fn write_output(comparison: &Comparison, out: &std::path::Path) -> eyre::Result<()> {
    std::fs::create_dir_all(out).wrap_err_with(|| format!("cannot make {}", out.display()))?;
    let write = |name: &str, text: String| {
        let path = out.join(format!("{}{name}", comparison.name));
        std::fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
    };
    write(".txt", table::render(comparison))?;
    write(".jsonl", comparison.json_lines())?;
    plot::write(comparison, out)
}

/// One variant's run on one schedule.
struct Turn<'a> {
    experiment: &'a Experiment,
    variant: &'a Variant,
    arrivals: &'a [Arrival],
    seed: u64,
    progress: bool,
}

/// What the threads of a run share.
struct Shared<'a> {
    turn: &'a Turn<'a>,
    client: Client<'a>,
    retries: Retries,
    start: Instant,
    next: AtomicUsize,
    whole: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    is_over: AtomicBool,
    faults_failed: Mutex<Vec<String>>,
}

impl Turn<'_> {
    fn run(&self, nodes: &LaunchFn<'_>) -> eyre::Result<Report> {
        let variant = Variant {
            journal: Journal::default(),
            ..self.variant.clone()
        };
        let fleet = fleet::launch(self.experiment, &variant, nodes)?;
        let Fleet {
            ingress,
            apply,
            stop,
        } = fleet;
        let result = self.offer(ingress, apply);
        stop();
        let records = variant.journal.take();
        let (samples, faults_failed) = result?;
        let report = Report::new(self.experiment, self.variant, &samples);
        Ok(Report {
            faults_failed,
            history: History::check(self.experiment, self.seed, &samples, &records),
            ..report
        })
    }

    fn offer(
        &self,
        ingress: Vec<fleet::Ingress>,
        apply: fleet::Apply,
    ) -> eyre::Result<(Vec<Sample>, Vec<String>)> {
        let shared = Shared {
            turn: self,
            client: Client::new(self.experiment, self.variant, ingress)?,
            retries: self
                .variant
                .retries
                .unwrap_or(self.experiment.client.retries),
            start: Instant::now() + LEAD_IN,
            next: AtomicUsize::new(0),
            whole: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            failed: AtomicUsize::new(0),
            is_over: AtomicBool::new(false),
            faults_failed: Mutex::default(),
        };
        let threads = self.experiment.client.threads.min(self.arrivals.len());
        let shared_ref = &shared;
        let samples = thread::scope(|scope| {
            let side = [
                spawn(scope, || shared.show_progress())?,
                spawn(scope, move || shared_ref.apply_faults(&apply))?,
            ];
            let callers: Result<Vec<_>, _> = (0..threads)
                .map(|number| spawn(scope, move || shared_ref.call(number)))
                .collect();
            let samples = callers.map(|callers| {
                let ended = callers.into_iter().map(|caller| caller.join());
                ended
                    .flat_map(|samples| samples.unwrap_or_default())
                    .collect::<Vec<_>>()
            });
            shared.is_over.store(true, Ordering::Relaxed);
            side.iter().for_each(|thread| thread.thread().unpark());
            samples
        })?;
        let faults_failed = shared.faults_failed.into_inner();
        Ok((
            samples,
            faults_failed.expect("no holder of this lock panics"),
        ))
    }
}

fn spawn<'scope, 'env, T: Send + 'scope>(
    scope: &'scope thread::Scope<'scope, 'env>,
    work: impl FnOnce() -> T + Send + 'scope,
) -> eyre::Result<thread::ScopedJoinHandle<'scope, T>> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder
        .spawn_scoped(scope, work)
        .wrap_err("cannot start a caller's thread")
}

impl Shared<'_> {
    /// One caller: takes the next arrival, waits for its time, and sees it through.
    fn call(&self, number: usize) -> Vec<Sample> {
        let stream = u64::try_from(number)
            .unwrap_or_default()
            .wrapping_mul(0x9e37_79b9);
        let mut rng = fastrand::Rng::with_seed(self.turn.seed ^ stream);
        let mut samples = Vec::new();
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(arrival) = self.turn.arrivals.get(index) else {
                return samples;
            };
            sleep_until(self.start + arrival.at);
            let sample = self.see_through(index, arrival, &mut rng);
            self.count(sample.outcome);
            samples.push(sample);
        }
    }

    fn see_through(&self, index: usize, arrival: &Arrival, rng: &mut fastrand::Rng) -> Sample {
        let kind = &self.turn.experiment.requests[arrival.kind];
        let timeout = Duration::from_millis(kind.timeout_ms);
        let intended = self.start + arrival.at;
        let give_up = intended + self.patience(timeout);
        let id = request_id(self.turn.seed, index);
        let sent = Instant::now();
        let mut tries = 0;
        let outcome = loop {
            let now = Instant::now();
            if tries == 0 && now >= give_up {
                break Outcome::Unsent;
            }
            let first_limit = if tries == 0 { intended.max(now) } else { now };
            let call = Call {
                id: &id,
                workspace: arrival.workspace,
                kind: arrival.kind,
                deadline: give_up.min(first_limit + timeout),
            };
            tries += 1;
            let tried = self.client.send(&call, rng);
            let Some(pause) = self.pause(tries, &tried, rng) else {
                break tried.outcome;
            };
            if Instant::now() + pause >= give_up {
                break tried.outcome;
            }
            thread::sleep(pause);
        };
        Sample {
            number: index,
            intended: arrival.at,
            sent: sent.saturating_duration_since(self.start),
            ended: self.start.elapsed(),
            phase: arrival.phase,
            workspace: arrival.workspace,
            kind: arrival.kind,
            tries,
            outcome,
        }
    }

    fn patience(&self, timeout: Duration) -> Duration {
        match self.retries.mode {
            RetryMode::None => timeout,
            _ => timeout.max(Duration::from_millis(self.retries.patience_ms)),
        }
    }

    /// The pause before a further try; `None` where there is none.
    fn pause(
        &self,
        tries: u32,
        tried: &crate::client::Tried,
        rng: &mut fastrand::Rng,
    ) -> Option<Duration> {
        let is_done = tried.outcome == Outcome::Whole || tries > self.retries.limit;
        if is_done {
            return None;
        }
        let drawn = Duration::from_millis(rng.u64(0..=self.retries.pause_ms));
        match self.retries.mode {
            RetryMode::None => None,
            RetryMode::RetryAfter => tried.retry_after.map(|after| after + drawn),
            RetryMode::Hard => Some(drawn),
        }
    }

    fn count(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Whole => &self.whole,
            Outcome::NotRun(_) => &self.refused,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn apply_faults(&self, apply: &fleet::Apply) {
        let starts = self.turn.experiment.phase_starts();
        let phases = self.turn.experiment.phases.iter().zip(starts);
        let timed = phases.flat_map(|(phase, start)| {
            phase
                .faults
                .iter()
                .map(move |timed| (start + Duration::from_millis(timed.at_ms), timed))
        });
        let mut timed: Vec<_> = timed.collect();
        timed.sort_by_key(|(at, _)| *at);
        for (at, timed) in timed {
            if !self.wait_until(self.start + at) {
                return;
            }
            log::info!(event = "fault"; "{:?}", timed.fault);
            if let Err(err) = apply(&timed.fault) {
                let failed = format!("{:?}: {err:#}", timed.fault);
                self.faults_failed
                    .lock()
                    .expect("no holder of this lock panics")
                    .push(failed);
            }
        }
    }

    /// Waits on a side thread; says whether the run goes on then.
    fn wait_until(&self, at: Instant) -> bool {
        while !self.is_over.load(Ordering::Relaxed) {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::park_timeout(left);
        }
        false
    }

    fn show_progress(&self) {
        let mut last = [0; 3];
        while self.turn.progress && !self.is_over.load(Ordering::Relaxed) {
            thread::park_timeout(PROGRESS_EVERY);
            let now = [&self.whole, &self.refused, &self.failed];
            let now = now.map(|counter| counter.load(Ordering::Relaxed));
            self.show(now, last);
            last = now;
        }
        if self.turn.progress && std::io::stderr().is_terminal() {
            eprintln!();
        }
    }

    fn show(&self, now: [usize; 3], last: [usize; 3]) {
        let at = self.start.elapsed();
        let starts = self.turn.experiment.phase_starts();
        let phase = starts.iter().rposition(|start| *start <= at).unwrap_or(0);
        let name = &self.turn.experiment.phases[phase].name;
        let [whole, refused, failed] = [0, 1, 2].map(|index| now[index] - last[index]);
        let line = format!(
            "{:<20} {:>6.1} s  {name:<12} whole {whole:>6}  refused {refused:>6}  failed {failed:>6}",
            self.turn.variant.name,
            at.as_secs_f64(),
        );
        let mut err = std::io::stderr().lock();
        let end = if err.is_terminal() { "\r" } else { "\n" };
        // Progress is a courtesy; where nobody can read it the run goes on.
        let _ = write!(err, "{line}{end}");
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
