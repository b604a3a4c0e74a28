//! The table of all jobs, built by applying the records of the log in order.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use tinbank_base::id;

use crate::{
    change::{Change, Verdict},
    decisions::{Decisions, Prior},
    job::{Effect, Job},
    record::{Checkpoint, Failure, Finish, JobId, Offset, Outcome, Record, RunStart, Submission},
};

/// The jobs of all routes.
#[derive(Debug, Default)]
pub struct Table {
    jobs: HashMap<JobId, Job>,
    decisions: Decisions,
    /// Offset of the last record that was applied.
    offset: Offset,
}

impl Table {
    /// Applies the record at an offset.
    pub fn apply(&mut self, offset: Offset, record: Record) -> Change {
        self.offset = offset;
        match record {
            Record::Submitted(submission) => self.submit(offset, None, submission),
            Record::SubmittedBy(customer, submission) => {
                self.submit(offset, Some(customer), submission)
            }
            Record::Finished(finish) => self.finish(finish),
            Record::Cancelled(job) => self.cancel(job),
            Record::Checkpointed(checkpoint) => self.checkpoint(checkpoint),
            Record::Failed(failure) => self.fail(failure),
            Record::RunStarted(start) => self.start_run(start),
            Record::TakenOver(takeover) => Change::TakenOver { id: takeover.id },
        }
    }

    /// Notes that the records before an offset were trimmed before they could be applied.
    pub fn skip_to(&mut self, first: Offset) {
        self.decisions.skip_to(first);
    }

    /// Returns a job by its internal name.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the jobs with items that may still run, in no particular order.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.is_open())
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the tokens that a customer has waiting on a route.
    pub fn waiting_tokens(&self, route: &str, customer: Option<&id::Customer>) -> u64 {
        let jobs = self.open_jobs().filter(|job| job.route == route);
        let jobs = jobs.filter(|job| job.customer.as_ref() == customer);
        jobs.map(Job::waiting_tokens).sum()
    }

    /// Drops jobs that are over and were submitted longer ago than `retention`.
    pub fn prune(&mut self, retention: Duration, now: SystemTime) {
        self.jobs
            .retain(|_, job| !job.can_be_pruned(retention, now));
        self.decisions.prune(self.offset);
    }

    fn submit(
        &mut self,
        offset: Offset,
        customer: Option<id::Customer>,
        submission: Submission,
    ) -> Change {
        let verdict = self.decide(offset, customer.as_ref(), &submission);
        let call = submission.call;
        let job = submission.job.clone();
        match verdict {
            Verdict::Accepted => {
                self.decisions.record(job.clone(), offset, true);
                let new = Job::new(offset, customer, submission);
                self.jobs.insert(job.clone(), new);
            }
            Verdict::OverQuota { .. } => self.decisions.record(job.clone(), offset, false),
            Verdict::Known | Verdict::Outdated => {}
        }
        Change::Submitted { call, job, verdict }
    }

    fn decide(
        &self,
        offset: Offset,
        customer: Option<&id::Customer>,
        submission: &Submission,
    ) -> Verdict {
        if self.jobs.contains_key(&submission.job) {
            return Verdict::Known;
        }
        let decisions = &self.decisions;
        match decisions.prior(&submission.job, offset, submission.position) {
            Prior::None => {}
            Prior::Accepted => return Verdict::Known,
            Prior::Outdated => return Verdict::Outdated,
        }
        let Some(quota) = submission.quota else {
            return Verdict::Accepted;
        };
        let waiting = self.waiting_tokens(&submission.route, customer);
        let tokens: u64 = submission.items.iter().map(|item| item.tokens).sum();
        match waiting.saturating_add(tokens) <= quota {
            true => Verdict::Accepted,
            false => Verdict::OverQuota { waiting },
        }
    }

    fn checkpoint(&mut self, checkpoint: Checkpoint) -> Change {
        let Some(job) = self.job_of(&checkpoint.job, checkpoint.submission) else {
            return Change::Dropped;
        };
        let run = checkpoint.piece.run;
        let index = checkpoint.index;
        match job.append(index, checkpoint.piece) {
            Effect::Applied => Change::Checkpointed {
                job: checkpoint.job,
                index,
                run,
            },
            Effect::Dropped => Change::Dropped,
            Effect::Conflict => Change::Conflict {
                job: checkpoint.job,
                index,
                run,
            },
        }
    }

    fn start_run(&mut self, start: RunStart) -> Change {
        let Some(job) = self.job_of(&start.job, start.submission) else {
            return Change::Dropped;
        };
        let (id, index, run) = (start.job.clone(), start.index, start.run);
        match job.start_run(start) {
            Effect::Applied => Change::RunStarted {
                job: id,
                index,
                run,
            },
            Effect::Dropped => Change::Dropped,
            Effect::Conflict => Change::Conflict {
                job: id,
                index,
                run,
            },
        }
    }

    fn finish(&mut self, finish: Finish) -> Change {
        let Some(job) = self.job_of(&finish.job, finish.submission) else {
            return Change::Dropped;
        };
        let index = finish.index;
        let run = match &finish.result {
            Outcome::Completed(piece) => piece.run,
            Outcome::Abandoned(_) => 0,
        };
        match job.finish(index, finish.result) {
            Effect::Applied => Change::Finished {
                job: finish.job,
                index,
            },
            Effect::Dropped => Change::Dropped,
            Effect::Conflict => Change::Conflict {
                job: finish.job,
                index,
                run,
            },
        }
    }

    fn fail(&mut self, failure: Failure) -> Change {
        let job = self.job_of(&failure.job, failure.submission);
        match job.is_some_and(|job| job.record_failure(failure.index, failure.run)) {
            true => Change::Failed {
                job: failure.job,
                index: failure.index,
            },
            false => Change::Dropped,
        }
    }

    /// Returns the job of this name, unless a record is about an earlier job of the name.
    fn job_of(&mut self, job: &str, submission: u64) -> Option<&mut Job> {
        let job = self.jobs.get_mut(job);
        job.filter(|job| job.submission == submission)
    }

    fn cancel(&mut self, id: JobId) -> Change {
        match self.jobs.get_mut(&id) {
            Some(job) if !job.cancelled => {
                job.cancel();
                Change::Cancelled { job: id }
            }
            _ => Change::Dropped,
        }
    }
}
