//! Follows the platform's host list.

use std::{sync::Arc, time::Duration};

use tinbank_base::platform::hosts::{Error, Hosts, List};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// How often the list is read: an upstream that leaves has to be left alone within two seconds.
pub const EVERY: Duration = Duration::from_millis(500);
/// Processes up to which each reads that often: 12 hosts. In a larger fleet each reads less often, so that the fleet reads as
/// often as before and a node's part does not grow; whoever reads that an upstream leaves tells the others.
const FEW_PROCESSES: usize = 36;
/// How long one reading may take.
const READ_TIME: Duration = Duration::from_secs(2);

/// The newest list that could be read; `None` before the first.
pub type Watch = watch::Receiver<Option<Arc<List>>>;

/// Reads the list again and again. The last one that could be read stays in force, and an older version never
/// replaces a newer one.
pub(crate) async fn follow(hosts: Arc<dyn Hosts>, lists: watch::Sender<Option<Arc<List>>>) {
    let mut failing = false;
    loop {
        let known = lists.borrow().as_ref().map(|list| list.version);
        let read = read(&*hosts, known).await;
        note(&read, &mut failing);
        if let Ok(Some(list)) = read {
            lists.send_if_modified(|current| replace(current, list));
        }
        let processes = lists.borrow().as_ref().map_or(0, |list| list.members.len());
        sleep(pace(processes)).await;
    }
}

/// Time between two readings in a fleet of so many processes.
pub fn pace(processes: usize) -> Duration {
    EVERY.mul_f64((processes as f64 / FEW_PROCESSES as f64).max(1.0))
}

fn replace(current: &mut Option<Arc<List>>, list: List) -> bool {
    let newer = current
        .as_ref()
        .is_none_or(|current| current.version < list.version);
    if newer {
        *current = Some(Arc::new(list));
    }
    newer
}

async fn read(hosts: &dyn Hosts, known: Option<u64>) -> Result<Option<List>, Error> {
    let read = timeout(READ_TIME, hosts.changed(known)).await;
    read.unwrap_or_else(|_| Err(Error("no answer in time".to_owned())))
}

/// Logs only when reading begins to fail and when it works again, so that an outage does not fill the log.
fn note(read: &Result<Option<List>, Error>, failing: &mut bool) {
    match read {
        Err(error) if !*failing => {
            *failing = true;
            log::warn!(event = "host_list_lost", reason = error.to_string().as_str(); "the last host list stays in force");
        }
        Ok(list) if *failing => {
            *failing = false;
            log::info!(event = "host_list_back", changed = list.is_some(); "the host list can be read again");
        }
        _ => {}
    }
}
