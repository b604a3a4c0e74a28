//! The `tinbank` program.

fn main() {}
