//! All jobs, as the fold of the log.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::{
    fold::{Change, Verdict},
    job::Job,
    record::{Finish, JobId, Record, Submission},
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
            Record::Submitted(submission) => self.submit(offset, submission),
            Record::Finished(finish) => self.finish(finish),
            Record::Ended(job) => self.end(job),
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

    /// Tokens of the items that wait on a route.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        let jobs = self.open().filter(|job| job.route == route);
        jobs.map(Job::waiting_tokens).sum()
    }

    /// Drops jobs that are over and were submitted longer ago than `kept`.
    pub fn prune(&mut self, kept: Duration, now: SystemTime) {
        self.jobs.retain(|_, job| !job.is_past(kept, now));
    }

    fn submit(&mut self, offset: u64, submission: Submission) -> Change {
        let verdict = self.judge(&submission);
        let call = submission.call;
        let job = submission.job.clone();
        if verdict == Verdict::Accepted {
            self.jobs.insert(job.clone(), Job::new(offset, submission));
        }
        Change::Submitted { call, job, verdict }
    }

    fn judge(&self, submission: &Submission) -> Verdict {
        if self.jobs.contains_key(&submission.job) {
            return Verdict::Known;
        }
        let Some(quota) = submission.quota else {
            return Verdict::Accepted;
        };
        let waiting = self.waiting_tokens(&submission.route);
        let tokens: u64 = submission.items.iter().map(|item| item.tokens).sum();
        match waiting.saturating_add(tokens) <= quota {
            true => Verdict::Accepted,
            false => Verdict::OverQuota { waiting },
        }
    }

    fn finish(&mut self, finish: Finish) -> Change {
        let job = self.jobs.get_mut(&finish.job);
        let Some(job) = job.filter(|job| job.submission == finish.submission) else {
            return Change::Dropped;
        };
        match job.finish(finish.index, finish.result) {
            true => Change::Finished {
                job: finish.job,
                index: finish.index,
            },
            false => Change::Dropped,
        }
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
