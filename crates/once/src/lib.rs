//! At most one run per idempotency key, whoever sends it again and through whichever node.
//!
//! One [`Home`] per shard of keys records *started* before a run may begin, and a [`Backup`] in
//! another failure domain holds a copy. The node that hands the request to the backend server asks
//! through its [`Client`]; the permit never leaves that process. All parts are pure.
//!
//! How a node drives it:
//!
//! 1. A request with an idempotency key arrives at the owning node. `Key::new` digests it;
//!    `shard_of` names its shard; `client.begin` opens an attempt. Then loop over
//!    `client.hand_over(now, attempt)` just before the first byte goes to the server's socket:
//!    `Run` hands over, `Wait` sleeps until a message or some milliseconds have passed, `Answered`
//!    and `Refused` end the request. Owner not in touch: do not call it, `client.give_up`.
//! 2. After the server answered: `client.finish(now, attempt, Outcome)`. A refusal of the server
//!    itself is `Outcome::NotRun`; a lost connection `Outcome::Unknown`. Do not wait for the home.
//! 3. Often (some 20 ms) and after each call: send what `client.poll(now)` returns, `home.tick`
//!    likewise. `Outgoing::to` is a node; it may be this one.
//! 4. A [`msg::Message`] by its body: `Ask` and `Copied` to `home.on`, `Reply` to `client.on`,
//!    `Copy` to `backup.on`. [`msg::Message::fits_datagram`] tells which need the TCP link.
//! 5. `home.on` gets [`Role::Active`] only when the node is in touch *and* the
//!    control value names it as primary of the shard under `home.epoch()` with `home.backup()`,
//!    checked at that moment; otherwise [`Role::Standby`]. `home.tick` only copies.
//! 6. Control value applied: `client.follow_home(shard, epoch, primary)`, `backup.follow_epoch(epoch)`; drop a
//!    `Home` whose epoch is lower than the control value's.
//! 7. Succession, where the control value is at epoch E and the primary is gone:
//!    - The node that it names as backup calls `backup.seal(now, E, primary)`. With records (the
//!      copy was complete): make `Home::new(E + 1, Some(another backup), start)`, claim E + 1
//!      `lossy: false` by `Claim::after_hand_over` (the seal stops the old primary), act once ready.
//!    - Anyone else, or no records: claim E + 1 with `lossy: true` by `Claim::new` (it waits), then
//!      `Home::new(E + 1, backup, InitialState::without_records(E + 1, now, opts))`. The first claim ever, from
//!      epoch zero: `InitialState::first()`.
//! 8. Backup lost (`home.backup_is_lost(now)`, or gone from the membership): `home.stop()` gives a
//!    `InitialState`; make the `Home` of E + 1 with another backup, tick it as `Waiting` until
//!    `is_replicated()`, then claim E + 1 by `Claim::after_hand_over`, `lossy: false`. A claim lost:
//!    drop the `Home`; won with another backup than `home.backup()`: do the same from E + 1. Every
//!    change of primary or backup is thus one epoch.
//! 9. Planned stop: nothing to hand over. The backup takes a draining primary for gone and succeeds
//!    at once; a draining backup is replaced.

mod attempt;
pub mod backup;
pub mod client;
mod copies;
pub mod home;
mod initial_state;
mod key;
pub mod msg;
mod outgoing;
mod record;
mod records;

pub use attempt::Attempt;
pub use backup::Backup;
pub use client::{Client, Decision, Outcome, Request};
pub use home::{Home, Role};
pub use initial_state::InitialState;
pub use key::{HOME_SHARDS, Key, issue, shard_of};
pub use outgoing::Outgoing;
pub use record::{Answer, MAX_ANSWER_BYTES};
