//! A caller gets the whole answer to its own request, or a clean failure.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::server::{body, digest};
use support::{Caller, KEY, Seen, callers, start};

/// How long a caller goes on with one request.
const PATIENCE: Duration = Duration::from_secs(10);
/// Its pause after a refusal.
const PAUSE: Duration = Duration::from_millis(20);

/// One request and what its caller saw; `Err` is a cut connection or a short answer.
struct Exchange {
    id: String,
    bytes: usize,
    seen: Result<Seen, String>,
}

/// Every answer is the whole one to its own request, or an honest failure of the system.
fn check(history: &[Exchange]) -> Result<usize, String> {
    let mut whole = 0;
    for Exchange { id, bytes, seen } in history {
        let seen = seen.as_ref().map_err(|err| format!("{id}: {err}"))?;
        if seen.verdict.is_some() {
            continue;
        }
        if seen.status != 200 || seen.body != body(id, *bytes) {
            return Err(format!(
                "{id}: status {}, {} bytes",
                seen.status,
                seen.body.len()
            ));
        }
        let expected = format!("{:016x}", digest(&seen.body));
        if seen.digest.as_ref().is_some_and(|told| *told != expected) {
            return Err(format!("{id}: the digest differs"));
        }
        whole += 1;
    }
    Ok(whole)
}

#[test]
fn p07_large_answers_arrive_whole_or_as_a_failure_while_owners_and_servers_are_killed() {
    const CALLERS: usize = 8;
    const REQUESTS: usize = 40;
    let fleet = start();
    let addrs = callers(&fleet);
    let history: Vec<Exchange> = thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS)
            .map(|number| {
                // The nodes of rota are killed below; callers use those of stores.
                let addr = addrs[3 + number % 3];
                scope.spawn(move || {
                    let caller = Caller::new(KEY);
                    let mut rng = fastrand::Rng::with_seed(number as u64);
                    let mut one = |sent| {
                        let id = format!("c{number}-{sent}");
                        send_until_run(&caller, addr, &id, rng.usize(100..700_000))
                    };
                    (0..REQUESTS).flat_map(&mut one).collect::<Vec<_>>()
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(150));
        fleet.members[0].server.crash();
        thread::sleep(Duration::from_millis(100));
        fleet.kill_node(1);
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("callers do not panic"))
            .collect()
    });
    let whole = check(&history).expect("no answer is short, torn or another's");
    // A caller has one request under way when the server crashes, and one when the node is killed.
    assert!(
        whole >= CALLERS * (REQUESTS - 2),
        "only {whole} whole answers"
    );
}

/// Sends a request again for as long as it is told that it did not run.
fn send_until_run(caller: &Caller, addr: SocketAddr, id: &str, bytes: usize) -> Vec<Exchange> {
    let until = Instant::now() + PATIENCE;
    let target = format!("/photos?bytes={bytes}");
    let mut exchanges = Vec::new();
    loop {
        let seen = caller.send(addr, "GET", &target, &[("Standin-Id", id)]);
        let is_refused = seen.as_ref().is_ok_and(Seen::is_not_run);
        let is_over = !is_refused || Instant::now() >= until;
        exchanges.push(Exchange {
            id: id.to_owned(),
            bytes,
            seen,
        });
        if is_over {
            return exchanges;
        }
        thread::sleep(PAUSE);
    }
}

#[test]
fn p07_the_checker_rejects_short_and_foreign_answers() {
    let seen = |text: Vec<u8>| Seen {
        status: 200,
        verdict: None,
        code: None,
        retry_after: None,
        closes: false,
        digest: None,
        body: text,
    };
    let exchange = |text| {
        [Exchange {
            id: "a".into(),
            bytes: 50,
            seen: Ok(seen(text)),
        }]
    };
    assert!(check(&exchange(body("a", 50))).is_ok());
    assert!(check(&exchange(body("a", 49))).is_err());
    assert!(check(&exchange(body("b", 50))).is_err());
}
