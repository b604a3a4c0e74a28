//! Support for tests: an in-memory log with faults, fixtures and fixed proptest seeds.

pub mod log;
pub mod property;
pub mod scrape;
