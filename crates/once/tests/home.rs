//! Single steps of homes, backups and clients.

#[path = "support/pair.rs"]
mod pair;

use std::time::Duration;

use cassiashunt_once::{
    Attempt, Decision, Home, InitialState, Key, MAX_ANSWER_BYTES, Outcome, Request, Role,
    home::Options, issue, msg::MAX_MESSAGE_BYTES, shard_of,
};
use cassiashunt_types::{Epoch, Reason, Refusal, ShardId, Time, Verdict, Workspace};
use pair::{BACKUP, HOME, Pair, SHARD};

const NOW: Time = Time::from_millis(1_000);

fn workspace() -> Workspace {
    "ward".parse().expect("valid workspace name")
}

fn key(number: u128) -> Key {
    Key::new(workspace(), &issue(SHARD, Epoch(1), number))
}

fn req(number: u128, fingerprint: u64) -> Request {
    Request {
        key: key(number),
        fingerprint,
        deadline: NOW + Duration::from_secs(5),
    }
}

fn synced_pair(options: Options) -> Pair {
    let mut pair = Pair::new(options);
    pair.deliver_all(NOW);
    pair
}

fn send_request(pair: &mut Pair, req: Request) -> (Attempt, Decision) {
    send_request_at(pair, NOW, req)
}

fn send_request_at(pair: &mut Pair, now: Time, req: Request) -> (Attempt, Decision) {
    let attempt = pair
        .client
        .begin(req)
        .expect("fewer attempts than max_attempts");
    pair.deliver_all(now);
    (attempt, pair.client.hand_over(now, attempt))
}

fn run(pair: &mut Pair, req: Request, answer: &[u8]) {
    let (attempt, decision) = send_request(pair, req);
    assert_eq!(decision, Decision::Run);
    let outcome = Outcome::Answered(answer.into());
    pair.client.finish(NOW, attempt, outcome);
    pair.deliver_all(NOW);
}

#[test]
fn a_repeat_gets_the_stored_answer() {
    let mut pair = synced_pair(Options::default());
    run(&mut pair, req(1, 7), b"done");
    let (_, decision) = send_request(&mut pair, req(1, 7));
    assert_eq!(decision, Decision::Answered(b"done".to_vec()));
}

#[test]
fn a_repeat_of_another_request_is_refused() {
    let mut pair = synced_pair(Options::default());
    run(&mut pair, req(1, 7), b"done");
    let (_, decision) = send_request(&mut pair, req(1, 8));
    let refusal = Refusal::not_run(Reason::KeyReused);
    assert_eq!(decision, Decision::Refused(refusal));
}

#[test]
fn a_repeat_of_a_running_request_is_refused_as_still_running() {
    let mut pair = synced_pair(Options::default());
    let (_, decision) = send_request(&mut pair, req(1, 7));
    assert_eq!(decision, Decision::Run);
    let (_, decision) = send_request(&mut pair, req(1, 7));
    assert!(matches!(
        decision,
        Decision::Refused(Refusal {
            verdict: Verdict::MayHaveRun,
            reason: Reason::StillRunning,
            ..
        })
    ));
}

#[test]
fn a_request_given_up_by_its_owner_may_run_in_another_attempt() {
    let mut pair = synced_pair(Options::default());
    let attempt = pair
        .client
        .begin(req(1, 7))
        .expect("fewer attempts than max_attempts");
    pair.deliver_all(NOW);
    let refusal = pair.client.give_up(NOW, attempt, Reason::Shed);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    pair.deliver_all(NOW);
    run(&mut pair, req(1, 7), b"done");
    assert!(matches!(
        pair.client.hand_over(NOW, attempt),
        Decision::Refused(_)
    ));
}

#[test]
fn a_full_home_refuses_new_keys_and_evicts_no_record() {
    let options = Options {
        max_records: 3,
        ..Options::default()
    };
    let mut pair = synced_pair(options);
    for number in 0..3 {
        run(&mut pair, req(number, 7), b"done");
    }
    let (_, decision) = send_request(&mut pair, req(9, 7));
    assert!(matches!(
        decision,
        Decision::Refused(Refusal {
            verdict: Verdict::NotRun,
            reason: Reason::Full,
            ..
        })
    ));
    for number in 0..3 {
        let (_, decision) = send_request(&mut pair, req(number, 7));
        assert_eq!(decision, Decision::Answered(b"done".to_vec()));
    }
}

#[test]
fn a_repeat_of_a_run_with_an_answer_too_large_to_store_is_refused() {
    let mut pair = synced_pair(Options::default());
    run(&mut pair, req(1, 7), &vec![0; MAX_ANSWER_BYTES + 1]);
    let (_, decision) = send_request(&mut pair, req(1, 7));
    let refusal = Refusal::may_have_run(Reason::Repeated);
    assert_eq!(decision, Decision::Refused(refusal));
}

#[test]
fn a_permit_expires_after_its_validity() {
    let mut pair = synced_pair(Options::default());
    let attempt = pair
        .client
        .begin(req(1, 7))
        .expect("fewer attempts than max_attempts");
    pair.deliver_all(NOW);
    let late = NOW + Options::default().validity;
    assert_eq!(pair.client.hand_over(late, attempt), Decision::Wait);
    pair.deliver_all(late);
    assert_eq!(pair.client.hand_over(late, attempt), Decision::Run);
}

