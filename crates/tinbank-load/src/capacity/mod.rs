//! Works the tables of docs/CAPACITY.md out from measured slopes, so that the page can't differ from the figures.

mod batch;
mod control;
mod figures;
mod fleet;
mod online;
mod page;
mod row;
mod size;

pub use figures::Figures;
pub use page::{splice, tables};
pub use row::{Limit, Row};
pub use size::Size;
