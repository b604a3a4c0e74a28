//! The `tinbank-demo` program.

fn main() {}
