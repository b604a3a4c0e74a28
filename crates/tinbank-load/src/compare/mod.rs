//! Compares ways of sharing engines between online and batch: each arm is a whole deployment with the same servers and
//! the same online arrivals. See `docs/measurements.md`.

mod accounts;
mod arm;
mod capacity;
mod fault;
mod report;

use std::time::Duration;

use tinbank_demo::{entry, example::Example, publish};

pub use accounts::Work;
pub use arm::{Arm, Figures};
pub use fault::Fault;
pub use report::{Compared, Report, Spread};

/// What is compared.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whose deployment.
    pub example: Example,
    /// Time of traffic in each arm.
    pub lasting: Duration,
    /// How often each arm runs.
    pub runs: u32,
    /// Seed of the arrivals of the first run.
    pub seed: u64,
    /// What fails in each arm.
    pub fault: Option<Fault>,
    /// For how long.
    pub fault_lasting: Duration,
    /// The arms, in order.
    pub arms: Vec<Arm>,
}

/// Why an arm did not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-ins don't start.
    #[error(transparent)]
    Platform(#[from] tinbank_standin::Error),
    /// The configuration is not in force.
    #[error(transparent)]
    Publish(#[from] publish::Error),
    /// The entry hosts don't start.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// The system gives no threads.
    #[error("no runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A part of an arm ended early.
    #[error("a task ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Runs the arms in turn, as often as asked.
///
/// # Errors
/// A deployment does not start.
pub fn run(plan: Plan) -> Result<Report, Error> {
    let mut report = Report::new(&plan);
    for run in 0..plan.runs {
        let capacity = on_runtime(capacity::measure(&plan.example))?;
        report.capacity(capacity);
        for arm in &plan.arms {
            eprintln!("run {} of {}: {arm}", run + 1, plan.runs);
            let seed = plan.seed + u64::from(run);
            let figures = on_runtime(arm::run(&plan, *arm, seed))?;
            report.add(*arm, figures);
        }
    }
    Ok(report)
}

/// Runs on threads of its own, so that nothing of one arm is left for the next.
fn on_runtime<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = tokio::runtime::Runtime::new()?;
    let result = runtime.block_on(work);
    runtime.shutdown_background();
    result
}
