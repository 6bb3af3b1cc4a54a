//! Loss detection on a connection between two nodes.

use cassiashunt_mesh::{LinkAction, LinkWatch, LinkWatchOptions};
use cassiashunt_types::prelude::*;

const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks a connection until it is lost, for up to 60 s. The peer answers pings for `answers_for`, and
/// sends other messages every `message_interval`. Returns the time until the loss.
fn lost_after(
    is_busy: bool,
    answers_for: Duration,
    message_interval: Option<Duration>,
) -> Option<Duration> {
    let opened = Time::from_millis(100_000);
    let mut watch = LinkWatch::new(opened);
    let mut last_message = opened;
    let mut now = opened;
    while now.since(opened) < Duration::from_secs(60) {
        now = now + CHECK_INTERVAL;
        if let Some(every) = message_interval.filter(|every| now.since(last_message) >= *every) {
            last_message = last_message + every;
            watch.on_received(now);
        }
        match watch.check(now, is_busy) {
            LinkAction::Lost => return Some(now.since(opened)),
            LinkAction::Ping { wants_answer: true } if now.since(opened) <= answers_for => {
                watch.on_received(now);
            }
            _ => {}
        }
    }
    None
}

#[test]
fn a_peer_that_rarely_sends_load_reports_is_not_lost_while_it_answers_pings() {
    // The intervals of load reports in fleets of 196 and 1,026 nodes when these reports alone decided
    // on liveness.
    for secs in [2.0, 10.3] {
        for is_busy in [true, false] {
            let every = Duration::from_secs_f64(secs);
            let lost = lost_after(is_busy, Duration::from_secs(60), Some(every));
            assert_eq!(lost, None, "a message every {secs} s, busy {is_busy}");
        }
    }
}

#[test]
fn a_peer_that_does_not_answer_is_lost_at_the_loss_timeout() {
    let opts = LinkWatchOptions::default();
    for is_busy in [true, false] {
        let lost =
            lost_after(is_busy, Duration::ZERO, None).expect("a peer that does not answer is lost");
        let limit = opts.loss_timeout(is_busy);
        assert!(lost <= limit + 3 * CHECK_INTERVAL, "{lost:?} of {limit:?}");
        assert!(lost >= limit, "{lost:?} of {limit:?}");
    }
}

#[test]
fn a_node_that_resumes_after_a_pause_pings_again_before_the_peer_is_lost() {
    let opts = LinkWatchOptions::default();
    let mut watch = LinkWatch::new(Time::from_millis(100_000));
    let mut now = Time::from_millis(130_000);
    assert_eq!(
        watch.check(now, true),
        LinkAction::Ping { wants_answer: true }
    );
    let resumed = now;
    while watch.check(now, true) != LinkAction::Lost {
        now = now + CHECK_INTERVAL;
    }
    assert!(now.since(resumed) >= 2 * opts.busy_ping_after + opts.max_round_trip);
}
