//! Follows the platform's host list.

use std::{sync::Arc, time::Duration};

use tinbank_base::platform::hosts::{Error, Hosts, List};
use tinbank_configuration::snapshot::Shared;
use tinbank_membership::Membership;
use tinbank_routing::Table;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, timeout},
};

use crate::clock;

/// How often the list is read.
const EVERY: Duration = Duration::from_millis(500);
/// How long one reading may take.
const READ_TIME: Duration = Duration::from_secs(2);

/// Reads the list again and again; the last one that could be read stays in force.
pub(super) async fn follow(
    hosts: Arc<dyn Hosts>,
    configuration: Shared,
    table: Table,
    membership: Membership,
    listed: watch::Sender<bool>,
) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    let mut version = None;
    loop {
        ticks.tick().await;
        let read = read(&*hosts).await;
        note(&read, &mut failing);
        let Ok(list) = read else {
            continue;
        };
        let effective = configuration.load().leaving.overlay(&list);
        table.list(&effective, clock::now());
        listed.send_replace(true);
        if version.is_none_or(|version| version < list.version) {
            version = Some(list.version);
            membership.set_hosts(Arc::new(list));
        }
    }
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
            log::warn!(event = "host_list_lost", reason = error.to_string().as_str(); "the last host list stays in force");
        }
        Ok(list) if *failing => {
            *failing = false;
            log::info!(event = "host_list_back", version = list.version; "the host list can be read again");
        }
        _ => {}
    }
}
