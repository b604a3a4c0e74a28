//! The task that drives an engine's batch by tokio's clock, which tests may stop.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tinbank_base::id;
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::batch::{Batch, Sequence, Step};
use crate::fault::Faults;

/// What the handlers tell the engine.
#[derive(Debug)]
pub(crate) enum Command {
    Start(Sequence),
    Cancel(id::Request),
}

/// Numbers of the batch now.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    pub running: AtomicU32,
    pub waiting: AtomicU32,
}

/// Starts the engine's task.
pub(crate) fn start(
    batch: Batch,
    faults: Faults,
    gauge: Arc<Gauge>,
    stop: CancellationToken,
) -> UnboundedSender<Command> {
    let (sender, commands) = mpsc::unbounded_channel();
    let engine = Engine {
        batch,
        faults,
        gauge,
        commands,
    };
    tokio::spawn(stop.run_until_cancelled_owned(engine.run()));
    sender
}

struct Engine {
    batch: Batch,
    faults: Faults,
    gauge: Arc<Gauge>,
    commands: UnboundedReceiver<Command>,
}

impl Engine {
    async fn run(mut self) {
        loop {
            self.faults
                .until(|fault| !fault.killed && !fault.paused)
                .await;
            let step = self.batch.begin_step();
            self.measure();
            let Some(step) = step else {
                if !self.idle().await {
                    return;
                }
                continue;
            };
            if self.wait(Instant::now() + step).await {
                self.end_step();
            }
        }
    }

    /// Waits for work. Returns false when there can be no more.
    async fn idle(&mut self) -> bool {
        tokio::select! {
            biased;
            () = self.faults.until(|fault| fault.killed) => self.lose(),
            command = self.commands.recv() => match command {
                Some(command) => self.take(command),
                None => return false,
            },
        }
        true
    }

    /// Waits out a step, taking commands meanwhile. Returns false when the engine died in it.
    async fn wait(&mut self, until: Instant) -> bool {
        loop {
            tokio::select! {
                biased;
                () = self.faults.until(|fault| fault.killed) => {
                    self.lose();
                    return false;
                }
                () = tokio::time::sleep_until(until) => return true,
                Some(command) = self.commands.recv() => self.take(command),
            }
        }
    }

    fn end_step(&mut self) {
        if self.batch.end_step() == Step::Killed {
            self.faults.change(|fault| fault.killed = true);
            self.lose();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Start(sequence) => self.batch.push(sequence),
            Command::Cancel(request) => self.batch.cancel(request),
        }
        self.measure();
    }

    fn lose(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            self.take(command);
        }
        self.batch.clear();
        self.measure();
    }

    fn measure(&self) {
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let (running, waiting) = (self.batch.running(), self.batch.waiting());
        self.gauge.running.store(number(running), Ordering::Relaxed);
        self.gauge.waiting.store(number(waiting), Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
