//! Benches and experiments for the decision logic.
