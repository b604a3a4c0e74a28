//! Detection and quarantine of requests that crash the upstreams that run them. Does no I/O.
//!
//! Such a request is known as a query of death or a poison message. An upstream that crashes does not say why, and callers
//! retry under another id and at another host, so a request is identified by its content. Requests that are no two alike may share a
//! part of their prompts that crashes upstreams, so those parts are suspected as well. See `docs/design/quarantine.md`.

pub mod fingerprint;
mod part;
pub mod report;
pub mod table;
mod trial;

pub use fingerprint::{Content, Fingerprint, SharedPart};
pub use report::{CrashReport, InFlight, Kind, Position, Quarantined, Source, Update};
pub use table::Table;
