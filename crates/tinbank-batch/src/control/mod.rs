//! Tasks that keep a batch process's view of upstreams, customers and members up to date, in addition to those of all
//! processes.

mod peers;

use std::{collections::BTreeMap, sync::Arc};

use tinbank_admission::{Engine, Service as Admission};
use tinbank_base::{
    id,
    peer::Members,
    platform::hosts::{Kind, List, State},
};
use tinbank_configuration::Snapshot;
use tinbank_membership::Membership;
use tinbank_process::{Core, hosts};
use tokio::sync::watch;

/// Slots of an engine if the platform does not report them.
const DEFAULT_SLOTS: u32 = 8;

/// Starts the tasks on the current runtime, once the process has joined its peers.
pub(crate) fn start(
    core: &Core,
    membership: &Membership,
    admission: &Admission,
    writers: watch::Sender<usize>,
) {
    core.spawn(apply_host_lists(core.hosts(), admission.clone()));
    core.spawn(count_writers(membership.watch(), writers));
    let mut progress = core.follower.progress();
    let (follower, admission) = (core.follower.clone(), admission.clone());
    core.spawn(async move {
        loop {
            progress.borrow_and_update();
            admission.set_shares(shares(&follower.snapshot()));
            if progress.changed().await.is_err() {
                return;
            }
        }
    });
}

async fn apply_host_lists(mut lists: hosts::Watch, admission: Admission) {
    loop {
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list {
            admission.set_engines(engines(&list));
        }
        if lists.changed().await.is_err() {
            return;
        }
    }
}

/// Sends the log writer the number of processes that share the budget of appends.
async fn count_writers(mut members: watch::Receiver<Arc<Members>>, writers: watch::Sender<usize>) {
    loop {
        let ready = members.borrow_and_update().ready(id::Role::Batch).count();
        let count = ready.max(1);
        writers.send_if_modified(|known| std::mem::replace(known, count) != count);
        if members.changed().await.is_err() {
            return;
        }
    }
}

fn engines(list: &List) -> Vec<Engine> {
    let upstreams = list.upstreams.iter();
    let live =
        upstreams.filter(|upstream| upstream.kind == Kind::Engine && upstream.state == State::Live);
    live.map(|upstream| {
        let slots = upstream.slots.unwrap_or(DEFAULT_SLOTS);
        Engine {
            upstream: upstream.upstream,
            slots: u16::try_from(slots).unwrap_or(u16::MAX),
        }
    })
    .collect()
}

fn shares(snapshot: &Snapshot) -> BTreeMap<id::Customer, u32> {
    let customers = snapshot.customers.iter();
    customers
        .map(|(name, customer)| (name.clone(), customer.share))
        .collect()
}
