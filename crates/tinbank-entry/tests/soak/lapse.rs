//! Outages of the store in which the entries of healthy engines lapse, while followers change to reading the store and back.

use std::{rc::Rc, time::Duration};

use rand::{Rng, rngs::StdRng};
use rustix::process::Signal;
use tokio::{task, time};

use crate::{
    deployment::{Deployment, ENGINES, NORTH},
    standin::{client, run_local, store},
};

/// Time in which the hosts have their roles and can rely on their lists.
const SETTLE_TIME: Duration = Duration::from_secs(7);
/// Shortest time after which a follower without fresh updates reads the store itself. Its first read has to see the lapse.
const OUTAGE: Duration = Duration::from_millis(2_200);
/// When lapsed entries are back after the store's return.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// When requests are counted after the delegates are back: they have to answer, and to be followed again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Time in which an evacuation is known everywhere.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);
/// Requests that each host receives one after the other.
const REQUESTS: usize = 15;
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
            let delegates = deployment.hosts.iter().filter(|it| it.is_delegate());
            let delegates: Vec<_> = delegates.collect();
            assert!(delegates.len() < deployment.hosts.len());
            // The followers know of the outage only from the silence of their delegates.
            deployment.store.mode.set(store::Mode::Busy);
            delegates.iter().for_each(|it| it.signal(Signal::STOP));
            time::sleep(OUTAGE).await;
            (0..ENGINES).for_each(|index| deployment.remove_engine(index));
            deployment.store.mode.set(store::Mode::Up);
            time::sleep(RETURN_TIME).await;
            (0..ENGINES).for_each(|index| deployment.put_engine(index));
            delegates.iter().for_each(|it| it.signal(Signal::CONT));
            time::sleep(RECOVERY_TIME).await;
            refused.push(count_refused_by_other_domain(&deployment, round).await);
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

/// Sends requests to each host while the failure domain of most of them is evacuated, so that they need the engines of the other
/// one. Returns how many were not served.
async fn count_refused_by_other_domain(deployment: &Deployment, round: usize) -> usize {
    deployment.store.evacuate(NORTH);
    time::sleep(PROPAGATION_TIME).await;
    let mut refused = 0;
    for (index, host) in deployment.callers().into_iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("lapse-{round}-{index}-{number}");
            let response = client::stream(host, "/resumable/x", &id).await;
            refused += usize::from(response.status != 200);
        }
    }
    deployment.store.reinstate(NORTH);
    time::sleep(PROPAGATION_TIME).await;
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
