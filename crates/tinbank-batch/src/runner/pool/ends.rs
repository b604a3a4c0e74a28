//! What follows the end of an attempt: a completion, another try after a pause, or the item is given back.

use tinbank_base::{
    event::Kind as Event,
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind},
    record::work::{Completion, Outcome},
};
use tokio::time;

use super::{Done, MAX_ANSWER_BYTES, Pool};
use crate::runner::{
    attempt::End,
    retry::{self, Past, Verdict},
    task::{Kept, Report, Task},
};

impl Pool {
    pub(super) fn ended(&mut self, mut task: Box<Task>, end: End) {
        match end {
            End::Answer(answer) => {
                task.attempts += 1;
                let outcome = match answer.len() {
                    0..=MAX_ANSWER_BYTES => Outcome::Answer(answer),
                    size => too_large(size),
                };
                self.complete(&task, outcome);
            }
            End::Withdrawn => {
                task.attempts += 1;
                metrics::counter!("tinbank_batch_withdrawn_total").increment(1);
                self.push(task);
            }
            End::Stopped | End::Lost => self.give_back(&task),
            End::NotDispatched => self.rest(task),
            End::Failed(error) => self.failed(task, error),
        }
    }

    fn failed(&mut self, mut task: Box<Task>, error: Error) {
        if error.ran != Ran::No {
            task.attempts += 1;
            task.failures += 1;
            task.losses += u16::from(retry::lost(&error));
        }
        let refused = matches!(error.kind, Kind::Rejected { .. } | Kind::Crossed(_));
        if refused && task.kept.tokens > 0 {
            // The engine may not take up where another one left off.
            task.kept = Kept::default();
            self.rest(task);
            return;
        }
        let past = Past {
            repeatable: task.repeatable,
            failures: task.failures,
            limit: task.service.attempts,
            hopeless: task.hopeless(),
        };
        match retry::decide(&error, past) {
            Verdict::Again => {
                let kind = Event::Retried {
                    attempt: task.attempts,
                    reason: error.to_string(),
                };
                self.parts.edge.note(&task, error.upstream, kind);
                self.rest(task);
            }
            Verdict::End(outcome) => self.complete(&task, outcome),
        }
    }

    fn complete(&self, task: &Task, outcome: Outcome) {
        let completion = Completion {
            item: task.key.item,
            attempts: task.attempts,
            outcome,
        };
        let key = task.key;
        self.report(Report::Ended { key, completion });
    }

    /// Tries again after a pause.
    fn rest(&mut self, mut task: Box<Task>) {
        task.tries += 1;
        let spread = rand::random_range(0.5..1.0);
        let pause = retry::backoff(task.tries).mul_f64(spread);
        self.work.spawn(async move {
            time::sleep(pause).await;
            Done::Rested(task)
        });
    }
}

fn too_large(size: usize) -> Outcome {
    Outcome::Failed {
        code: Code::TooLarge,
        ran: Ran::Yes,
        message: format!("the answer of {size} bytes is over the limit of {MAX_ANSWER_BYTES}"),
    }
}
