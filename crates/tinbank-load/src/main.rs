//! The `tinbank-load` program.

fn main() {}
