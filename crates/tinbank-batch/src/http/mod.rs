//! HTTP API for batch jobs. See `docs/api.md`.

pub mod context;
mod item;
mod job;
mod results;
mod submit;
pub mod view;

use std::sync::Arc;

use dropshot::{ApiDescription, ApiDescriptionRegisterError};

pub use context::Context;

/// Returns the API, including the operators' endpoints.
///
/// # Errors
/// Returns an error if two endpoints conflict, which is a bug.
pub fn api() -> Result<ApiDescription<Arc<Context>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(submit::submit_batch)?;
    api.register(job::get_batch)?;
    api.register(job::cancel_batch)?;
    api.register(item::get_item)?;
    api.register(results::get_results)?;
    tinbank_server::operator::register(&mut api)?;
    Ok(api)
}
