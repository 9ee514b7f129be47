//! Configuration: documents, edits, verdicts and the effective configuration of a site.
//!
//! Operators publish edits of a base document and of one overlay per site. Every host folds the same edits and
//! verdicts, so all hosts agree on the revision in force. An overlay only changes request handling at the hosts of its
//! site. The sections on workers and jobs are the same at all sites, because shards and partitions move between sites.

mod address;
mod cell;
mod class;
mod document;
mod fold;
mod job;
mod limits;
mod merge;
mod read;
mod record;
mod team;
mod validate;
mod verdict;
mod worker;

pub use self::address::Addresses;
pub use self::cell::{CellConfig, PARTITION_COUNT};
pub use self::class::{ClassSection, ClassesSection};
pub use self::document::{BASE_DOCUMENT, CellDocument, DocumentName, Documents};
pub use self::fold::{ConfigEffect, ConfigFold, EditOutcome, EditStatus, RevisionInForce};
pub use self::job::{JobConfig, JobSection, ServiceConfig, ServiceSection, Spread};
pub use self::limits::{LimitsConfig, LimitsSection};
pub use self::merge::merge;
pub use self::record::{ConfigRecord, ConfigSnapshot, Edit, Verdict};
pub use self::team::{TeamConfig, TeamSection};
pub use self::validate::{ConfigError, validate, validate_change};
pub use self::verdict::{MAX_VERDICT_JITTER, VERDICT_DELAY, VerdictAction, VerdictEvent, Verdicts};
pub use self::worker::{CapacitySection, RackConfig, RackSection, WorkerConfig, WorkersSection};
