//! Shares the limits of customers with the online processes that serve. No request waits for any of this.

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

/// How often it is looked at what keepers have to be asked.
const EVERY: Duration = Duration::from_millis(500);

/// How long new demand is gathered, so that a burst of it costs few frames.
const GATHER: Duration = Duration::from_millis(20);

/// Follows which processes share the limits.
pub(super) async fn follow(ctx: Arc<Context>, membership: Membership) {
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

/// Asks the keepers for parts of the limits that there is demand on here.
pub(super) async fn ask(ctx: Arc<Context>, membership: Membership) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = ctx.gate.urgent() => sleep(GATHER).await,
        }
        ask_all(&ctx, &membership.members());
    }
}

/// Asks whatever keepers have to be asked now.
pub(crate) fn ask_all(ctx: &Context, members: &Members) {
    for (keeper, ask) in ctx.gate.claim_requests(clock::now()) {
        send(ctx, members, online(keeper), Message::ClaimRequest(ask));
    }
}

/// Sends a frame; one to ourselves costs none.
fn send(ctx: &Context, members: &Members, to: id::Process, message: Message) {
    if to == ctx.writer.process {
        return told(ctx, ctx.writer, &message);
    }
    if let Some(member) = members.get(to) {
        ctx.peers.send_demand(member.peer, message);
    }
}

/// Takes in a frame about limits.
pub(crate) fn told(ctx: &Context, from: Writer, message: &Message) {
    if from.process.role != id::Role::Online {
        return;
    }
    let (host, now) = (from.process.host, clock::now());
    match message {
        Message::ClaimRequest(ask) => {
            let answer = ctx.gate.asked(from, ask, now);
            let members = ctx.directory.members();
            if let Some(grant) = answer.grant {
                send(ctx, &members, from.process, Message::Grant(grant));
            }
            for (holder, recall) in answer.recalls {
                send(ctx, &members, holder.process, Message::Recall(recall));
            }
        }
        Message::Grant(grant) => ctx.gate.answered(host, grant, now),
        Message::Recall(recall) => ctx.gate.recalled(host, recall, now),
    }
}

fn online(host: id::Host) -> id::Process {
    id::Process {
        host,
        role: id::Role::Online,
    }
}
