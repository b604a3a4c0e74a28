//! When a process is ready: once it has all that its decisions depend on. See `docs/design/readiness.md`.

use std::time::Duration;

use smallvec::SmallVec;
use tinbank_base::{
    event::{Kind, Subject},
    frame::heartbeat::Phase,
};
use tinbank_configuration::follower::Follower;
use tinbank_membership::Membership;
use tinbank_server::readiness::Flag;
use tinbank_timeline::Recorder;
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

use crate::hosts;

/// Interval at which a process that is not ready logs what it lacks.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// What a process needs before it takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The configuration.
    Configuration,
    /// The host list, applied by the part that decides by it.
    HostList,
    /// What peers know of leaving upstreams, or that no peer answers.
    Notices,
}

/// What a starting process still lacks. Clones share one list.
#[derive(Clone, Debug)]
pub struct Checklist(watch::Sender<SmallVec<[Requirement; 4]>>);

impl Checklist {
    /// Creates a checklist with nothing completed.
    pub fn new(requirements: &[Requirement]) -> Self {
        Self(watch::Sender::new(requirements.into()))
    }

    /// Marks a requirement as fulfilled, for good.
    pub fn complete(&self, requirement: Requirement) {
        self.0.send_if_modified(|missing| {
            let before = missing.len();
            missing.retain(|it| *it != requirement);
            missing.len() < before
        });
    }

    /// Returns what is missing.
    pub fn missing(&self) -> SmallVec<[Requirement; 4]> {
        self.0.borrow().clone()
    }

    /// Waits until nothing is missing, and logs what is meanwhile.
    async fn completed(&self) {
        let mut missing = self.0.subscribe();
        // The sender lives as long as this does.
        while timeout(REPORT_INTERVAL, missing.wait_for(|it| it.is_empty()))
            .await
            .is_err()
        {
            log::info!(event = "not_ready", missing:? = self.missing(); "the process takes no requests yet");
        }
    }
}

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

/// Completes the configuration once it is current.
pub(crate) async fn check_configuration(follower: Follower, checklist: Checklist) {
    let mut progress = follower.progress();
    if progress.wait_for(|progress| progress.ready).await.is_ok() {
        checklist.complete(Requirement::Configuration);
    }
}

/// Completes the host list once it was read, for a process that reads it when it decides and keeps no copy.
pub(crate) async fn check_host_list(mut lists: hosts::Watch, checklist: Checklist) {
    if lists.wait_for(Option::is_some).await.is_ok() {
        checklist.complete(Requirement::HostList);
    }
}

/// Makes the process ready, once.
pub(crate) async fn become_ready(
    checklist: Checklist,
    follower: Follower,
    membership: Membership,
    ready: Flag,
    recorder: Recorder,
) {
    let started_at = Instant::now();
    checklist.completed().await;
    let host = recorder.process().host;
    if follower.snapshot().leaving.hosts.contains(&host) {
        return;
    }
    ready.ready();
    // It may have begun to leave meanwhile.
    if ready.is_ready() {
        let after_ms = started_at.elapsed().as_millis() as u64;
        log::info!(event = "ready", after_ms; "the process takes requests");
        membership.set_phase(Phase::Ready);
        recorder.note(Subject::default(), Kind::Ready);
    }
}
