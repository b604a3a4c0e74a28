//! What the control thread does: it follows the host list, the engines' reports, the configuration and the peers, and
//! publishes what traffic threads read.

mod hosts;
mod load;
mod peers;
mod reports;

use std::sync::Arc;

use tinbank_admission::Teller;
use tinbank_base::{
    event::{Kind, Subject},
    frame::heartbeat::Phase,
};
use tinbank_configuration::follower::Follower;
use tinbank_membership::Membership;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub(crate) use peers::{Answerer, LateDirectory};

use crate::{context::Context, server::Platform};

/// What the control tasks work with.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    pub(crate) ctx: Arc<Context>,
    pub(crate) platform: Platform,
    pub(crate) follower: Follower,
    pub(crate) membership: Membership,
    pub(crate) teller: Teller,
}

impl Control {
    /// Starts the control tasks on the current runtime. They end when `stop` is cancelled.
    pub(crate) fn start(self, stop: &CancellationToken) {
        let tracker = TaskTracker::new();
        let (listed, have_list) = watch::channel(false);
        let (ctx, table) = (self.ctx.clone(), self.ctx.table.clone());
        let follow_hosts = hosts::follow(
            self.platform.hosts.clone(),
            ctx.configuration.clone(),
            table.clone(),
            self.membership.clone(),
            listed,
        );
        tracker.spawn(stop.clone().run_until_cancelled_owned(follow_hosts));
        let ask = reports::ask(self.platform.upstreams.clone(), table.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(ask));
        let tell = load::tell(table.clone(), self.teller);
        tracker.spawn(stop.clone().run_until_cancelled_owned(tell));
        let pass_on =
            peers::pass_on_leaving(ctx.recorder.clone(), table.clone(), self.membership.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(pass_on));
        let share = peers::share_limits(ctx.clone(), self.membership.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(share));
        let hear = peers::hear_leaving(table, self.membership.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(hear));
        let ready = become_ready(ctx, self.follower, self.membership, have_list);
        tracker.spawn(stop.clone().run_until_cancelled_owned(ready));
    }
}

/// Says how far the configuration is, and that the process serves once it has both a configuration and a host list.
async fn become_ready(
    ctx: Arc<Context>,
    follower: Follower,
    membership: Membership,
    mut have_list: watch::Receiver<bool>,
) {
    let mut progress = follower.progress();
    let mut was_ready = false;
    let host = ctx.writer.process.host;
    loop {
        let now = *progress.borrow_and_update();
        membership.set_config(now.next);
        let drained = follower.snapshot().leaving.hosts.contains(&host);
        if now.ready && *have_list.borrow_and_update() && !was_ready && !drained {
            was_ready = true;
            ctx.ready.ready();
            if ctx.ready.is_ready() {
                membership.set_phase(Phase::Ready);
                ctx.recorder.note(Subject::default(), Kind::Ready);
            }
        }
        let changed = tokio::select! {
            changed = progress.changed() => changed,
            changed = have_list.changed(), if !was_ready => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
