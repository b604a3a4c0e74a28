//! What the engines can do for batch when nothing else runs: senders without tinbank keep every slot full.

use std::{sync::Arc, time::Duration};

use futures::StreamExt as _;
use serde_json::Value;
use tinbank_base::platform::upstream::{Call, Target, Upstreams};
use tinbank_demo::{example::Example, platform};
use tinbank_platform::upstream;
use tinbank_standin::{Standin, account::End};
use tokio::{task::JoinSet, time::Instant};

use super::Error;

/// Time until all slots are full and prefixes are cached.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time that is measured.
const LASTING: Duration = Duration::from_secs(5);
/// Time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Items a second with every slot taken by batch.
pub(super) async fn measure(example: &Example) -> Result<f64, Error> {
    let standin = platform::start(example).await?;
    let upstreams: Arc<dyn Upstreams> = Arc::new(upstream::Http::new());
    let mut senders = JoinSet::new();
    let mut first = 0;
    for (upstream, engine) in (1..).zip(standin.engines()) {
        let target = Target {
            upstream,
            address: engine.address,
        };
        for _ in 0..example.deployment.engines.slots {
            let sender = Sender {
                upstreams: upstreams.clone(),
                target,
                example: example.clone(),
                first,
            };
            first += 1;
            senders.spawn(sender.run());
        }
    }
    tokio::time::sleep(WARM_UP).await;
    let (before, begun) = (completed(&standin), Instant::now());
    tokio::time::sleep(LASTING).await;
    let rate = (completed(&standin) - before) as f64 / begun.elapsed().as_secs_f64();
    senders.shutdown().await;
    standin.stop().await;
    Ok(rate)
}

struct Sender {
    upstreams: Arc<dyn Upstreams>,
    target: Target,
    example: Example,
    first: usize,
}

impl Sender {
    async fn run(self) {
        for place in (self.first..).step_by(self.example.deployment.engines.slots as usize) {
            let item = &self.example.items[place % self.example.items.len()];
            let call = Call {
                request: rand::random(),
                service: self.example.service.clone(),
                body: Value::Object(item.body.clone()).to_string().into(),
                resume_from: 0,
                deadline: std::time::Instant::now() + CALL_TIMEOUT,
            };
            if let Ok(parts) = self.upstreams.chat(self.target, call).await {
                parts.for_each(|_| std::future::ready(())).await;
            }
        }
    }
}

fn completed(standin: &Standin) -> usize {
    let accounts = standin.engines().iter();
    let completed = accounts.map(|engine| {
        let runs = engine.account.runs();
        runs.iter().filter(|run| run.end == End::Completed).count()
    });
    completed.sum()
}
