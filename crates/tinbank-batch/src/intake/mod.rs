//! Accepts jobs: reads the body as a stream, splits it into chunks, appends them to the log, then commits the job's head.
//!
//! Nothing runs before the head is committed. An interrupted intake leaves only chunks that no head refers to, and the
//! fold drops them. See `docs/design/items.md`.

pub mod cut;
mod failure;
pub mod finding;
pub mod limit;
pub mod line;
mod quota;
mod resend;
pub mod store;
pub mod submission;
mod upload;

pub use finding::Finding;
pub use limit::Limits;
pub use store::{Accepted, Intake};
pub use submission::Submission;
