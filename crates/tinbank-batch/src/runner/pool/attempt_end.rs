//! Handles the end of an attempt: completes the item, retries it after a backoff, or returns it to the owner.

use tinbank_base::{
    event::Kind as Event,
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind},
    record::work::{Completion, Outcome},
};
use tokio::time;

use super::{MAX_ANSWER_BYTES, Pool, TaskEvent};
use crate::runner::{
    attempt::AttemptEnd,
    retry::{self, FailureHistory, Verdict},
    task::{PartialAnswer, Report, Task},
};

impl Pool {
    pub(super) fn on_attempt_end(&mut self, mut task: Box<Task>, end: AttemptEnd) {
        match end {
            AttemptEnd::Answer(answer) => {
                task.attempts += 1;
                let outcome = match answer.len() {
                    0..=MAX_ANSWER_BYTES => Outcome::Answer(answer),
                    size => too_large(size),
                };
                self.complete(&task, outcome);
            }
            AttemptEnd::Withdrawn => {
                task.attempts += 1;
                metrics::counter!("tinbank_batch_withdrawn_total").increment(1);
                self.push(task);
            }
            AttemptEnd::Stopped | AttemptEnd::Superseded => self.return_task(&task),
            AttemptEnd::NotDispatched => self.retry_later(task),
            AttemptEnd::Failed(error) => self.on_attempt_failed(task, error),
        }
    }

    fn on_attempt_failed(&mut self, mut task: Box<Task>, error: Error) {
        if error.ran != Ran::No {
            task.attempts += 1;
            task.failures += 1;
            task.losses += u16::from(retry::is_upstream_loss(&error));
        }
        let refused = matches!(error.kind, Kind::Rejected { .. } | Kind::Crossed(_));
        if refused && task.partial_answer.tokens > 0 {
            // The engine may be unable to resume another engine's answer, so the next attempt starts over.
            task.partial_answer = PartialAnswer::default();
            self.retry_later(task);
            return;
        }
        let history = FailureHistory {
            repeatable: task.repeatable,
            failures: task.failures,
            limit: task.service.attempts,
            exceeds_loss_limit: task.exceeds_loss_limit(),
        };
        match retry::decide(&error, history) {
            Verdict::Retry => {
                let kind = Event::Retried {
                    attempt: task.attempts,
                    reason: error.to_string(),
                };
                self.deps.context.record_event(&task, error.upstream, kind);
                self.retry_later(task);
            }
            Verdict::Fail(outcome) => self.complete(&task, outcome),
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

    /// Schedules a retry after a backoff with jitter.
    fn retry_later(&mut self, mut task: Box<Task>) {
        task.retries += 1;
        let spread = rand::random_range(0.5..1.0);
        let pause = retry::backoff(task.retries).mul_f64(spread);
        self.running.spawn(async move {
            time::sleep(pause).await;
            TaskEvent::BackoffElapsed(task)
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
