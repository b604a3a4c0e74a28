//! Follows the platform's host list.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_admission::Engine;
use tinbank_base::platform::hosts::{Error, Hosts, Kind, List, State};
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, timeout},
};

use super::Control;

/// How often the list is read.
const EVERY: Duration = Duration::from_millis(500);
/// How long one reading may take.
const READ_TIME: Duration = Duration::from_secs(2);
/// Requests that an engine runs at once when the platform doesn't say.
const DEFAULT_SLOTS: u32 = 8;

/// Reads the list again and again; the last one that could be read stays in force.
pub(super) async fn follow(control: Control, listed: watch::Sender<bool>) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    let mut version = None;
    loop {
        ticks.tick().await;
        let read = read(&*control.hosts).await;
        note(&read, &mut failing);
        let Ok(list) = read else {
            continue;
        };
        control.table.list(&list, Instant::now());
        listed.send_replace(true);
        if version.is_none_or(|version| version < list.version) {
            version = Some(list.version);
            control.admission.set_engines(engines(&list));
            control.membership.set_hosts(Arc::new(list));
        }
    }
}

fn engines(list: &List) -> Vec<Engine> {
    let live = list.upstreams.iter();
    live.filter(|upstream| upstream.kind == Kind::Engine && upstream.state == State::Live)
        .map(|upstream| {
            let slots = upstream.slots.unwrap_or(DEFAULT_SLOTS);
            Engine {
                upstream: upstream.upstream,
                slots: u16::try_from(slots).unwrap_or(u16::MAX),
            }
        })
        .collect()
}

async fn read(hosts: &dyn Hosts) -> Result<List, Error> {
    let read = timeout(READ_TIME, hosts.list()).await;
    read.unwrap_or_else(|_| Err(Error("no answer in time".to_owned())))
}

/// Logs only when reading begins to fail and when it works again, so that an outage does not fill the log.
fn note(read: &Result<List, Error>, failing: &mut bool) {
    match read {
        Err(error) if !*failing => {
            *failing = true;
            log::warn!(event = "host_list_lost", error:%; "the last host list stays in force");
        }
        Ok(list) if *failing => {
            *failing = false;
            log::info!(event = "host_list_back", version = list.version; "the host list can be read again");
        }
        _ => {}
    }
}
