//! Load and measurement: compares arms under load and faults, and measures slopes.
//!
//! It prints figures and judges none: `docs/measurements.md` and `docs/CAPACITY.md` hold them.

pub mod capacity;
pub mod command;
pub mod slopes;
