//! The `tinbank-batch` program.

fn main() {}
