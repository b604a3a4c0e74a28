//! The `tinbank-online` program.

fn main() {}
