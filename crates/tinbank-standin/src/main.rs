//! The `tinbank-standin` program.

fn main() {}
