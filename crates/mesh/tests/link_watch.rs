//! The watch over a connection between two nodes.

use cassiashunt_mesh::{LinkAction, LinkWatch, LinkWatchOptions};
use cassiashunt_types::prelude::*;

const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Looks until the connection counts as lost; the peer answers questions for `answers_for`, and says
/// something else every `word_every`.
fn lost_after(
    is_busy: bool,
    answers_for: Duration,
    word_every: Option<Duration>,
) -> Option<Duration> {
    let opened = Time::from_millis(100_000);
    let mut watch = LinkWatch::new(opened);
    let mut told = opened;
    let mut now = opened;
    while now.since(opened) < Duration::from_secs(60) {
        now = now + LOOK_EVERY;
        if let Some(every) = word_every.filter(|every| now.since(told) >= *every) {
            told = told + every;
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
fn a_peer_that_tells_its_load_rarely_is_not_given_up_while_it_answers() {
    // What a node of 196 and one of 1,026 told its load every, when that was what liveness hung on.
    for secs in [2.0, 10.3] {
        for is_busy in [true, false] {
            let every = Duration::from_secs_f64(secs);
            let lost = lost_after(is_busy, Duration::from_secs(60), Some(every));
            assert_eq!(lost, None, "a word every {secs} s, busy {is_busy}");
        }
    }
}

#[test]
fn a_silent_peer_is_given_up_within_the_stated_silence() {
    let opts = LinkWatchOptions::default();
    for is_busy in [true, false] {
        let lost = lost_after(is_busy, Duration::ZERO, None).expect("a silent peer is given up");
        let limit = opts.loss_timeout(is_busy);
        assert!(lost <= limit + 3 * LOOK_EVERY, "{lost:?} of {limit:?}");
        assert!(lost >= limit, "{lost:?} of {limit:?}");
    }
}

#[test]
fn a_node_that_was_paused_asks_again_before_it_gives_a_peer_up() {
    let opts = LinkWatchOptions::default();
    let mut watch = LinkWatch::new(Time::from_millis(100_000));
    let mut now = Time::from_millis(130_000);
    assert_eq!(
        watch.check(now, true),
        LinkAction::Ping { wants_answer: true }
    );
    let resumed = now;
    while watch.check(now, true) != LinkAction::Lost {
        now = now + LOOK_EVERY;
    }
    assert!(now.since(resumed) >= 2 * opts.busy_ping_after + opts.max_round_trip);
}
