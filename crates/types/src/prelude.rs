//! The types that most modules use.

pub use std::time::Duration;

pub use crate::{
    ChainId, Class, Epoch, FailureDomain, KeyId, NodeId, Reason, Refusal, RequestId, Revision,
    Route, Service, ShardId, Time, Verdict, Workspace,
};
