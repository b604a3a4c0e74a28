//! Settings of the fleet process.

use serde::Deserialize;
use tinbank_settings::{
    common::Common,
    schema::{Field, Schema},
};

/// Settings of the fleet process: those that all processes share.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Settings {
    /// What all processes are told.
    #[serde(flatten)]
    pub common: Common,
}

impl Schema for Settings {
    fn fields() -> Vec<Field> {
        Common::fields()
    }
}
