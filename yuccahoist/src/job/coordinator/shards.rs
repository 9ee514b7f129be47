//! Coordinator's view of shards, their owners and their free capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job_table::Phase;
use super::{AttemptEnd, Coordinator, EventContext};
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TaskId};
use crate::job::{ShardCapacity, ShardRequestBody, TaskReport, TaskState};
use crate::placement::fitting_tasks;
use crate::unit::{Resources, Timestamp};

/// Interval between list requests to a shard that has not sent a complete list.
const RECOVERY_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks for due list requests; a check visits every shard, which is too slow for every tick.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between list requests for a partition; a list recovers from lost reports.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Age at which a shard's reported free capacity is refreshed.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Age at which a shard's reported free capacity is refreshed while jobs are queued.
const BACKLOG_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum age of a received list; an attempt whose phase changed within this time may be missing from it.
const MAX_LIST_DELAY: Duration = Duration::from_secs(3);
/// Time for which a shard is not asked again for a task size that it refused.
pub(super) const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which a partial reservation limits the number of tasks expected to fit on a shard.
const FIT_LIMIT_LIFETIME: Duration = Duration::from_secs(4);

/// Shards ordered by whether they have accelerators, then by free CPU.
pub(super) type CapacityIndex = BTreeSet<(bool, u64, ShardId)>;

/// Last known state of a shard.
#[derive(Debug, Default)]
pub(super) struct ShardView {
    /// Owner and the epoch of its lease.
    pub owner: Option<(Incarnation, Epoch)>,
    /// Last reported capacity, less the reservations requested since.
    pub capacity: ShardCapacity,
    /// Time of the last report of `capacity`.
    pub last_report: Option<Timestamp>,
    /// Time of the last list request by partition.
    list_requests: BTreeMap<PartitionId, Timestamp>,
    /// Task size, number of tasks that fitted when more were requested, and expiry.
    fit_limits: Vec<(Resources, u32, Timestamp)>,
    /// Refused task size, expiry, and whether the reservation was allowed to preempt.
    refused_sizes: Vec<(Resources, Timestamp, bool)>,
}

impl ShardView {
    /// Returns whether a task of this size may fit, according to the last report.
    pub fn has_room(&self, now: Timestamp, need: Resources) -> bool {
        self.owner.is_some()
            && need.fits(self.capacity.free_largest)
            && need.fits(self.capacity.free_total)
            && !self.is_refused(now, need, false)
    }

    /// Returns the number of tasks of this size expected to fit.
    pub fn expected_fit(&self, now: Timestamp, need: Resources) -> u32 {
        let limits = self.fit_limits.iter().filter(|(size, _, until)| now < *until && size.fits(need));
        let limit = limits.map(|(_, count, _)| *count).min().unwrap_or(u32::MAX);
        fitting_tasks(need, self.capacity.free_total).min(limit)
    }

    /// Returns whether a partial reservation has shown how many tasks of this size fit, and that some do.
    pub fn has_known_fit(&self, now: Timestamp, need: Resources) -> bool {
        self.owner.is_some()
            && need.fits(self.capacity.free_largest)
            && self.fit_limits.iter().any(|(size, count, until)| now < *until && *size == need && *count > 0)
    }

    /// Limits the expected fit to `count` tasks of this size, because free capacity is fragmented across workers.
    pub fn limit_fit(&mut self, now: Timestamp, need: Resources, count: u32) {
        self.fit_limits.retain(|(size, _, until)| now < *until && *size != need);
        self.fit_limits.push((need, count, now + FIT_LIMIT_LIFETIME));
    }

    /// Returns whether a task no larger than this one was refused within [`REFUSAL_BACKOFF`].
    pub fn is_refused(&self, now: Timestamp, need: Resources, may_preempt: bool) -> bool {
        self.refused_sizes
            .iter()
            .any(|(size, until, kind)| now < *until && *kind == may_preempt && size.fits(need))
    }

    /// Records the refusal of a task of this size.
    pub fn note_refusal(&mut self, now: Timestamp, need: Resources, may_preempt: bool) {
        self.refused_sizes.retain(|(_, until, _)| now < *until);
        self.refused_sizes.push((need, now + REFUSAL_BACKOFF, may_preempt));
    }

    /// Returns the shard's key in [`CapacityIndex`].
    fn index_key(&self, shard: &ShardId) -> (bool, u64, ShardId) {
        (self.capacity.largest_worker.accelerators.0 > 0, self.capacity.free_total.cpu.0, shard.clone())
    }
}

impl AttemptEnd {
    /// Returns the end of an attempt that never started.
    pub(super) fn absent() -> Self {
        Self { state: TaskState::Stopped, worker: None, shard: absent_shard() }
    }
}

/// Returns the placeholder shard of an absent attempt; it is never sent.
fn absent_shard() -> ShardId {
    static ABSENT: std::sync::LazyLock<ShardId> = std::sync::LazyLock::new(|| {
        ShardId::new("absent").unwrap_or_else(|_| unreachable!("`absent` is a valid shard name"))
    });
    ABSENT.clone()
}

