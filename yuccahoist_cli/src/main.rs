//! Command line of yuccahoist.

fn main() {}
