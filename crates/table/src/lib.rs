//! The operators' configuration table, its edits, API keys and audit trail.
//!
//! A [`Head`] is the single value stored on the platform: the [`Table`], the verifiers of the keys
//! and the most recently accepted edits, under one [`Revision`](cassiashunt_types::Revision).
//! [`edit::apply`] is a pure function that applies an [`Edit`] to it; [`commit`] makes an edit
//! durable by compare-and-swap and reports whether it was accepted. Every node holds an
//! [`Applied`] and queries its [`Lookup`] on the request path.

mod applied;
mod binding;
mod column;
mod endpoint;
mod head;
mod incremental;
mod key;
mod keys;
mod line_id;
mod lookup;
mod merge;
mod partial;
mod pattern;
mod policy;
mod rate;
mod record;
mod row;
mod row_key;
mod table;
mod value;
mod verifier;

pub mod commit;
pub mod csv;
pub mod diff;
pub mod edit;

pub use applied::{Applied, Offer};
pub use binding::Binding;
pub use column::{Column, InvalidValue, UnknownColumn, ValueType};
pub use edit::{Change, Edit, EditId, InvalidEditId};
pub use endpoint::{Endpoint, InvalidEndpoint, Method};
pub use head::{HEAD_KEY, Head, InvalidHead, Lineage, SpillLimits};
pub use incremental::NonConsecutiveRecord;
pub use key::Key;
pub use keys::{KeyEntry, KeyRecord, KeyState, Keys};
pub use line_id::{InvalidLineId, LineId};
pub use lookup::Lookup;
pub use merge::{Dropped, Merged, merge};
pub use pattern::Pattern;
pub use policy::{MinuteLimit, RateLimit, RequestPolicy, Scope};
pub use rate::{InvalidRate, Rate};
pub use record::{AUDIT_PREFIX, Block, MergeInfo, Record, audit_prefix};
pub use row::Row;
pub use row_key::{InvalidRowKey, RowKey};
pub use table::Table;
pub use value::Value;
pub use verifier::{InvalidVerifier, Verifier};
