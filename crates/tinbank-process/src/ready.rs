//! When a process is ready: once it has both a configuration and a host list.

use tinbank_base::{
    event::{Kind, Subject},
    frame::heartbeat::Phase,
};
use tinbank_configuration::follower::Follower;
use tinbank_membership::Membership;
use tinbank_server::readiness::Flag;
use tinbank_timeline::Recorder;

use crate::hosts;

/// Says how far the configuration is, and passes the host list on.
pub(crate) async fn pass_on(follower: Follower, membership: Membership, mut lists: hosts::Watch) {
    let mut progress = follower.progress();
    loop {
        membership.set_config(progress.borrow_and_update().next);
        let list = lists.borrow_and_update().clone();
        if let Some(list) = list {
            membership.set_hosts(list);
        }
        let changed = tokio::select! {
            changed = progress.changed() => changed,
            changed = lists.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Makes the process ready, once.
pub(crate) async fn become_ready(
    follower: Follower,
    membership: Membership,
    mut lists: hosts::Watch,
    ready: Flag,
    recorder: Recorder,
) {
    let mut progress = follower.progress();
    let configured = progress.wait_for(|progress| progress.ready).await.is_ok();
    let listed = lists.wait_for(Option::is_some).await.is_ok();
    let host = recorder.process().host;
    let drained = follower.snapshot().leaving.hosts.contains(&host);
    if !configured || !listed || drained {
        return;
    }
    ready.ready();
    // It may have begun to leave meanwhile.
    if ready.is_ready() {
        membership.set_phase(Phase::Ready);
        recorder.note(Subject::default(), Kind::Ready);
    }
}
