//! The `tinbank-fleet` program.

fn main() {}
