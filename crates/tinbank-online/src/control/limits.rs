//! Divides customers' limits among the ready online processes, in the background: requests never wait for it.

use std::{sync::Arc, time::Duration};

use tinbank_base::{
    frame::demand::Message,
    id,
    peer::{Directory as _, Members},
    record::Writer,
};
use tinbank_membership::Membership;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{clock, context::Context};

/// Interval at which due claim requests are sent to keepers.
const CLAIM_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// How long new demand is collected before it is sent, so that a burst needs few frames.
const DEMAND_DEBOUNCE: Duration = Duration::from_millis(20);

/// Updates the gate's hosts as online processes become ready or leave.
pub(super) async fn track_hosts(ctx: Arc<Context>, membership: Membership) {
    let mut members = membership.watch();
    loop {
        let now = members.borrow_and_update().clone();
        let hosts = now.ready(id::Role::Online);
        let hosts = hosts.map(|member| member.writer.process.host).collect();
        ctx.gate.set_hosts(hosts, clock::now());
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Claims shares of the limits in demand here from their keepers, periodically and when demand rises.
pub(super) async fn run_claim_requests(ctx: Arc<Context>, membership: Membership) {
    let mut ticks = interval(CLAIM_REQUEST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = ctx.gate.demand_changed() => sleep(DEMAND_DEBOUNCE).await,
        }
        send_claim_requests(&ctx, &membership.members());
    }
}

/// Sends the claim requests that are due.
pub(crate) fn send_claim_requests(ctx: &Context, members: &Members) {
    for (keeper, ask) in ctx.gate.claim_requests(clock::now()) {
        send(ctx, members, online(keeper), Message::ClaimRequest(ask));
    }
}

/// Sends a message to a process. One to this process is applied directly.
fn send(ctx: &Context, members: &Members, to: id::Process, message: Message) {
    if to == ctx.writer.process {
        return on_message(ctx, ctx.writer, &message);
    }
    if let Some(member) = members.get(to) {
        ctx.peers.send_demand(member.peer, message);
    }
}

/// Handles a message about limits; only online processes take part.
pub(crate) fn on_message(ctx: &Context, from: Writer, message: &Message) {
    if from.process.role != id::Role::Online {
        return;
    }
    let (host, now) = (from.process.host, clock::now());
    match message {
        Message::ClaimRequest(ask) => {
            let answer = ctx.gate.on_claim_request(from, ask, now);
            let members = ctx.directory.members();
            if let Some(grant) = answer.grant {
                send(ctx, &members, from.process, Message::Grant(grant));
            }
            for (holder, recall) in answer.recalls {
                send(ctx, &members, holder.process, Message::Recall(recall));
            }
        }
        Message::Grant(grant) => ctx.gate.on_grant(host, grant, now),
        Message::Recall(recall) => ctx.gate.on_recall(host, recall, now),
    }
}

fn online(host: id::Host) -> id::Process {
    id::Process {
        host,
        role: id::Role::Online,
    }
}
