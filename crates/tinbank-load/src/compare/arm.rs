//! One arm: a whole deployment under online traffic, and batch as the arm sends it.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::Serialize;
use tinbank_batch::settings::Admission;
use tinbank_demo::{
    balancer::Balancer,
    entry::{Addresses, Entry, Settings},
    platform, publish,
    run::{Progress, count},
    sweep::Sweep,
    tally::{Counts, Tally},
    traffic::{self, Seen, Traffic},
};
use tinbank_standin::{Standin, account::Run};
use tokio::{task::JoinSet, time::Instant};

use super::{Error, Plan, accounts::Work, fault::Site};

/// Time of online traffic, and of batch where there is any, before the measurement: connections are open, prefixes are
/// cached, and controllers have learned.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time that open lots have to end after the last was handed in.
const DRAIN: Duration = Duration::from_secs(40);
/// Sweeps at once, so that handing in lots is no bottleneck.
const SWEEPS: usize = 6;
/// Lots that each sweep has open.
const OPEN: usize = 8;
/// Items in a lot.
const LOT: usize = 20;
/// Begin of the names of batch items.
const BATCH: &str = "batch-";

/// A way of sharing engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Arm {
    /// No batch.
    Online,
    /// Batch is sent whenever a slot is free and never gives way.
    Naive,
    /// Some slots of each engine are never used by batch.
    Static {
        /// How many.
        kept: u16,
    },
    /// Credits of the admission controllers.
    Tinbank {
        /// Part of the largest burst that is kept free.
        lean_percent: u16,
    },
}

impl Arm {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Naive => "naive",
            Self::Static { .. } => "static",
            Self::Tinbank { .. } => "tinbank",
        }
    }

    fn settings(self) -> Settings {
        let (admission, slots_for_online, lean_percent) = match self {
            Self::Online | Self::Naive => (Admission::Static, 0, 100),
            Self::Static { kept } => (Admission::Static, kept, 100),
            Self::Tinbank { lean_percent } => (Admission::Credits, 0, lean_percent),
        };
        Settings {
            admission,
            slots_for_online,
            lean_percent,
        }
    }
}

impl fmt::Display for Arm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Online => f.write_str("online alone"),
            Self::Naive => f.write_str("naive"),
            Self::Static { kept } => write!(f, "static, {kept} kept"),
            Self::Tinbank { lean_percent } => write!(f, "tinbank, {lean_percent}%"),
        }
    }
}

/// What one run of an arm gave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Seed of the arrivals.
    pub seed: u64,
    /// What online callers saw.
    pub online: Seen,
    /// What became of online requests; a `failed` one got an explicit error.
    pub online_counts: Counts,
    /// What became of batch items. `doubled` counts items that ran to their end twice as well.
    pub batch_counts: Counts,
    /// Batch items with more than one answer.
    pub batch_answered_twice: u64,
    /// Batch items that went to their end in the engines, a second of the traffic.
    pub batch_items_per_second: f64,
    /// Part of the tokens made for batch that no result used, over the whole arm.
    pub wasted_share: f64,
    /// Runs of batch items that were cancelled, over the whole arm.
    pub cancelled_runs: u64,
    /// Runs of batch items to their end beyond the first.
    pub reruns: u64,
}

/// Runs an arm once.
pub(super) async fn run(plan: &Plan, arm: Arm, seed: u64) -> Result<Figures, Error> {
    let standin = platform::start(&plan.example).await?;
    let addresses = Addresses::of(&standin)?;
    publish::publish(addresses.log, &plan.example).await?;
    let mut entry = Entry::start(&plan.example, &standin, addresses, arm.settings()).await?;
    let load = Load {
        plan,
        seed,
        online: Balancer::new(entry.online()),
        batch: Balancer::new(entry.batch()),
        online_tally: Arc::default(),
        batch_tally: Arc::default(),
        progress: Progress::new(),
    };
    let begun = Instant::now();
    let until = begun + WARM_UP + plan.lasting;
    let sweeps = match arm {
        Arm::Online => JoinSet::new(),
        _ => load.start_sweeps(until),
    };
    load.send("warm-up", WARM_UP).await;
    let before = batch_work(&standin);
    let measured = Instant::now();
    let mut site = Site {
        example: &plan.example,
        standin: &standin,
        entry: &mut entry,
        balancers: [load.online.clone(), load.batch.clone()],
    };
    let suffer = async {
        if let Some(fault) = plan.fault {
            let from = measured + plan.lasting / 4;
            site.suffer(fault, from, plan.fault_lasting).await;
        }
        tokio::time::sleep_until(measured + plan.lasting).await;
        let rate = batch_work(&standin).completed - before.completed;
        rate as f64 / measured.elapsed().as_secs_f64()
    };
    let (online, batch_items_per_second) =
        tokio::join!(load.send("measured", plan.lasting), suffer);
    sweeps.join_all().await;
    load.progress.finish();
    let work = batch_work(&standin);
    let figures = Figures {
        seed,
        online,
        online_counts: count(&load.online_tally, &standin),
        batch_counts: count(&load.batch_tally, &standin),
        batch_answered_twice: lock(&load.batch_tally).answered_twice(),
        batch_items_per_second,
        wasted_share: work.wasted as f64 / work.tokens.max(1) as f64,
        cancelled_runs: work.cancelled,
        reruns: work.reruns,
    };
    entry.stop().await;
    standin.stop().await;
    Ok(figures)
}

struct Load<'a> {
    plan: &'a Plan,
    seed: u64,
    online: Balancer,
    batch: Balancer,
    online_tally: Arc<Mutex<Tally>>,
    batch_tally: Arc<Mutex<Tally>>,
    progress: Progress,
}

impl Load<'_> {
    async fn send(&self, phase: &str, lasting: Duration) -> Seen {
        traffic::run(Traffic {
            example: &self.plan.example,
            hosts: &self.online,
            phase,
            lasting,
            seed: self.seed,
            tally: &self.online_tally,
            progress: &self.progress,
        })
        .await
    }

    fn start_sweeps(&self, until: Instant) -> JoinSet<()> {
        let example = Arc::new(self.plan.example.clone());
        let mut sweeps = JoinSet::new();
        for number in 0..SWEEPS {
            let sweep = Sweep {
                name: format!("{BATCH}{number}"),
                lot: LOT,
                open: OPEN,
                example: example.clone(),
                hosts: self.batch.clone(),
                tally: self.batch_tally.clone(),
                progress: self.progress.clone(),
            };
            sweeps.spawn(async move {
                sweep.run(until, until + DRAIN).await;
            });
        }
        sweeps
    }
}

fn batch_work(standin: &Standin) -> Work {
    let engines = standin.engines().iter();
    let runs: Vec<Run> = engines.flat_map(|engine| engine.account.runs()).collect();
    Work::of(runs.iter(), BATCH)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
