//! Runs a whole deployment in one process: entry hosts on 127.0.0.x, stand-ins, a sweep and online traffic.
//!
//! Its figures come from counting results and the stand-ins' accounts, see `docs/design/demo.md`.

pub mod balancer;
pub mod caller;
pub mod command;
pub mod entry;
pub mod example;
pub mod platform;
pub mod publish;
pub mod run;
pub mod summary;
pub mod sweep;
pub mod tally;
pub mod traffic;