#[test]
fn only_messages_with_an_answer_exceed_a_datagram() {
    let mut pair = synced_pair(Options::default());
    let attempt = pair
        .client
        .begin(req(1, 7))
        .expect("fewer attempts than max_attempts");
    let begin = pair.client.poll(NOW).remove(0).msg;
    assert!(begin.fits_datagram());
    pair.deliver_all(NOW + Duration::from_secs(1));
    let now = NOW + Duration::from_secs(1);
    assert_eq!(pair.client.hand_over(now, attempt), Decision::Run);
    let outcome = Outcome::Answered(vec![0; MAX_ANSWER_BYTES].into());
    pair.client.finish(now, attempt, outcome);
    let finish = pair.client.poll(now).remove(0).msg;
    assert!(!finish.fits_datagram());
    assert!(prost::Message::encoded_len(&finish) <= MAX_MESSAGE_BYTES);
}

#[test]
fn a_second_copy_to_the_same_backup_replaces_older_states() {
    let options = Options::default();
    let mut pair = synced_pair(options);
    for number in 0..20 {
        run(&mut pair, req(number, 7), b"done");
    }
    let middle = NOW + options.retention / 2;
    let released = pair
        .client
        .begin(req(50, 7))
        .expect("fewer attempts than max_attempts");
    pair.deliver_all(middle);
    pair.client.give_up(middle, released, Reason::Shed);
    pair.deliver_all(middle);
    prepare_second_epoch(&mut pair, middle, options);
    let late = NOW + options.retention + Duration::from_secs(1);
    pair.deliver_all(late);
    prepare_second_epoch(&mut pair, late, options);
    let again = Request {
        deadline: late + Duration::from_secs(5),
        ..req(50, 7)
    };
    assert_eq!(send_request_at(&mut pair, late, again).1, Decision::Run);
    let start = pair.backup.seal(late, Epoch(2), HOME);
    let options = Options {
        needs_backup: false,
        ..options
    };
    let start = start.expect("the copy is complete");
    pair.home = Home::new(BACKUP, SHARD, Epoch(3), None, start, options);
    pair.client.follow_home(SHARD, Epoch(3), BACKUP);
    let (_, decision) = send_request_at(&mut pair, late, again);
    assert!(matches!(
        decision,
        Decision::Refused(Refusal {
            verdict: Verdict::MayHaveRun,
            ..
        })
    ));
}

/// Prepares the second epoch at the same node with the same backup, as after an abandoned claim.
fn prepare_second_epoch(pair: &mut Pair, now: Time, options: Options) {
    let epoch = Epoch(2);
    let empty = Home::new(HOME, SHARD, epoch, None, InitialState::first(), options);
    let start = std::mem::replace(&mut pair.home, empty).stop();
    pair.home = Home::new(HOME, SHARD, epoch, Some(BACKUP), start, options);
    pair.client.follow_home(SHARD, epoch, HOME);
    pair.deliver_all(now);
}

#[test]
fn a_home_with_a_sealed_backup_gives_no_permit() {
    let mut pair = synced_pair(Options::default());
    assert!(pair.backup.seal(NOW, Epoch(1), HOME).is_some());
    let (_, decision) = send_request(&mut pair, req(1, 7));
    assert_eq!(decision, Decision::Wait);
    assert!(pair.home.backup_is_lost(NOW));
    let (_, decision) = send_request(&mut pair, req(2, 7));
    assert!(matches!(
        decision,
        Decision::Refused(Refusal {
            verdict: Verdict::NotRun,
            ..
        })
    ));
}

#[test]
fn an_answer_missed_by_the_backup_is_reported_to_the_new_primary() {
    let options = Options::default();
    let mut pair = synced_pair(options);
    let (attempt, decision) = send_request(&mut pair, req(1, 7));
    assert_eq!(decision, Decision::Run);
    let start = pair.backup.seal(NOW, Epoch(1), HOME);
    let outcome = Outcome::Answered(b"done".as_slice().into());
    pair.client.finish(NOW, attempt, outcome);
    pair.deliver_all(NOW);
    let options = Options {
        needs_backup: false,
        ..options
    };
    let start = start.expect("the copy is complete");
    pair.home = Home::new(BACKUP, SHARD, Epoch(2), None, start, options);
    pair.client.follow_home(SHARD, Epoch(2), BACKUP);
    pair.deliver_all(NOW);
    let (_, decision) = send_request(&mut pair, req(1, 7));
    assert_eq!(decision, Decision::Answered(b"done".to_vec()));
}

#[test]
fn a_standby_home_gives_no_permit() {
    let mut pair = synced_pair(Options::default());
    let attempt = pair
        .client
        .begin(req(1, 7))
        .expect("fewer attempts than max_attempts");
    for send in pair.client.poll(NOW) {
        assert!(
            pair.home
                .handle_message(NOW, &send.msg, Role::Standby)
                .is_empty()
        );
    }
    assert_eq!(pair.client.hand_over(NOW, attempt), Decision::Wait);
}

#[test]
fn an_issued_key_contains_its_shard_and_epoch() {
    for shard in 0..cassiashunt_once::HOME_SHARDS {
        let text = issue(ShardId(shard), Epoch(300), 5);
        assert_eq!(shard_of(workspace(), &text), ShardId(shard));
        assert_eq!(Key::new(workspace(), &text).issued(), Some(Epoch(300)));
    }
    for caller_chosen in [
        "",
        "cassiashunt-idem-",
        "cassiashunt-idem-0-1-5",
        "order-17",
    ] {
        assert_eq!(Key::new(workspace(), caller_chosen).issued(), None);
    }
}
