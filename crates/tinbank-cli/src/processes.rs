//! Finds the system's processes and asks all of them.

use std::{future::Future, net::SocketAddr};

use futures::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use tinbank_base::{id, platform::hosts::State};

use crate::{
    context::Context,
    error::Error,
    server::{Ask, Server},
};

/// What `/members` calls a process that was heard of lately.
const ALIVE: &str = "alive";
/// What `/members` calls a process that serves.
const READY: &str = "ready";
/// How many processes are asked at once.
const ASKED_AT_ONCE: usize = 32;

/// A process that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    pub(crate) process: id::Process,
    pub(crate) http: SocketAddr,
    pub(crate) failure_domain: id::FailureDomain,
    /// What the platform's list says; `None` if it is not there.
    pub(crate) listed: Option<State>,
    /// What the members believe of it; `None` if it is only on the platform's list.
    pub(crate) known: Option<Known>,
}

/// What the members believe of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) health: String,
    pub(crate) phase: String,
    pub(crate) config: id::Offset,
}

/// A member as `GET /members` shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Member {
    process: String,
    incarnation: id::Incarnation,
    health: String,
    phase: String,
    http: SocketAddr,
    failure_domain: id::FailureDomain,
    config: id::Offset,
}

impl Process {
    /// Whether nothing speaks against giving it work.
    pub(crate) fn is_in_use(&self) -> bool {
        let known = self.known.as_ref();
        let healthy = known.is_none_or(|known| known.health == ALIVE && known.phase == READY);
        healthy && self.listed != Some(State::Leaving)
    }
}

/// All processes: those that an entry's members list names, and those on the platform's host list. The two
/// differ while a process comes or goes, and each helps when the other can't be had.
pub(crate) async fn find(context: &mut Context) -> Result<Vec<Process>, Error> {
    let entries = context.entries()?;
    let members: Result<Vec<Member>, Error> =
        context.server().json(&entries, &Ask::get("/members")).await;
    let listed = match context.hosts() {
        Ok(hosts) => hosts.list().await.ok(),
        Err(_) => None,
    };
    let mut found: Vec<Process> = match (&members, &listed) {
        (Err(error), None) => return Err(error.clone()),
        (members, _) => members.iter().flatten().filter_map(known).collect(),
    };
    for member in listed.iter().flat_map(|list| &list.members) {
        if !found
            .iter()
            .any(|process| process.process == member.process)
        {
            found.push(Process {
                process: member.process,
                http: member.http,
                failure_domain: member.failure_domain.clone(),
                listed: None,
                known: None,
            });
        }
    }
    for process in &mut found {
        let mut members = listed.iter().flat_map(|list| &list.members);
        let member = members.find(|member| member.process == process.process);
        process.listed = member.map(|member| member.state);
    }
    found.sort_by_key(|process| process.process);
    Ok(found)
}

/// Asks every process, some at a time, and gives the answers in the processes' order.
pub(crate) async fn ask_all<T, F, R>(server: &Server, processes: &[Process], ask: F) -> Vec<T>
where
    F: Fn(Server, Process) -> R,
    R: Future<Output = T>,
{
    let asked = processes
        .iter()
        .map(|process| ask(server.clone(), process.clone()));
    stream::iter(asked).buffered(ASKED_AT_ONCE).collect().await
}

fn known(member: &Member) -> Option<Process> {
    Some(Process {
        process: parse(&member.process)?,
        http: member.http,
        failure_domain: member.failure_domain.clone(),
        listed: None,
        known: Some(Known {
            incarnation: member.incarnation,
            health: member.health.clone(),
            phase: member.phase.clone(),
            config: member.config,
        }),
    })
}

/// Reads a process as it is shown, such as `online@3`.
fn parse(text: &str) -> Option<id::Process> {
    let (role, host) = text.split_once('@')?;
    let role = serde_json::from_value(serde_json::Value::from(role)).ok()?;
    let host = host.parse().ok()?;
    Some(id::Process { host, role })
}
