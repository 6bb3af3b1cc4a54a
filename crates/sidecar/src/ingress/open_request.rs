//! Counts requests that are open, for the drain of a stop.

use cassiashunt_types::prelude::*;

use super::counted::Counted;
use crate::{clock, node::Node};

/// Counts a request in `Node::open_requests` until dropped, and logs one that a stop cuts off.
pub(crate) struct OpenRequest<'a> {
    node: &'a Node,
    _counted: Counted<'a>,
    /// The attempt id and when the request was read completely; `None` before that and after its
    /// end.
    unanswered: Option<(String, Time)>,
}

impl<'a> OpenRequest<'a> {
    pub(crate) fn new(node: &'a Node) -> Self {
        Self {
            node,
            _counted: Counted::new(&node.open_requests),
            unanswered: None,
        }
    }

    /// Records that the request has been read completely.
    pub(crate) fn on_read(&mut self, attempt: &str, at: Time) {
        self.unanswered = Some((attempt.to_owned(), at));
    }

    /// Records that the request was answered.
    pub(crate) fn on_answered(&mut self) {
        self.unanswered = None;
    }

    /// Records that its client did not take the answer.
    pub(crate) fn on_unwritten(&mut self) {
        let (attempt, _) = self.unanswered.take().unwrap_or_default();
        log::info!(request:% = attempt; "answer-unwritten");
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let Some((attempt, read_at)) = self.unanswered.take() else {
            return;
        };
        if let Some(stop) = self.node.stopping.get() {
            let began = stop.began();
            log::warn!(request:% = attempt, read_ms = clock::millis(read_at.since(began)),
                since_stop_ms = clock::millis(clock::now().since(began)); "request-cut");
        }
    }
}
