//! Settings of the fleet process.

use serde::Deserialize;
use tinbank_settings::{
    common::Common,
    schema::{Field, Schema},
};

/// Settings of the fleet process, which has none besides the common ones.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Settings {
    /// Settings common to all processes.
    #[serde(flatten)]
    pub common: Common,
}

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        Common::fields()
    }
}
