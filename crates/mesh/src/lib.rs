//! State and decisions of a node that runs beside a backend server, without sockets or clocks.
//!
//! Each type takes the current time and an event as arguments and returns what to do. The event
//! loop in the `cassiashunt-sidecar` crate owns the sockets and clocks and calls into this crate.

mod allowance;
mod announce;
mod directory;
mod evacuations;
mod first_comparison;
mod fleet_count;
mod freshness;
mod homes;
mod known_table;
mod line_limit;
mod link_watch;
mod pause_watch;
mod peer_identity;
mod report_age;
mod server_starts;
mod stop_schedule;
mod store_revision;
mod subset;
mod sums;
mod table;
mod tree;
mod warmth;

pub mod prelude;

pub use allowance::{Allowance, DELEGATION_TTL, Options as AllowanceOptions, Take};
pub use announce::{Announcement, Heartbeat, ServerState};
pub use directory::{Directory, DirectoryUpdate, EntryChange};
pub use evacuations::{EvacuationChange, Evacuations};
pub use first_comparison::FirstComparison;
pub use fleet_count::FleetCount;
pub use freshness::{Freshness, ProofPace};
pub use homes::{first_by_rank, home_of, homes};
pub use known_table::KnownTable;
pub use line_limit::LineLimit;
pub use link_watch::{LinkAction, LinkWatch, LinkWatchOptions};
pub use pause_watch::PauseWatch;
pub use peer_identity::PeerIdentity;
pub use report_age::ReportAge;
pub use server_starts::{ProbeOutcome, ReportOutcome, ServerStarts};
pub use stop_schedule::StopSchedule;
pub use store_revision::StoreRevision;
pub use subset::{SUBSET_SIZE, SubsetWidth, subset};
pub use sums::{Origin, Sum, SumReport, SumTimes, Sums, Uses};
pub use table::{
    ClientLimits, InvalidTable, Repeat, RouteRow, ServiceRow, SiteTable, Target, Unmatched,
    WorkspaceRow,
};
pub use tree::{Tree, TreePosition};
pub use warmth::Warmth;
