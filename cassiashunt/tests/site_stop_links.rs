//! Signals around a node's start.

mod support;

use std::{
    fs,
    io::Write as _,
    path::PathBuf,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Addresses, NodeSettings};
use support::{Folder, Process, eventually, listens, path};

/// A node of its own, whose store doesn't answer.
struct LoneNode {
    folder: Folder,
    addresses: Addresses,
    text: String,
}

impl LoneNode {
    fn new(name: &str) -> Self {
        let addresses = Addresses::free().expect("cannot bind a port on loopback");
        let text = NodeSettings {
            name: "lone",
            domain: "east",
            service: "shop",
            addresses,
            server: support::free_addr(),
            store: support::free_addr(),
            withdrawal: Duration::from_millis(2_500),
        };
        Self {
            folder: Folder::new(name),
            addresses,
            text: text.to_toml(),
        }
    }

    /// Starts the node with its settings in a pipe and waits until it opens the pipe. It continues
    /// once the settings are written to the returned file.
    fn start_held(&self) -> (Process, PathBuf, fs::File) {
        let pipe = self.folder.write("lone.toml", "");
        fs::remove_file(&pipe).expect("cannot remove the settings file");
        let made = Command::new("mkfifo").arg(&pipe).status();
        assert!(made.expect("cannot run mkfifo").success());
        let node = Process::start(&["sidecar", path(&pipe)]);
        let writer = fs::File::options().write(true).open(&pipe);
        (node, pipe, writer.expect("cannot open the pipe"))
    }
}

#[test]
fn a_stop_during_the_start_ends_the_node_in_order() {
    for signal in ["-TERM", "-INT"] {
        let lone = LoneNode::new("lone-stop");
        let (mut node, _, mut settings) = lone.start_held();
        node.signal(signal);
        settings
            .write_all(lone.text.as_bytes())
            .expect("the node closed its settings");
        drop(settings);
        assert_eq!(node.wait(), Some(0), "{signal} during the start");
    }
}

#[test]
fn a_reload_during_the_start_does_not_end_the_node() {
    let lone = LoneNode::new("lone-reload");
    let (mut node, pipe, mut settings) = lone.start_held();
    node.signal("-HUP");
    // The reload reads a plain file.
    fs::remove_file(&pipe).expect("cannot remove the pipe");
    lone.folder.write("lone.toml", &lone.text);
    settings
        .write_all(lone.text.as_bytes())
        .expect("the node closed its settings");
    drop(settings);
    eventually("the node listens", || {
        assert!(!node.has_exited(), "SIGHUP ended the node");
        listens(lone.addresses.requests)
    });
    node.signal("-TERM");
    assert_eq!(node.wait(), Some(0));
}

/// Whether a process handles SIGTERM and SIGHUP, by `/proc/PID/status`.
fn handles_signals(node: &Process) -> bool {
    const SIGHUP_AND_SIGTERM: u64 = 1 | 1 << 14;
    let status = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
    let mask = status.lines().find_map(|it| it.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|it| u64::from_str_radix(it.trim(), 16).ok());
    mask.is_some_and(|it| it & SIGHUP_AND_SIGTERM == SIGHUP_AND_SIGTERM)
}

/// Starts a node, sends it a signal after `moment`, and returns the exit code and when the node was
/// seen to handle signals. A signal that would come sooner waits for that.
fn signal_after(signal: &str, moment: Duration) -> (Option<i32>, Duration) {
    let lone = LoneNode::new(&format!("lone{signal}-{}", moment.as_millis()));
    let file = lone.folder.write("lone.toml", &lone.text);
    let began = Instant::now();
    let mut node = Process::start(&["sidecar", path(&file)]);
    while !handles_signals(&node) && began.elapsed() < Duration::from_secs(10) {}
    let handled = began.elapsed();
    thread::sleep(moment.saturating_sub(handled));
    node.signal(signal);
    if signal == "-HUP" {
        thread::sleep(moment);
        node.signal("-TERM");
    }
    (node.wait(), handled)
}

#[test]
fn a_signal_within_the_first_50_ms_after_the_start_does_not_end_the_node_by_itself() {
    let moments: Vec<u64> = (0..50).step_by(2).collect();
    thread::scope(|scope| {
        for signal in ["-TERM", "-HUP"] {
            for some in moments.chunks(9) {
                scope.spawn(move || {
                    for moment in some {
                        let (code, handled) = signal_after(signal, Duration::from_millis(*moment));
                        println!("{signal} after {moment} ms: handled after {handled:?}");
                        assert_eq!(code, Some(0), "{signal} {moment} ms after the start");
                    }
                });
            }
        }
    });
}
