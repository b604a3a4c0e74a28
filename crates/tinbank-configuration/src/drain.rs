//! Hosts and upstreams that operators drain. See `docs/design/drain.md`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tinbank_base::{
    id,
    platform::hosts::{List, State},
    record::config::Object,
};

/// Drain state of a host or upstream, as operators publish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// `leaving` drains it; `live` returns it to use.
    pub state: State,
}

/// All hosts and upstreams that operators drain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    /// Entry hosts, whose processes stop as they do on a termination signal.
    pub hosts: BTreeSet<id::Host>,
    /// Upstreams, which get no new work.
    pub upstreams: BTreeSet<id::Upstream>,
}

impl Leaving {
    /// Sets the drain state of an object. Does nothing for templates and customers, which cannot be drained.
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

    /// Returns the platform's list with everything that operators drain marked as leaving, in addition to what the
    /// platform marks itself.
    ///
    /// The list keeps the platform's version, by which hosts order lists.
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
