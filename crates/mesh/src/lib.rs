//! What a node beside a backend server believes and decides, without sockets or clocks.
//!
//! Every part is told the time and what happened, and says what follows. The event loop of the
//! `cassiashunt-sidecar` crate owns the sockets and asks these parts.

mod allowance;
mod announce;
mod directory;
mod freshness;
mod homes;
mod subset;
mod sums;
mod table;
mod tree;
mod watch;
mod word_age;

pub mod prelude;

pub use allowance::{Allowance, DELEGATION, Options as AllowanceOptions, Take};
pub use announce::{Announcement, Heartbeat, ServerState};
pub use directory::{Directory, EntryChange, News};
pub use freshness::{Freshness, ProofPace};
pub use homes::{first_by_rank, home_of, homes};
pub use subset::{SUBSET, Width, subset};
pub use sums::{Origin, Sum, SumTimes, Sums, Told, Uses};
pub use table::{
    ClientLimits, InvalidTable, Repeat, RouteRow, SiteTable, Target, Unmatched, WorkspaceRow,
};
pub use tree::{Station, Tree};
pub use watch::{LinkWatch, WatchOptions, Watched};
pub use word_age::WordAge;
