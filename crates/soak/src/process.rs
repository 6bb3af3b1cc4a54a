//! One node's process, ended by its id only.

use std::{
    fs::File,
    io,
    path::Path,
    process::{Child, Command, ExitStatus},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// How often the end of a process is looked for.
const LOOK: Duration = Duration::from_millis(10);

/// A running process.
#[derive(Debug)]
pub(crate) struct Process(Child);

impl Process {
    /// Starts a node with a settings file; its output is added to `log`.
    pub(crate) fn start(binary: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(binary);
        command.arg("sidecar").arg(settings);
        let child = command.stdout(out.try_clone()?).stderr(out).spawn()?;
        Ok(Self(child))
    }

    /// Whether it has ended, and how.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        // An ended process that has been waited for must not be signalled: its id may be another's.
        if self.ended().is_none()
            && let Some(pid) = Pid::from_raw(self.0.id().cast_signed())
        {
            // It may end at this moment.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for its end.
    pub(crate) fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            thread::sleep(LOOK);
        }
        None
    }

    /// The most memory that it has used, in kilobytes.
    pub(crate) fn peak_kb(&self) -> Option<u64> {
        self.status("VmHWM:")?.parse().ok()
    }

    /// Whether it handles a signal; it doesn't in the first moments after its start.
    pub(crate) fn handles(&self, signal: Signal) -> bool {
        let mask = self.status("SigCgt:");
        let mask = mask.and_then(|it| u64::from_str_radix(&it, 16).ok());
        mask.is_some_and(|it| it >> (signal.as_raw() - 1) & 1 == 1)
    }

    /// The first word of a line of `/proc/PID/status`.
    fn status(&self, name: &str) -> Option<String> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next().map(str::to_owned)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already is only waited for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
