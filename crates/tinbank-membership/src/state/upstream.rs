//! Tracks leaving upstreams, from the host list and from reports of peers.

use std::{sync::Arc, time::Instant};

use tinbank_base::{frame::heartbeat::Leaving, id, platform::hosts};

use super::{Action, State};

/// Maximum number of leaving upstreams that are tracked.
pub(super) const MAX_UPSTREAMS: usize = 1_024;

impl State {
    pub(super) fn set_hosts(
        &mut self,
        list: Arc<hosts::List>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if list.version < self.hosts.version {
            return;
        }
        self.table
            .merge_host_list(&list.members, self.own.writer.process, now);
        actions.push(Action::Members);
        let before = std::mem::replace(&mut self.hosts, list.clone());
        let count = self.upstreams.len();
        self.upstreams
            .retain(|_, leaving| !is_superseded(&list, leaving));
        if self.upstreams.len() < count {
            actions.push(Action::Leaving);
        }
        let mut urgent = false;
        for upstream in &list.upstreams {
            let leaves = upstream.state == hosts::State::Leaving;
            if leaves && is_live(&before, upstream.upstream) {
                let leaving = Leaving {
                    upstream: upstream.upstream,
                    list: before.version,
                };
                urgent |= self.apply_leaving_upstream(leaving, actions);
            }
        }
        if urgent {
            self.send_urgent(actions);
        }
    }

    pub(super) fn apply_leaving_upstream(
        &mut self,
        leaving: Leaving,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.upstreams.get(&leaving.upstream);
        let old = known.is_some_and(|known| known.list >= leaving.list);
        let full = known.is_none() && self.upstreams.len() >= MAX_UPSTREAMS;
        if old || full || is_superseded(&self.hosts, &leaving) {
            return false;
        }
        self.upstreams.insert(leaving.upstream, leaving);
        self.pending_upstreams
            .push(leaving.upstream, self.table.len() + 1);
        actions.push(Action::Leaving);
        true
    }
}

/// Returns whether a later list than the one that last had the upstream live has it live again, or lacks it.
fn is_superseded(list: &hosts::List, leaving: &Leaving) -> bool {
    if list.version <= leaving.list {
        return false;
    }
    let upstream = list
        .upstreams
        .iter()
        .find(|upstream| upstream.upstream == leaving.upstream);
    upstream.is_none_or(|upstream| upstream.state == hosts::State::Live)
}

fn is_live(list: &hosts::List, upstream: id::Upstream) -> bool {
    list.upstreams
        .iter()
        .any(|known| known.upstream == upstream && known.state == hosts::State::Live)
}
