//! Where a run of an item begins: after the text that is known of it, or anew.
//!
//! A text goes on only at the service and build that began it. Nothing is lost if it begins anew, so it does once its route has left the
//! service, its build has no upstream left, or has given it no slot for a while.

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_jobs::job::Progress;
use tinbank_origin::Origin;
use tinbank_relay::route::Route;

use super::{Waiting, selection::Candidate};
use crate::{node::Node, origin};

/// How long an item waits for a slot at its build while others serve. Short of the time that most items take to run again.
const SLOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Where a run of an item begins.
#[derive(Clone, Debug)]
pub(super) struct Start {
    /// What is in the log of the item, or being written.
    pub previous: Progress,
    /// Whether the run goes on after it.
    pub resumes: bool,
}

impl Start {
    /// Decides where the next run of an item begins.
    pub fn new(node: &Node, route: &Route, waiting: Option<&Waiting>, logged: &Progress) -> Self {
        let previous = progress(waiting, logged).clone();
        let denied_since = waiting.and_then(|it| it.denied_since);
        let has_waited = denied_since.is_some_and(|since| since.elapsed() > SLOT_TIMEOUT);
        let may_resume =
            |it: &Origin| route.has_service(&it.service) && origin::may_serve(node, it);
        let resumes = match previous.last_event {
            0 => true,
            _ => previous.origin.as_ref().is_some_and(may_resume) && !has_waited,
        };
        Self { previous, resumes }
    }

    /// Returns the event after which the run is asked to go on; 0 for a run from the start.
    pub fn after(&self) -> u64 {
        match self.resumes {
            true => self.previous.last_event,
            false => 0,
        }
    }

    /// Returns the build that the run needs; `None` if any will do.
    pub fn build(&self) -> Option<&id::Build> {
        self.origin().map(|it| &it.build)
    }

    /// Returns the service to run at: that of the text if the run goes on with it, else one of the route.
    pub fn service<'a>(&'a self, route: &'a Route, draw: u64) -> Option<&'a id::Service> {
        let known = self.origin().map(|it| &it.service);
        known.or_else(|| route.service(draw))
    }

    fn origin(&self) -> Option<&Origin> {
        let origin = self.previous.origin.as_ref();
        origin.filter(|_| self.after() > 0)
    }
}

/// Returns the progress of an item that is in the log or being written.
pub(super) fn progress<'a>(waiting: Option<&'a Waiting>, logged: &'a Progress) -> &'a Progress {
    let own = waiting.map(|it| &it.progress);
    own.filter(|own| own.last_event > logged.last_event)
        .unwrap_or(logged)
}

/// Records since when an item gets no slot at the build that its text needs, while others of its route serve. Returns whether that is so.
pub(super) fn record_denial(node: &Node, candidate: &Candidate, now: Instant) -> bool {
    let Some(origin) = candidate.start.origin() else {
        return false;
    };
    if !has_alternative(node, &candidate.route, origin) {
        return false;
    }
    let mut waiting = node.batch.runner.waiting.borrow_mut();
    let waiting = waiting.entry(candidate.key.clone()).or_default();
    waiting.denied_since.get_or_insert(now);
    true
}

/// Returns whether upstreams of a route's services serve, other than those of an origin.
fn has_alternative(node: &Node, route: &Route, origin: &Origin) -> bool {
    let services: SmallVec<[&str; 2]> = route.services.iter().map(|it| &*it.service).collect();
    let listed = node.view.builds(&services);
    listed.iter().any(|it| it != origin) || node.origins.builds.lists_others(&services, origin)
}
