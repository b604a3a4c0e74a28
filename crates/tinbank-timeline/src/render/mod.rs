//! Draws a time line for people and programs.

mod describe;
mod json;
mod text;

pub use json::json;
pub use text::text;
