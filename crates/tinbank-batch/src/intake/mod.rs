//! Takes in jobs: reads the body as a stream, cuts it into chunks, stores them, then commits the head.
//!
//! Nothing runs before the head counts, so an intake that ends early leaves only chunks that no head names; the
//! fold drops them. See `docs/design/items.md`.

pub mod cut;
mod failure;
pub mod finding;
pub mod limit;
pub mod line;
pub mod order;
mod quota;
mod resend;
mod run;
pub mod store;

pub use finding::Finding;
pub use limit::Limits;
pub use order::Order;
pub use store::{Intake, Taken};
