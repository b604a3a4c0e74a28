//! Outages of the store in which the entries of healthy engines lapse, while followers change to reading the store and back.

use std::{rc::Rc, time::Duration};

use rand::{Rng, rngs::StdRng};
use tokio::{task, time};

use crate::{
    deployment::{Deployment, ENGINES},
    standin::{client, run_local, store},
};

/// Time in which the hosts have their roles and can rely on their lists.
const SETTLE_TIME: Duration = Duration::from_secs(7);
/// Longer than a follower waits for fresh updates before it reads the store itself.
const OUTAGE: Duration = Duration::from_secs(5);
/// When lapsed entries are back after the store's return.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// When requests are counted after the store's return.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Requests that each host receives in one after the other.
const REQUESTS: usize = 30;
/// Largest accepted percentage of refused requests.
const MAX_REFUSED_PERCENT: usize = 2;

/// Guards against hosts that take engines of other failure domains for gone after an outage, for as long as they run.
#[test]
fn hosts_serve_after_outages_in_which_entries_lapsed() {
    run_local(async {
        // Of the seven hosts of this seed, two follow delegates.
        let deployment = Deployment::start(0).await;
        time::sleep(SETTLE_TIME).await;

        let mut refused = Vec::new();
        for round in 0..2 {
            deployment.store.mode.set(store::Mode::Busy);
            time::sleep(OUTAGE).await;
            (0..ENGINES).for_each(|index| deployment.remove_engine(index));
            deployment.store.mode.set(store::Mode::Up);
            time::sleep(RETURN_TIME).await;
            (0..ENGINES).for_each(|index| deployment.put_engine(index));
            time::sleep(RECOVERY_TIME - RETURN_TIME).await;
            refused.push(count_refused(&deployment, round).await);
        }

        println!("refused after each outage: {refused:?}");
        let max = deployment.hosts.len() * REQUESTS * MAX_REFUSED_PERCENT / 100;
        assert!(
            refused.iter().all(|it| *it <= max),
            "refused {refused:?}, at most {max}, logs in {}",
            deployment.folder().display()
        );
        deployment.remove_files();
    });
}

/// Sends requests to all hosts at once, and returns how many were not served.
async fn count_refused(deployment: &Deployment, round: usize) -> usize {
    let callers = deployment.callers().into_iter().enumerate();
    let callers = callers.map(|(index, host)| {
        task::spawn_local(async move {
            let mut refused = 0;
            for number in 0..REQUESTS {
                let id = format!("lapse-{round}-{index}-{number}");
                let response = client::stream(host, "/resumable/x", &id).await;
                refused += usize::from(response.status != 200);
            }
            refused
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut refused = 0;
    for caller in callers {
        refused += caller.await.unwrap();
    }
    refused
}

/// Lets the entries of some engines lapse in an outage. They return one after the other while further faults are injected.
pub async fn inject(deployment: &Rc<Deployment>, random: &mut StdRng) {
    deployment.store.mode.set(store::Mode::Busy);
    time::sleep(Duration::from_millis(random.random_range(500..2_000))).await;
    let lapsed: Vec<_> = (0..ENGINES).filter(|_| random.random_bool(0.7)).collect();
    lapsed
        .iter()
        .for_each(|index| deployment.remove_engine(*index));
    deployment.store.mode.set(store::Mode::Up);
    for index in lapsed {
        let after = Duration::from_millis(random.random_range(0..2_000));
        let deployment = Rc::clone(deployment);
        task::spawn_local(async move {
            time::sleep(after).await;
            deployment.put_engine(index);
        });
    }
}
