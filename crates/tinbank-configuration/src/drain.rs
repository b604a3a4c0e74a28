//! Hosts and upstreams that operators want left alone. See `docs/design/drain.md`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tinbank_base::{
    id,
    platform::hosts::{List, State},
    record::config::Object,
};

/// What operators want of a host or upstream, as they publish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// `leaving` drains it; `live` returns it to use.
    pub state: State,
}

/// All hosts and upstreams that operators want left alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    /// Entry hosts: their processes stop as on a signal.
    pub hosts: BTreeSet<id::Host>,
    /// Upstreams: they get no new work.
    pub upstreams: BTreeSet<id::Upstream>,
}

impl Leaving {
    /// Takes in what is wanted of an object. Templates and customers are not drained, and change nothing.
    pub fn set(&mut self, object: &Object, state: State) {
        match (object, state) {
            (Object::Host(host), State::Leaving) => {
                self.hosts.insert(*host);
            }
            (Object::Host(host), State::Live) => {
                self.hosts.remove(host);
            }
            (Object::Upstream(upstream), State::Leaving) => {
                self.upstreams.insert(*upstream);
            }
            (Object::Upstream(upstream), State::Live) => {
                self.upstreams.remove(upstream);
            }
            (Object::Template(_) | Object::Customer(_), _) => {}
        }
    }

    /// The platform's list as it holds for us: what the platform or our operators want left alone is leaving.
    ///
    /// The version stays the platform's, for it orders lists between hosts.
    pub fn overlay(&self, list: &List) -> List {
        let mut list = list.clone();
        for upstream in &mut list.upstreams {
            if self.upstreams.contains(&upstream.upstream) {
                upstream.state = State::Leaving;
            }
        }
        for member in &mut list.members {
            if self.hosts.contains(&member.process.host) {
                member.state = State::Leaving;
            }
        }
        list
    }
}
