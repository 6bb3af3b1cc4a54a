//! Runs an authority and a holder in one process: `cargo run -p cassiashunt-limit --example limiter`.

use std::time::Instant;

use cassiashunt_limit::{
    Attempt, Authority, Decision, Holder, InitialTokens, Key, Limit, authority, holder,
};
use cassiashunt_types::{Epoch, InvalidLabel, NodeId, Time};

fn main() -> Result<(), InvalidLabel> {
    let started = Instant::now();
    let now = || Time::from_micros(started.elapsed().as_micros() as u64);
    let key = Key::workspace("hoa-sen".parse()?);
    let limit = Limit::Rate {
        per_sec: 10,
        burst: 3,
    };

    let minute_ends = Time::from_millis(60_000);
    let mut authority = Authority::new(Epoch(1), minute_ends, authority::Options::default());
    authority.set_limit(now(), key, limit, InitialTokens::Full);
    let mut holder = Holder::new(NodeId(1), holder::Options::default());
    holder.follow_epoch(Epoch(1));

    for request in 1..=6 {
        let mut decision = holder.try_take(now(), &[key], 1, Attempt::First);
        if decision == Decision::Wait {
            let frame = holder.poll(now());
            let answer = frame.and_then(|frame| authority.handle_frame(now(), &frame));
            if let Some(answer) = answer {
                holder.handle_frame(now(), &answer);
            }
            decision = holder.try_take(now(), &[key], 1, Attempt::Last);
        }
        println!("request {request}: {decision:?}");
    }
    Ok(())
}
