//! A relay and a node that stays in touch through its reports:
//! `cargo run -p cassiashunt-control --example freshness`.

use std::time::Duration;

use cassiashunt_control::{Control, FreshnessTracker, Heads, Relay, edit, freshness, relay};
use cassiashunt_types::{InvalidLabel, NodeId, Revision, Time};

fn main() -> Result<(), InvalidLabel> {
    let replace = edit::Replace {
        domain: "ikeja".parse()?,
        remove: None,
        add: Some(NodeId(1)),
    };
    let control =
        edit::replace(&Control::default(), replace).expect("the domain has no relays yet");
    let heads = Heads {
        table: Revision(12),
        control: control.revision,
    };

    let mut now = Time::from_millis(10);
    let mut relay = Relay::new(NodeId(1), relay::Options::default());
    relay.on(now, relay::Event::Control(control.clone()));
    let asked = now;
    now = now + Duration::from_millis(3);
    relay.on(now, relay::Event::HeadsRead { asked, heads });

    let mut tracker = FreshnessTracker::new(freshness::Options::default());
    tracker.apply_control(&control);
    tracker.apply_table(heads.table);
    let asked = now;
    for report in relay.reports(now + Duration::from_millis(1)) {
        tracker.on_report(now + Duration::from_millis(2), asked, &report);
    }
    for millis in [100, 1_900, 2_100] {
        let at = now + Duration::from_millis(millis);
        println!("{millis} ms later: {:?}", tracker.check(at, heads));
    }
    Ok(())
}
