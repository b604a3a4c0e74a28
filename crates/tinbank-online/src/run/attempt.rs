//! One attempt to run a request at one upstream.

use std::sync::Arc;

use tinbank_base::{
    id,
    outcome::Ran,
    platform::upstream::{self, Target},
};
use tinbank_routing::Choice;

use crate::{clock, context::Context};

/// A request at an upstream. Dropping it while the upstream may still work on the request cancels that work: the caller
/// disconnected, the deadline passed, or the answer was invalid.
pub(crate) struct Attempt {
    ctx: Arc<Context>,
    /// Differs for each attempt, so that a late cancel or answer is not mistaken for another attempt's.
    id: id::Request,
    choice: Option<Choice>,
    target: Target,
    armed: bool,
}

impl Attempt {
    /// Creates the attempt with the given number, from 0, of a request.
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

    /// Marks the request as sent: dropping the attempt cancels it from now on.
    pub(crate) fn arm(&mut self) {
        self.armed = true;
    }

    /// Records that the upstream has answered completely.
    pub(crate) fn succeed(mut self) {
        self.armed = false;
        if let Some(choice) = &self.choice {
            choice.ticket.record_result(Ok(()), clock::now());
        }
    }

    /// Records that the attempt failed.
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
                    "failed to cancel a request at an upstream"
                );
            }
            // The request counts as in flight until the cancel is done.
            drop(choice);
        };
        self.ctx.tasks.spawn_on(cancel, &self.ctx.traffic);
    }
}
