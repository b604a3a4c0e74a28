//! What all services share: a server that can be killed and started again, the effect of faults on
//! each call, and the forms of answers.

pub(crate) mod answer;
mod server;

use std::net::SocketAddr;

use futures::Future;

use self::answer::Answer;
pub(crate) use self::server::{Server, serve};
use crate::{account::Account, fault::Faults};

/// Handle of one running service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name, for the admin server: `log`, `hosts`, `weights`, or its name on the host list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub faults: Faults,
    /// What it ran; the log, host list and weight store keep none.
    pub account: Account,
}

/// Runs the effect of one call under the faults of its service.
pub(crate) async fn under(faults: &Faults, effect: impl Future<Output = Answer>) -> Answer {
    let whole = async {
        let whole = effect.await;
        match faults.loses_answer() {
            true => answer::broken(),
            false => whole,
        }
    };
    under_streaming(faults, whole).await
}

/// The same for a call whose answer loses its end by itself, when it is to be lost.
pub(crate) async fn under_streaming(
    faults: &Faults,
    effect: impl Future<Output = Answer>,
) -> Answer {
    let work = async {
        faults.until(|fault| !fault.paused).await;
        let fault = faults.now();
        if !fault.slow.is_zero() {
            tokio::time::sleep(fault.slow).await;
        }
        match fault.outage {
            true => answer::refusal("outage"),
            false => effect.await,
        }
    };
    tokio::select! {
        biased;
        () = faults.until(|fault| fault.killed) => answer::broken(),
        answer = work => answer,
    }
}
