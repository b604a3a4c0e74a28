//! The platform's rate-limited weight store.

use std::{fmt, time::SystemTime};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Weights that an engine can load: a version of a model, or of an adapter for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Artifact {
    pub model: String,
    pub version: String,
    /// Name of the adapter, if the artifact is one.
    pub adapter: Option<String>,
}

/// Permission to load an artifact once, which the engine presents to the store.
pub type Ticket = u64;

/// Error of a ticket request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The rate was exceeded; the request does not count against it.
    #[error("the weight store gives no ticket until {retry_at:?}")]
    Limited {
        /// When to retry.
        retry_at: SystemTime,
    },
    /// The store does not know the artifact.
    #[error("the weight store has no {0}")]
    Missing(String),
    /// The store is unreachable.
    #[error("the weight store can't be reached: {0}")]
    Unavailable(String),
}

/// The weight store.
#[async_trait]
pub trait Weights: Send + Sync + fmt::Debug {
    /// Requests permission to load an artifact.
    async fn ticket(&self, artifact: &Artifact) -> Result<Ticket, Error>;
}
