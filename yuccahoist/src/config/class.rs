//! Section `classes`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::ClassLimits;
use crate::request::Class;

/// Limits of all request classes in a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassesSection {
    /// Latency-critical requests.
    pub urgent: ClassSection,
    /// Requests that tolerate some queueing.
    pub batch: ClassSection,
    /// Requests that tolerate queueing but must complete.
    pub heavy: ClassSection,
}

impl ClassesSection {
    /// Returns each class with its limits.
    #[must_use]
    pub const fn by_class(&self) -> [(Class, &ClassSection); 3] {
        [(Class::Urgent, &self.urgent), (Class::Batch, &self.batch), (Class::Heavy, &self.heavy)]
    }

    /// Returns the longest run limit of any class.
    #[must_use]
    pub fn max_run_limit(&self) -> Duration {
        let millis = self.by_class().iter().map(|(_, class)| class.run_limit_ms).max().unwrap_or_default();
        Duration::from_millis(millis)
    }

    /// Converts the section to the effective limits per class.
    pub(super) fn build(&self) -> BTreeMap<Class, ClassLimits> {
        self.by_class().into_iter().map(|(class, section)| (class, section.into())).collect()
    }
}

/// Limits of one request class in a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    /// Share of a shard's slots that is guaranteed to the class, above 0 and at most 1.
    pub share: f64,
    /// Queue length per shard, in requests.
    pub queue: u32,
    /// Maximum run time, milliseconds.
    pub run_limit_ms: u64,
    /// Longest deadline that a caller may set, milliseconds.
    pub deadline_limit_ms: u64,
}

impl From<&ClassSection> for ClassLimits {
    fn from(section: &ClassSection) -> Self {
        Self {
            share: section.share,
            queue: section.queue as usize,
            run_limit: Duration::from_millis(section.run_limit_ms),
            deadline_limit: Duration::from_millis(section.deadline_limit_ms),
        }
    }
}
