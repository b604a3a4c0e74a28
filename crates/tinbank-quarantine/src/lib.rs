//! Which requests end the upstreams that run them, so that no further upstream gets them. Pure.
//!
//! The field calls such a request a query of death, or a poison message. Upstreams that end say nothing of why, and callers
//! come again under another id and at another host, so a request is known by its content. See `docs/design/quarantine.md`.

pub mod fingerprint;
pub mod report;
pub mod table;

pub use fingerprint::{Content, Fingerprint};
pub use report::{InFlight, Quarantined, Update, Position, Report};
pub use table::Table;
