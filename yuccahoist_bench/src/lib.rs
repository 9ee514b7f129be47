//! Benches and experiments for the decision logic.

pub mod packing;
