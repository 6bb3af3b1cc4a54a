//! Puts the table back into a platform that went back to an older state.

use std::{sync::Arc, thread, time::Duration};

use cassiashunt_table::commit::Commit;

use super::accept;
use crate::shared::Shared;

/// The time between two repairs.
const PAUSE: Duration = Duration::from_secs(1);

/// Installs the table in force again, unless that is being done already.
pub(super) fn start(shared: &Arc<Shared>) {
    let Some(head) = shared.config.head() else {
        return;
    };
    if !shared.begin_repair() {
        return;
    }
    let repaired = Arc::clone(shared);
    let repair = move || {
        let commit = Commit::start_reinstall(head, Default::default());
        let outcome = accept::run(&repaired, commit);
        log::warn!(event = "table-reinstalled"; "{outcome}");
        thread::sleep(PAUSE);
        repaired.end_repair();
    };
    if let Err(err) = thread::Builder::new().name("repair".into()).spawn(repair) {
        log::error!(event = "thread-refused"; "{err}");
        shared.end_repair();
    }
}
