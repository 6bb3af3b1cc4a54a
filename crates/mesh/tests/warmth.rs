//! Until when a backend server counts as cold.

use cassiashunt_mesh::Warmth;
use cassiashunt_types::prelude::*;

const COLD: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_doubted_server_is_cold_until_a_later_probe_says_otherwise() {
    let mut warmth = Warmth::new(at(0), Duration::ZERO);
    assert!(warmth.cold_left(at(10_000), COLD).is_zero());
    warmth.on_doubt(at(10_000));
    assert_eq!(
        warmth.cold_left(at(10_500), COLD),
        COLD - Duration::from_millis(500)
    );
    warmth.on_probe(at(10_600), at(9_990), Duration::ZERO);
    assert!(warmth.is_doubted(), "the probe was sent before the doubt");
    warmth.on_report(at(10_700), Duration::ZERO);
    assert!(
        warmth.is_doubted(),
        "the report may have been made before the doubt"
    );
    warmth.on_probe(at(10_800), at(10_700), Duration::ZERO);
    assert!(warmth.cold_left(at(10_800), COLD).is_zero());
}

#[test]
fn a_late_report_does_not_end_what_a_probe_stated() {
    let mut warmth = Warmth::new(at(0), Duration::ZERO);
    warmth.on_probe(at(100), at(90), COLD);
    warmth.on_report(at(200), Duration::ZERO);
    assert_eq!(warmth.cold_left(at(100), COLD), COLD);
}

#[test]
fn contact_after_a_long_silence_is_a_doubt() {
    let mut warmth = Warmth::new(at(0), Duration::ZERO);
    warmth.on_contact(at(1_500));
    assert!(!warmth.is_doubted());
    warmth.on_contact(at(4_000));
    assert!(warmth.is_doubted());
    // Without any word of the server it is warm once its cold time is over.
    assert!(warmth.cold_left(at(7_000), COLD).is_zero());
}
