//! The servers of a service as this node would choose among them, for the page that explains.

use cassiashunt_types::prelude::*;

use super::{Fleet, ServerPath};
use crate::explain::ServerView;

impl Fleet {
    /// The servers of a service, the next to be chosen first.
    pub(crate) fn server_views(&self, now: Time, service: Service) -> Vec<ServerView> {
        let Some(group) = self.groups.get(&service) else {
            return Vec::new();
        };
        let mut standings = group.chooser.standings(now);
        standings.sort_by(|a, b| {
            let left_out = a.left_out.is_some().cmp(&b.left_out.is_some());
            left_out.then(a.cost.total_cmp(&b.cost))
        });
        let views = standings.into_iter().filter_map(|it| {
            let candidate = group.chooser.candidate(it.key)?;
            Some(ServerView {
                service: service.as_str().into(),
                owner: group
                    .paths
                    .get(&it.key)
                    .map_or("", ServerPath::owner)
                    .into(),
                domain: candidate.domain.to_string(),
                slots: candidate.slots,
                utilisation: it.utilisation,
                cost: it.cost,
                left_out: it.left_out,
            })
        });
        views.collect()
    }
}
