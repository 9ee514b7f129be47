//! Isolation of workspaces: which callers may see, cancel and resubmit a job.

use super::Owner;
use crate::shard::job::Job;
use crate::shard::workspace::WorkspaceName;

impl Owner {
    /// Whether a caller of workspace `caller` may see `job`; `None` is a caller on an anonymous route, or in a cell without
    /// workspaces.
    ///
    /// Jobs of no workspace are open to every caller. An owner that has no table yet can't tell the two kinds of callers
    /// without a workspace apart, and counts them as anonymous.
    pub(super) fn admits(&self, job: &Job, caller: Option<&WorkspaceName>) -> bool {
        match (&job.spec.workspace, caller) {
            (None, _) => true,
            (Some(workspace), Some(caller)) => workspace.name == *caller,
            (Some(_), None) => self.options.workspaces.is_disabled(),
        }
    }
}
