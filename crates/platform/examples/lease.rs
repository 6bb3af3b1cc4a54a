//! Embeds the in-memory double: a holder keeps a key alive by a lease until the lease lapses.

use std::time::Duration;

use cassiashunt_platform::{Error, Memory, Platform, swap};

fn main() -> Result<(), Error> {
    let platform = Memory::default();
    let lease = platform.grant(Duration::from_millis(50))?;
    let outcome = platform.swap(swap::Request {
        key: "roster/ikeja",
        expected: swap::Expected::Absent,
        value: b"10.0.0.1:7000",
        lease: Some(lease),
    })?;
    println!("announced: {outcome:?}");
    platform.keep_alive(lease)?;
    std::thread::sleep(Duration::from_millis(80));
    println!("after the lapse: {:?}", platform.get("roster/ikeja")?);
    println!("calls: {:?}", platform.calls());
    Ok(())
}
