//! Entry host daemon.

fn main() {}
