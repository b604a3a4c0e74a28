//! The platform's rate-limited weight store.

use std::{fmt, time::SystemTime};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Weights that an engine can load: a model, or an adapter for one, in a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Artifact {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Name of the adapter, if it is one.
    pub adapter: Option<String>,
}

/// Leave to load one artifact once; the engine shows it to the store.
pub type Ticket = u64;

/// Why no ticket was given.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Over the rate; nothing was spent.
    #[error("the weight store gives no ticket until {retry_at:?}")]
    Limited {
        /// When to ask again.
        retry_at: SystemTime,
    },
    /// The store does not know the artifact.
    #[error("the weight store has no {0}")]
    Missing(String),
    /// The store can't be reached.
    #[error("the weight store can't be reached: {0}")]
    Unavailable(String),
}

/// The weight store.
#[async_trait]
pub trait Weights: Send + Sync + fmt::Debug {
    /// Asks for leave to load an artifact.
    async fn ticket(&self, artifact: &Artifact) -> Result<Ticket, Error>;
}
