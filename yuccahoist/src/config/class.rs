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
    /// Class that must not wait.
    pub urgent: ClassSection,
    /// Class that may wait a while.
    pub batch: ClassSection,
    /// Class that may wait but must finish.
    pub heavy: ClassSection,
}

impl ClassesSection {
    /// Classes with their limits.
    #[must_use]
    pub const fn all(&self) -> [(Class, &ClassSection); 3] {
        [(Class::Urgent, &self.urgent), (Class::Batch, &self.batch), (Class::Heavy, &self.heavy)]
    }

    /// Longest run limit of any class.
    #[must_use]
    pub fn longest_run(&self) -> Duration {
        let millis = self.all().iter().map(|(_, class)| class.run_limit_ms).max().unwrap_or_default();
        Duration::from_millis(millis)
    }

    /// Effective form.
    pub(super) fn build(&self) -> BTreeMap<Class, ClassLimits> {
        self.all().into_iter().map(|(class, section)| (class, section.into())).collect()
    }
}

/// Limits of one request class in a document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSection {
    /// Guaranteed share of a shard's slots, 0 to 1.
    pub share: f64,
    /// Requests that may wait per shard.
    pub queue: u32,
    /// Longest run time, milliseconds.
    pub run_limit_ms: u64,
    /// Longest deadline that a caller may ask for, milliseconds.
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
