//! Stand-in for the log service.

mod http;
mod settings;
mod store;

pub(crate) use self::http::{Context, api};
pub use self::settings::Settings;
