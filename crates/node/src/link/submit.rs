//! How requests of other nodes reach this one.

use std::sync::Arc;

use bytes::Bytes;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Begin, Fetch};

use crate::{duty, owner::Reply, shared::Shared};

/// Takes in what other nodes ask over their connections.
pub(crate) struct Submit {
    shared: Arc<Shared>,
}

impl Submit {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
        }
    }

    /// Takes in a whole request.
    pub(super) fn start(&self, begin: Begin, body: Bytes, reply: &Arc<Reply>) {
        match self.shared.owner.get() {
            Some(owner) => owner.start(begin, body, reply),
            None => reply.refuse(Refusal::not_run(Reason::NoServer), None, begin.retries),
        }
    }

    /// Answers the question for a value of the configuration.
    pub(super) fn fetch(&self, fetch: Fetch, reply: &Reply) {
        duty::answer_fetch(&self.shared, fetch, reply);
    }

    /// Gives a request up.
    pub(super) fn cancel(&self, reply: &Reply) {
        self.shared.cancel_local(reply);
    }
}
