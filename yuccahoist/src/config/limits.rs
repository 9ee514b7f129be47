//! Section `limits`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::Bytes;

/// Limits of the request path in a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSection {
    /// Age up to which request ids are accepted, milliseconds.
    pub id_window_ms: u64,
    /// Clock difference allowed between callers and hosts, milliseconds.
    pub clock_skew_ms: u64,
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Largest body of a request, bytes.
    pub body_bytes: u64,
    /// Intent batches per second that each host may append.
    pub intent_rate: u32,
    /// Request ids per intent batch.
    pub intent_batch: u32,
}

/// Limits of the request path in the effective configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitsConfig {
    /// Age up to which request ids are accepted.
    pub id_window: Duration,
    /// Clock difference allowed between callers and hosts.
    pub clock_skew: Duration,
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Largest body of a request.
    pub body: Bytes,
    /// Intent batches per second that each host may append.
    pub intent_rate: u32,
    /// Request ids per intent batch.
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
