//! Names of jobs, under which those of different customers never meet.
//!
//! A customer's job is kept under the customer's name and its own, so that a call by another customer finds no such job,
//! whatever it asks.

use std::fmt::Write;

use crate::record::JobId;

/// Stands between the two names.
const SEPARATOR: char = '/';
/// Stands before a code in place of a sign that a customer's name may not have here.
const ESCAPE: char = '%';

/// The name under which a job is kept. Jobs of nobody keep the name that their caller gave them, unless it could be taken for
/// that of a customer's job.
pub fn job_id(customer: Option<&str>, job: &str) -> JobId {
    let mut id = JobId::new();
    match customer {
        Some(customer) => {
            customer.chars().for_each(|sign| push(&mut id, sign));
            id.push(SEPARATOR);
        }
        None if job.contains(SEPARATOR) => id.push(SEPARATOR),
        None => {}
    }
    id.push_str(job);
    id
}

fn push(id: &mut JobId, sign: char) {
    if sign != SEPARATOR && sign != ESCAPE {
        return id.push(sign);
    }
    // Writing to a string can't fail.
    let _ = write!(id, "{ESCAPE}{:02x}", u32::from(sign));
}
