//! Prints three ticks of one subscription.

use std::time::Duration;

use cassiashunt_timer::{Clock, Service, service::Options};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = Service::start(Clock::new())?;
    let (subscription, rx) = service.ticks(Options::every(Duration::from_millis(20)), 4)?;
    for tick in rx.iter().take(3) {
        println!("due {} sent {}", tick.at, tick.now);
    }
    println!("skipped {}", subscription.skipped());
    service.stop();
    Ok(())
}
