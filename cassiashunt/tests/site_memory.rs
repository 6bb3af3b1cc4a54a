//! What a node keeps of the requests that it has answered.

mod support;

use std::{
    io::{Read, Write},
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, open};
use support::site::{Member, Site};

/// Requests that are sent at once on one connection.
const BATCH: usize = 64;
/// How long requests are sent before the first measurement and between the two.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// The growth per answered request from which something is kept of each.
const MAX_KEPT_BYTES: f64 = 4.0;

/// Sends requests on a route that does not exist, and returns how many were answered.
fn send_batches(member: &Member) -> usize {
    let mut stream = open(member.requests).expect("cannot connect to the node");
    let until = Instant::now() + LOAD_TIME;
    let mut answered = 0;
    let mut buffer = vec![0; 64 * 1024];
    while Instant::now() < until {
        let request = |_| Request {
            target: "/no-such-route".into(),
            ..Request::default()
        };
        let batch: Vec<u8> = (0..BATCH).map(request).flat_map(|it| it.encode()).collect();
        stream.write_all(&batch).expect("cannot send to the node");
        let mut ends = 0;
        let mut text = Vec::new();
        while ends < BATCH {
            let count = stream.read(&mut buffer).expect("no answer from the node");
            assert!(count > 0, "the node closed the connection");
            text.extend_from_slice(&buffer[..count]);
            // The answers have no bodies, so each ends with its head.
            ends = text.windows(4).filter(|it| *it == b"\r\n\r\n").count();
        }
        answered += BATCH;
    }
    answered
}

/// Guards against a recorder of metrics that keeps each sample until somebody reads the metrics.
#[test]
fn nothing_is_kept_of_an_answered_request_while_nobody_reads_the_metrics() {
    let site = Site::start("memory", &["shop", "desk"]);
    let member = &site.members[0];
    send_batches(member);
    let (before, _) = member.node.resource_usage();
    let answered = send_batches(member) + send_batches(member);
    let (after, _) = member.node.resource_usage();
    let kept = after.saturating_sub(before) as f64 / answered as f64;
    assert!(
        kept < MAX_KEPT_BYTES,
        "{kept:.1} bytes of each of {answered} requests"
    );
}
