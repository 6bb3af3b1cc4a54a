//! What a node beside a backend server believes and decides, without sockets or clocks.
//!
//! Every part is told the time and what happened, and says what follows. The event loop of the
//! `cassiashunt-sidecar` crate owns the sockets and asks these parts.

mod allowance;
mod announce;
mod directory;
mod freshness;
mod homes;
mod report_age;
mod subset;
mod sums;
mod table;
mod tree;
mod watch;

pub mod prelude;

pub use allowance::{Allowance, DELEGATION_TTL, Options as AllowanceOptions, Take};
pub use announce::{Announcement, Heartbeat, ServerState};
pub use directory::{Directory, DirectoryUpdate, EntryChange};
pub use freshness::{Freshness, ProofPace};
pub use homes::{first_by_rank, home_of, homes};
pub use report_age::ReportAge;
pub use subset::{SUBSET_SIZE, SubsetWidth, subset};
pub use sums::{Origin, Sum, SumReport, SumTimes, Sums, Uses};
pub use table::{
    ClientLimits, InvalidTable, Repeat, RouteRow, SiteTable, Target, Unmatched, WorkspaceRow,
};
pub use tree::{Tree, TreePosition};
pub use watch::{LinkAction, LinkWatch, LinkWatchOptions};
