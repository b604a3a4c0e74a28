//! Load and measurement: compares arms under load and faults, and measures slopes.
//!
//! It prints figures and judges none; those that were seen stand in `docs/CAPACITY.md`, the design notes and commit bodies.

pub mod capacity;
pub mod command;
pub mod compare;
pub mod slopes;
