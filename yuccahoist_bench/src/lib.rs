//! Benches and experiments for the decision logic.

pub mod control;
pub mod packing;
pub mod requests;
