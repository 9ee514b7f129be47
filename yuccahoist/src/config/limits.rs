//! Section `limits`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::Bytes;

/// Limits of the request path in a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSection {
    /// Maximum age of a request identifier, milliseconds.
    pub id_window_ms: u64,
    /// Tolerated clock skew between callers and hosts, milliseconds.
    pub clock_skew_ms: u64,
    /// Retry budget as a fraction of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Maximum size of a request body, bytes.
    pub body_bytes: u64,
    /// Rate limit of each host's appends to the `intents` stream, batches per second.
    pub intent_rate: u32,
    /// Maximum number of request identifiers in an intent batch.
    pub intent_batch: u32,
}

/// Limits of the request path in the effective configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitsConfig {
    /// Maximum age of a request identifier.
    pub id_window: Duration,
    /// Tolerated clock skew between callers and hosts.
    pub clock_skew: Duration,
    /// Retry budget as a fraction of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Rate limit of each host's appends to the `intents` stream, batches per second.
    pub intent_rate: u32,
    /// Maximum number of request identifiers in an intent batch.
    pub intent_batch: usize,
}

impl From<&LimitsSection> for LimitsConfig {
    fn from(section: &LimitsSection) -> Self {
        Self {
            id_window: Duration::from_millis(section.id_window_ms),
            clock_skew: Duration::from_millis(section.clock_skew_ms),
            retry_share: section.retry_share,
            body: Bytes(section.body_bytes),
            intent_rate: section.intent_rate,
            intent_batch: section.intent_batch as usize,
        }
    }
}
