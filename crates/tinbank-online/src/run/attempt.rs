//! One sending of a request to one upstream.

use std::sync::Arc;

use tinbank_base::{
    id,
    outcome::Ran,
    platform::upstream::{self, Target},
};
use tinbank_routing::Choice;

use crate::{clock, context::Context};

/// A request at an upstream. Dropped while the work may still run there, it cancels the work, whatever the reason: the
/// caller went away, the deadline passed, or the answer can't be trusted.
pub(crate) struct Attempt {
    ctx: Arc<Context>,
    /// Each attempt has an id of its own, so that a late cancel or answer of one can't be taken for another's.
    id: id::Request,
    choice: Option<Choice>,
    target: Target,
    armed: bool,
}

impl Attempt {
    /// The attempt with the given number, from 0, of a request.
    pub(crate) fn new(
        ctx: Arc<Context>,
        request: id::Request,
        number: u16,
        choice: Choice,
    ) -> Self {
        Self {
            ctx,
            id: request.wrapping_add(number.into()),
            target: choice.target,
            choice: Some(choice),
            armed: false,
        }
    }

    pub(crate) fn id(&self) -> id::Request {
        self.id
    }

    pub(crate) fn target(&self) -> Target {
        self.target
    }

    /// From now on the work may run at the upstream, which has to be told when nobody wants it any more.
    pub(crate) fn arm(&mut self) {
        self.armed = true;
    }

    /// The upstream has given its whole answer.
    pub(crate) fn succeed(mut self) {
        self.armed = false;
        if let Some(choice) = &self.choice {
            choice.ticket.record_result(Ok(()), clock::now());
        }
    }

    /// The attempt failed.
    pub(crate) fn fail(mut self, error: &upstream::Error) {
        if error.ran == Ran::No {
            self.armed = false;
        }
        if let Some(choice) = &self.choice {
            choice.ticket.record_result(Err(error), clock::now());
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (ctx, target, id) = (self.ctx.clone(), self.target, self.id);
        let choice = self.choice.take();
        metrics::counter!("tinbank_online_cancels_total").increment(1);
        let cancel = async move {
            if let Err(error) = ctx.upstreams.cancel(target, id).await {
                log::warn!(
                    event = "cancel_failed",
                    request = id::format_wide(id).as_str(),
                    upstream = target.upstream,
                    reason = error.to_string().as_str();
                    "an upstream could not be told to stop"
                );
            }
            // It counts as in flight until the upstream has been told.
            drop(choice);
        };
        self.ctx.tasks.spawn_on(cancel, &self.ctx.traffic);
    }
}
