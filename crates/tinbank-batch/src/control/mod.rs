//! What keeps a batch process's picture of the fleet fresh: host list, reports, configuration, members.

mod hosts;
mod peers;
mod reports;

use std::{collections::BTreeMap, sync::Arc};

use tinbank_admission::Service as Admission;
use tinbank_base::{
    event::{Kind, Subject},
    frame::heartbeat::Phase,
    id,
    peer::Members,
    platform::{hosts::Hosts, upstream::Upstreams},
};
use tinbank_configuration::follower::Follower;
use tinbank_membership::Membership;
use tinbank_routing::Table;
use tinbank_server::readiness::Flag;
use tinbank_timeline::Recorder;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub(crate) use peers::{LateDirectory, PeerClock};

/// What the tasks work with.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    pub(crate) hosts: Arc<dyn Hosts>,
    pub(crate) upstreams: Arc<dyn Upstreams>,
    pub(crate) table: Table,
    pub(crate) follower: Follower,
    pub(crate) membership: Membership,
    pub(crate) admission: Admission,
    pub(crate) recorder: Recorder,
    pub(crate) flag: Flag,
}

impl Control {
    /// Starts the tasks on the current runtime. They end when `stop` is cancelled.
    pub(crate) fn start(self, writers: watch::Sender<usize>, stop: &CancellationToken) {
        let tracker = TaskTracker::new();
        let (listed, have_list) = watch::channel(false);
        let follow = hosts::follow(self.clone(), listed);
        tracker.spawn(stop.clone().run_until_cancelled_owned(follow));
        let ask = reports::ask(self.upstreams.clone(), self.table.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(ask));
        let hear = peers::hear_leaving(self.table.clone(), self.membership.clone());
        tracker.spawn(stop.clone().run_until_cancelled_owned(hear));
        let count = count_writers(self.membership.watch(), writers);
        tracker.spawn(stop.clone().run_until_cancelled_owned(count));
        tracker.spawn(
            stop.clone()
                .run_until_cancelled_owned(self.configured(have_list)),
        );
    }

    /// Takes in each new configuration, and says that the process serves once it has one and a host list.
    async fn configured(self, mut have_list: watch::Receiver<bool>) {
        let mut progress = self.follower.progress();
        let mut was_ready = false;
        loop {
            let now = *progress.borrow_and_update();
            self.membership.set_config(now.next);
            self.admission.set_shares(self.shares());
            if now.ready && *have_list.borrow_and_update() && !was_ready {
                was_ready = true;
                self.ready();
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

    fn ready(&self) {
        self.flag.ready();
        if self.flag.is_ready() {
            self.membership.set_phase(Phase::Ready);
            self.recorder.note(Subject::default(), Kind::Ready);
        }
    }

    fn shares(&self) -> BTreeMap<id::Customer, u32> {
        let snapshot = self.follower.snapshot();
        let customers = snapshot.customers.iter();
        customers
            .map(|(name, customer)| (name.clone(), customer.share))
            .collect()
    }
}

/// Tells the log writer how many processes share the budget of appends.
async fn count_writers(mut members: watch::Receiver<Arc<Members>>, writers: watch::Sender<usize>) {
    loop {
        let count = members.borrow_and_update().ready(id::Role::Batch).count();
        writers.send_if_modified(|known| {
            let changed = *known != count.max(1);
            *known = count.max(1);
            changed
        });
        if members.changed().await.is_err() {
            return;
        }
    }
}
