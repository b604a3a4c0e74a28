//! Detection and quarantine of requests that crash the upstreams that run them. Does no I/O.
//!
//! Such a request is known as a query of death or a poison message. An upstream that crashes does not say why, and callers
//! retry under another id and at another host, so a request is identified by its content. See `docs/design/quarantine.md`.

pub mod fingerprint;
pub mod report;
pub mod table;

pub use fingerprint::{Content, Fingerprint};
pub use report::{CrashReport, InFlight, Position, Quarantined, Update};
pub use table::Table;
