//! At most one run per idempotency key, whoever sends the request again and through whichever node.
//!
//! Each shard of keys has one [`Home`], which stores a *started* record before it permits a run, and
//! a [`Backup`] in another failure domain, which holds a copy of every record. The node that hands
//! the request to the backend server requests the permit through its [`Client`]; a permit never
//! leaves that process. No type here does I/O or reads a clock.
//!
//! How a node uses them:
//!
//! 1. A request with an idempotency key arrives at the owning node. `Key::new` hashes the key,
//!    `shard_of` returns its shard and `client.begin` opens an attempt. Call
//!    `client.hand_over(now, attempt)` in a loop, just before the first byte is written to the
//!    server's socket: on `Run` hand the request over, on `Wait` sleep until a message arrives or a
//!    few milliseconds have passed, on `Answered` or `Refused` end the request. While the owner is
//!    not in touch, call `client.give_up` instead.
//! 2. After the server has answered, call `client.finish(now, attempt, Outcome)`. A refusal by the
//!    server itself is `Outcome::NotRun`; a lost connection is `Outcome::Unknown`. Do not wait for
//!    the home.
//! 3. About every 20 ms, and after each call, send what `client.poll(now)` and `home.tick` return.
//!    `Outgoing::to` is a node and may be this one.
//! 4. Dispatch a [`msg::Message`] by its body: `Ask` and `Copied` to `home.handle_message`, `Reply`
//!    to `client.handle_message`, `Copy` to `backup.handle_message`.
//!    [`msg::Message::fits_datagram`] tells which messages need the TCP link.
//! 5. Pass [`Role::Active`] to `home.handle_message` only when the node is in touch *and* the
//!    control value names it as primary of the shard under `home.epoch()` with `home.backup()`,
//!    checked at that moment; otherwise pass [`Role::Standby`]. `home.tick` only sends copies.
//! 6. When a control value is applied, call `client.follow_home(shard, epoch, primary)` and
//!    `backup.follow_epoch(epoch)`, and drop a `Home` whose epoch is lower than the control value's.
//! 7. Failover, when the control value is at epoch E and the primary has failed:
//!    - The node that it names as backup calls `backup.seal(now, E, primary)`. If that returns
//!      records (the copy was complete), create `Home::new(E + 1, Some(another backup), start)`,
//!      claim E + 1 with `lossy: false` by `Claim::after_hand_over` (the seal stops the old
//!      primary), and act once ready.
//!    - Any other node, or the backup without records, claims E + 1 with `lossy: true` by
//!      `Claim::new` (which waits), then creates
//!      `Home::new(E + 1, backup, InitialState::without_records(E + 1, now, opts))`. The very first
//!      claim, from epoch zero, uses `InitialState::first()`.
//! 8. If the backup is lost (`home.backup_is_lost(now)`, or removed from the membership),
//!    `home.stop()` returns an `InitialState`. Create the `Home` of E + 1 with another backup, tick
//!    it as `Standby` until `is_replicated()`, then claim E + 1 by `Claim::after_hand_over` with
//!    `lossy: false`. If the claim is lost, drop the `Home`; if it is won with a backup other than
//!    `home.backup()`, repeat this from E + 1. Every change of primary or backup is thus one epoch.
//! 9. A planned stop hands nothing over. The backup treats a draining primary as failed and takes
//!    over at once; a draining backup is replaced.

mod attempt;
pub mod backup;
pub mod client;
pub mod home;
mod initial_state;
mod key;
pub mod msg;
mod outgoing;
mod record;
mod records;
mod replication;

pub use attempt::Attempt;
pub use backup::Backup;
pub use client::{Client, Decision, Outcome, Request};
pub use home::{Home, Role};
pub use initial_state::InitialState;
pub use key::{HOME_SHARDS, Key, issue, shard_of};
pub use outgoing::Outgoing;
pub use record::{Answer, MAX_ANSWER_BYTES};
