//! The platform's key-value service: trait, HTTP adapter and in-memory double.
//!
//! [`Platform`] is the narrow interface that every other part sees. [`Http`] speaks to the
//! service; [`Memory`] stands in for it in tests and can be made to fail. Both answer by the same
//! [`Store`], which is pure and takes the time as an argument.
//!
//! A compare-and-swap whose answer is lost is reported as [`swap::Outcome::Unknown`]: the write
//! may have taken effect, and nothing here sends it a second time.

mod budget;
mod calls;
mod entry;
mod error;
mod faults;
mod http;
mod memory;
mod platform;
mod store;

pub mod swap;
pub mod watch;
pub mod wire;

pub use budget::Budget;
pub use calls::{Call, Calls};
pub use entry::{Entry, LeaseId, MAX_VALUE_BYTES, Version};
pub use error::Error;
pub use faults::Faults;
pub use http::{Http, Options as HttpOptions};
pub use memory::{Memory, Options as MemoryOptions};
pub use platform::Platform;
pub use store::Store;