impl Coordinator {
    /// Changes the known capacity of a shard and updates the index.
    pub(super) fn change_capacity(&mut self, shard: &ShardId, change: impl FnOnce(&mut ShardCapacity)) {
        let Some(view) = self.shards.get_mut(shard) else { return };
        self.capacity_index.remove(&view.index_key(shard));
        change(&mut view.capacity);
        if view.owner.is_some() {
            self.capacity_index.insert(view.index_key(shard));
        }
    }

    /// Handles a new owner, which cancels the shard's pending reservations.
    pub(super) fn owner_changed(
        &mut self,
        ctx: &mut EventContext<'_>,
        shard: &ShardId,
        owner: Option<(Incarnation, Epoch)>,
    ) {
        let view = self.shards.entry(shard.clone()).or_default();
        if view.owner == owner {
            return;
        }
        self.capacity_index.remove(&view.index_key(shard));
        *view = ShardView { owner, capacity: view.capacity, ..ShardView::default() };
        // Prevents placement until the new owner has reported its free capacity.
        view.capacity.free_total = Resources::ZERO;
        view.capacity.free_largest = Resources::ZERO;
        self.change_capacity(shard, |_| {});
        let cancelled: Vec<_> =
            self.pending.iter().filter(|(_, p)| p.shard == *shard).map(|(number, _)| *number).collect();
        for number in cancelled {
            self.cancel_reservation(ctx, number);
        }
        self.request_due_lists(ctx);
    }

    /// Requests due lists, at most once per [`LIST_CHECK_INTERVAL`].
    pub(super) fn check_due_lists(&mut self, ctx: &mut EventContext<'_>) {
        if ctx.now.since(self.last_list_check) >= LIST_CHECK_INTERVAL {
            self.request_due_lists(ctx);
        }
    }

    /// Requests a list from each shard for recovery, for lost reports or for its free capacity.
    pub(super) fn request_due_lists(&mut self, ctx: &mut EventContext<'_>) {
        let now = ctx.now;
        self.last_list_check = now;
        let refresh_interval =
            if self.queue.is_empty() { IDLE_REFRESH_INTERVAL } else { BACKLOG_REFRESH_INTERVAL };
        let mut due = Vec::new();
        for (shard, view) in &mut self.shards {
            if view.owner.is_none() {
                continue;
            }
            let last_request = view.list_requests.values().max().copied();
            let is_stale = view.last_report.is_none_or(|at| now.since(at) >= refresh_interval);
            let mut capacity_due =
                is_stale && last_request.is_none_or(|at| now.since(at) >= BACKLOG_REFRESH_INTERVAL);
            for (partition, owned) in &self.partitions {
                let requested = view.list_requests.get(partition);
                let interval =
                    if owned.listed_shards.contains(shard) { LIST_INTERVAL } else { RECOVERY_LIST_INTERVAL };
                if !capacity_due && requested.is_some_and(|at| now.since(*at) < interval) {
                    continue;
                }
                capacity_due = false;
                view.list_requests.insert(*partition, now);
                due.push((*partition, shard.clone()));
            }
        }
        for (partition, shard) in due {
            self.send(ctx, partition, &shard, ShardRequestBody::List);
        }
    }

    /// Handles a shard's task list and its free capacity.
    pub(super) fn handle_list(
        &mut self,
        ctx: &mut EventContext<'_>,
        (partition, shard): (PartitionId, &ShardId),
        tasks: Vec<TaskReport>,
        (complete, capacity): (bool, ShardCapacity),
    ) {
        let now = ctx.now;
        let reservations = self.pending.values().filter(|pending| pending.shard == *shard);
        let reserved = reservations.fold(Resources::ZERO, |sum, pending| {
            sum + pending.need.times(u32::try_from(pending.tasks.len()).unwrap_or(u32::MAX))
        });
        self.change_capacity(shard, |known| {
            *known = capacity;
            known.free_total -= reserved;
        });
        if let Some(view) = self.shards.get_mut(shard) {
            view.last_report = Some(now);
        }
        let present: BTreeSet<_> = tasks.iter().map(|report| (report.task.clone(), report.attempt)).collect();
        for report in tasks {
            self.handle_report(now, partition, shard, report);
        }
        let Some(owned) = self.partitions.get_mut(&partition) else { return };
        if !complete || !owned.marker_read {
            return;
        }
        owned.listed_shards.insert(shard.clone());
        // A list may predate the attempt, so the owner must confirm its absence in reply to a stop.
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.partition == partition) {
            for (index, run) in job.runs.iter_mut().filter(|(_, run)| run.shard == *shard) {
                let task = TaskId { job: id.clone(), index: *index };
                let missing = !present.contains(&(task.clone(), run.attempt));
                let is_settled =
                    run.phase != Phase::Reserving && now.since(run.phase_since) >= MAX_LIST_DELAY;
                if missing && is_settled && run.stop_sent.is_none() {
                    run.stop_sent = Some(now);
                    let batch = self.pending_stops.entry((partition, shard.clone())).or_default();
                    batch.insert((task, run.attempt));
                }
            }
        }
    }
}
