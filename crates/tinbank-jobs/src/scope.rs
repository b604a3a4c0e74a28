//! Internal job names, which keep the jobs of different customers apart.
//!
//! A customer's job is stored under the customer's name and its own, so that calls of another customer can't address it.

use std::fmt::Write;

use crate::record::JobId;

/// Separates the customer's name from the job's.
const SEPARATOR: char = '/';
/// Introduces the hexadecimal code of a character of a customer's name that has a meaning here.
const ESCAPE: char = '%';

/// Returns the internal name of a job. A job without a customer keeps the name that its caller gave it, unless that could
/// be mistaken for the name of a customer's job.
pub fn job_id(customer: Option<&str>, job: &str) -> JobId {
    let mut id = JobId::new();
    match customer {
        Some(customer) => {
            customer
                .chars()
                .for_each(|character| push(&mut id, character));
            id.push(SEPARATOR);
        }
        None if job.contains(SEPARATOR) => id.push(SEPARATOR),
        None => {}
    }
    id.push_str(job);
    id
}

fn push(id: &mut JobId, character: char) {
    if character != SEPARATOR && character != ESCAPE {
        return id.push(character);
    }
    // Writing to a string can't fail.
    let _ = write!(id, "{ESCAPE}{:02x}", u32::from(character));
}
