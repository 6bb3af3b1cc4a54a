//! What a process holds of its machine's memory: resident bytes, and input that waits in its sockets.

use std::{
    collections::HashSet,
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The state of a listening socket in the kernel's table, whose queue counts connections, not bytes.
const LISTENING: &str = "0A";

/// The memory of one process at one moment, in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Resident memory.
    pub resident: u64,
    /// Bytes that the kernel has received for the process and that it has not read.
    pub unread: u64,
}

impl Footprint {
    /// The footprint of a process with these listeners; `None` once it has ended.
    pub fn of(pid: u32, listeners: &[SocketAddr]) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let resident: u64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
        Some(Self {
            resident: 1024 * resident,
            unread: unread(pid, listeners)?,
        })
    }

    /// Both together.
    pub fn total(self) -> u64 {
        self.resident + self.unread
    }
}

/// Sums the receive queues of the process's sockets, and of connections that it has not accepted yet.
fn unread(pid: u32, listeners: &[SocketAddr]) -> Option<u64> {
    let links = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let targets = links.filter_map(|it| fs::read_link(it.ok()?.path()).ok());
    let inodes: HashSet<_> = targets
        .filter_map(|it| {
            let text = it.to_str()?.strip_prefix("socket:[")?;
            Some(text.strip_suffix(']')?.to_owned())
        })
        .collect();
    let ports: HashSet<_> = listeners
        .iter()
        .map(|it| format!("{:04X}", it.port()))
        .collect();
    let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
    let queues = sockets.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (local, state, queues, inode) = (fields[1], fields[3], fields[4], fields[9]);
        let is_queued = inode == "0" && ports.contains(local.rsplit(':').next()?);
        let is_own = state != LISTENING && (is_queued || inodes.contains(inode));
        let received = queues.rsplit(':').next()?;
        is_own.then(|| u64::from_str_radix(received, 16).ok())?
    });
    Some(queues.sum())
}

/// Samples the footprint of a process until dropped.
pub struct Sampler {
    peak: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    pub fn start(pid: u32, listeners: Vec<SocketAddr>) -> Self {
        let (peak, is_over) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let shared = (Arc::clone(&peak), Arc::clone(&is_over));
        let thread = thread::spawn(move || {
            let (peak, is_over) = shared;
            while !is_over.load(Ordering::Relaxed)
                && let Some(now) = Footprint::of(pid, &listeners)
            {
                peak.fetch_max(now.total(), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            peak,
            is_over,
            thread: Some(thread),
        }
    }

    /// The largest footprint so far, in bytes.
    pub fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It has no result, and a panic of its own is in the test's output.
            let _ = thread.join();
        }
    }
}
