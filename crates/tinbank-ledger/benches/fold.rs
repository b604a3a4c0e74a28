//! Speed of the fold.

fn main() {}
