//! Workspaces: the teams or customers that share the workers of a cell, each with its weight and its cap.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;
use crate::unit::Resources;

/// Longest name of a workspace, bytes; the name is part of each job's record.
const MAX_NAME_BYTES: usize = 256;

/// Name of a workspace in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceName(Arc<str>);

impl WorkspaceName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkspaceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkspaceName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return Err(ParseIdError::Format {
                kind: "workspace name",
                value: text.into(),
                expected: "1 to 256 bytes",
            });
        }
        Ok(Self(text.into()))
    }
}

/// Terms of a workspace in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTerms {
    /// Share of the workspace when all is full, relative to the weights of the others, and the number of jobs per second
    /// that it is entitled to.
    pub weight: f64,
    /// Resources that the workspace may have running over all workers; zero is no limit, for each resource apart.
    pub cap: Resources,
}

/// Workspace of a job, with the terms known to the host that received the job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name in the configuration.
    pub name: WorkspaceName,
    /// Terms in force when the job was received.
    pub terms: WorkspaceTerms,
}

/// How many jobs a workspace is entitled to: its weight times the span and the overage, and the slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaWindow {
    /// Any span of this length counts.
    pub span: Duration,
    /// Jobs in a span beyond the weight, so that a small workspace may send several at once.
    pub slack: f64,
}

impl Default for QuotaWindow {
    /// Returns a second without slack, for settings that name no window.
    fn default() -> Self {
        Self { span: Duration::from_secs(1), slack: 0.0 }
    }
}

impl QuotaWindow {
    /// Returns the number of jobs in a span for a workspace of `weight`; at least one.
    #[must_use]
    pub fn jobs(&self, weight: f64, overage: f64) -> u64 {
        let jobs = weight * self.span.as_secs_f64() * (1.0 + overage.max(0.0)) + self.slack;
        // The conversion saturates; values that are no numbers convert to 0.
        (jobs as u64).max(1)
    }
}

/// Terms of all workspaces in one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceTable {
    /// Version of the configuration; a table replaces only those of lower versions.
    pub version: u64,
    /// Part by which the platform lets a workspace exceed its cap.
    pub overage: f64,
    /// Span and allowance by which jobs count as entitled.
    pub quota: QuotaWindow,
    /// Terms by workspace; empty for a cell without workspaces.
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceTerms>,
}

impl WorkspaceTable {
    /// Whether a configuration says that the cell has no workspaces; versions count from 1, so 0 is no configuration.
    #[must_use]
    pub fn is_disabled(&self) -> bool {
        self.version > 0 && self.workspaces.is_empty()
    }
}
