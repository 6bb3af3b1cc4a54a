//! Requests that wait for their answers on one connection.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use cassiashunt_ring::Ring;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Refused};

struct Entry {
    answer: Ring<Body>,
    is_written: bool,
}

/// The waiting requests of one connection, until it is lost.
#[derive(Default)]
pub(crate) struct Pending {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    entries: HashMap<u64, Entry>,
    is_lost: bool,
}

impl Pending {
    /// Adds a request; `false` where the connection is lost.
    pub(crate) fn add(&self, request: u64, answer: Ring<Body>) -> bool {
        let mut state = self.lock();
        if !state.is_lost {
            state.entries.insert(
                request,
                Entry {
                    answer,
                    is_written: false,
                },
            );
        }
        !state.is_lost
    }

    /// Notes that bytes of the request are about to leave.
    pub(crate) fn mark_written(&self, request: u64) {
        if let Some(entry) = self.lock().entries.get_mut(&request) {
            entry.is_written = true;
        }
    }

    /// Where the answer to `request` goes.
    pub(crate) fn answer(&self, request: u64) -> Option<Ring<Body>> {
        self.lock()
            .entries
            .get(&request)
            .map(|entry| entry.answer.clone())
    }

    /// Takes a request out; `true` where none of its bytes have left.
    pub(crate) fn remove(&self, request: u64) -> bool {
        self.lock()
            .entries
            .remove(&request)
            .is_some_and(|entry| !entry.is_written)
    }

    /// Fails every request, each by whether any of its bytes may have left.
    pub(crate) fn lose(&self) {
        self.fail(|entry| match entry.is_written {
            true => Refusal::may_have_run(Reason::Lost),
            false => Refusal::not_run(Reason::NoServer),
        });
    }

    /// Fails every request as one that the other side did not read.
    pub(crate) fn refuse_unread(&self) {
        self.fail(|_| Refusal::not_run(Reason::Draining));
    }

    fn fail(&self, refusal: impl Fn(&Entry) -> Refusal) {
        let entries = {
            let mut state = self.lock();
            state.is_lost = true;
            std::mem::take(&mut state.entries)
        };
        for entry in entries.into_values() {
            let refused = Refused::from(refusal(&entry));
            // A full ring is closed below, which its reader takes as a loss.
            let _ = entry.answer.push(Body::Refused(refused));
            entry.answer.close();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
