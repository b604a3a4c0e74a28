//! Where a stream began.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// The upstreams at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the upstream that sent the first event.
    pub service: id::Service,
    /// Build of that upstream.
    pub build: id::Build,
}
