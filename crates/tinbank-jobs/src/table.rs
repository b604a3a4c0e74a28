//! All jobs, as the fold of the log.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use tinbank_base::id;

use crate::{
    fold::{Change, Verdict},
    job::{Job, Step},
    record::{Advance, Failure, Finish, JobId, Outcome, Record, Submission},
};

/// The jobs of all routes.
#[derive(Debug, Default)]
pub struct Table {
    jobs: HashMap<JobId, Job>,
}

impl Table {
    /// Takes in the record at an offset.
    pub fn apply(&mut self, offset: u64, record: Record) -> Change {
        match record {
            Record::Submitted(submission) => self.submit(offset, None, submission),
            Record::SubmittedBy(customer, submission) => {
                self.submit(offset, Some(customer), submission)
            }
            Record::Finished(finish) => self.finish(finish),
            Record::Ended(job) => self.end(job),
            Record::Advanced(advance) => self.advance(advance),
            Record::Failed(failure) => self.fail(failure),
        }
    }

    /// A job by its name.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Jobs that may still run, in no order.
    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.is_open())
    }

    /// Number of jobs kept.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// True if no job is kept.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Tokens of the items of a customer that wait on a route.
    pub fn waiting_tokens(&self, route: &str, customer: Option<&id::Customer>) -> u64 {
        let jobs = self.open().filter(|job| job.route == route);
        let jobs = jobs.filter(|job| job.customer.as_ref() == customer);
        jobs.map(Job::waiting_tokens).sum()
    }

    /// Drops jobs that are over and were submitted longer ago than `kept`.
    pub fn prune(&mut self, kept: Duration, now: SystemTime) {
        self.jobs.retain(|_, job| !job.is_past(kept, now));
    }

    fn submit(
        &mut self,
        offset: u64,
        customer: Option<id::Customer>,
        submission: Submission,
    ) -> Change {
        let verdict = self.judge(customer.as_ref(), &submission);
        let call = submission.call;
        let job = submission.job.clone();
        if verdict == Verdict::Accepted {
            let new = Job::new(offset, customer, submission);
            self.jobs.insert(job.clone(), new);
        }
        Change::Submitted { call, job, verdict }
    }

    fn judge(&self, customer: Option<&id::Customer>, submission: &Submission) -> Verdict {
        if self.jobs.contains_key(&submission.job) {
            return Verdict::Known;
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

    fn advance(&mut self, advance: Advance) -> Change {
        let Some(job) = self.live(&advance.job, advance.submission) else {
            return Change::Dropped;
        };
        let run = advance.piece.run;
        let index = advance.index;
        match job.advance(index, advance.piece) {
            Step::Taken => Change::Advanced {
                job: advance.job,
                index,
                run,
            },
            Step::Known => Change::Dropped,
            Step::Refused => Change::Refused {
                job: advance.job,
                index,
                run,
            },
        }
    }

    fn finish(&mut self, finish: Finish) -> Change {
        let Some(job) = self.live(&finish.job, finish.submission) else {
            return Change::Dropped;
        };
        let index = finish.index;
        let run = match &finish.result {
            Outcome::Completed(piece) => piece.run,
            Outcome::Abandoned(_) => 0,
        };
        match job.finish(index, finish.result) {
            Step::Taken => Change::Finished {
                job: finish.job,
                index,
            },
            Step::Known => Change::Dropped,
            Step::Refused => Change::Refused {
                job: finish.job,
                index,
                run,
            },
        }
    }

    fn fail(&mut self, failure: Failure) -> Change {
        let job = self.live(&failure.job, failure.submission);
        match job.is_some_and(|job| job.fail(failure.index, failure.run)) {
            true => Change::Failed {
                job: failure.job,
                index: failure.index,
            },
            false => Change::Dropped,
        }
    }

    fn live(&mut self, job: &str, submission: u64) -> Option<&mut Job> {
        let job = self.jobs.get_mut(job);
        job.filter(|job| job.submission == submission)
    }

    fn end(&mut self, id: JobId) -> Change {
        match self.jobs.get_mut(&id) {
            Some(job) if !job.ended => {
                job.end();
                Change::Ended { job: id }
            }
            _ => Change::Dropped,
        }
    }
}
