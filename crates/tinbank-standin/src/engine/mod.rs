//! Stand-in for a model engine: it batches continuously, caches prompt prefixes in limited memory,
//! and knows no priorities.

pub mod answer;
mod batch;
mod cache;
mod http;
mod orders;
mod run;
mod settings;
mod stream;

pub(crate) use self::http::{Context, api};
pub use self::settings::Settings;
