//! Draws a time line for people and programs.

mod describe;
mod json;
mod page;
mod text;

pub use json::json;
pub use page::page;
pub use text::text;
