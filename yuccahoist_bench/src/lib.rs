//! Benches and experiments for the decision logic.

pub mod packing;
pub mod requests;
