//! What the coordinator knows of shards and their owners.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::table::Phase;
use super::{Coordinator, End, Turn};
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TaskId};
use crate::job::{Room, ShardRequestBody, TaskReport, TaskState};
use crate::placement::copies;
use crate::unit::{Resources, Timestamp};

/// Time between requests for the list of a shard that has not listed completely.
const RECOVER_INTERVAL: Duration = Duration::from_millis(250);
/// Time between checks for lists that are due. A check looks at every shard and takes too long for every tick.
const LIST_CHECK: Duration = Duration::from_millis(50);
/// Time between lists of each partition, which find reports that were lost.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Age of a room estimate after which a list is asked for.
const ROOM_AGE: Duration = Duration::from_secs(5);
/// The same while jobs wait for room.
const WAITING_ROOM_AGE: Duration = Duration::from_secs(1);
/// Time after which an attempt that a list lacks is taken as unclear.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Time for which a shard is not asked again for a size that it refused.
pub(super) const REFUSAL: Duration = Duration::from_millis(300);

/// Time for which the number of tasks that fitted limits the next estimate.
const CAP: Duration = Duration::from_secs(4);

/// Shards by accelerators and free processors.
pub(super) type RoomIndex = BTreeSet<(bool, u64, ShardId)>;

/// What is known of a shard.
#[derive(Debug, Default)]
pub(super) struct ShardView {
    /// Owner and epoch.
    pub owner: Option<(Incarnation, Epoch)>,
    /// Last reported room, less what was asked for since.
    pub room: Room,
    /// Time of the last report.
    pub reported: Option<Timestamp>,
    /// Time of the last request for a list, per partition.
    asked: BTreeMap<PartitionId, Timestamp>,
    /// Tasks of a size that fitted when more were asked for, and until when that counts.
    caps: Vec<(Resources, u32, Timestamp)>,
    /// Sizes that were refused, until when, and whether lower priorities would have had to leave.
    refused: Vec<(Resources, Timestamp, bool)>,
}

impl ShardView {
    /// Whether a task of this size may find room, by the last report.
    pub fn has_room(&self, now: Timestamp, need: Resources) -> bool {
        self.owner.is_some()
            && need.fits(self.room.largest)
            && need.fits(self.room.total)
            && !self.is_refused(now, need, false)
    }

    /// Tasks of this size that are expected to find room.
    pub fn expected(&self, now: Timestamp, need: Resources) -> u32 {
        let caps = self.caps.iter().filter(|(size, _, until)| now < *until && size.fits(need));
        let cap = caps.map(|(_, count, _)| *count).min().unwrap_or(u32::MAX);
        copies(need, self.room.total).min(cap)
    }

    /// Whether it is known how many tasks of this size fit, and some do.
    pub fn is_capped(&self, now: Timestamp, need: Resources) -> bool {
        self.owner.is_some()
            && need.fits(self.room.largest)
            && self.caps.iter().any(|(size, count, until)| now < *until && *size == need && *count > 0)
    }

    /// Notes that no more than `count` tasks of this size fitted, because free capacity is spread over workers.
    pub fn cap(&mut self, now: Timestamp, need: Resources, count: u32) {
        self.caps.retain(|(size, _, until)| now < *until && *size != need);
        self.caps.push((need, count, now + CAP));
    }

    /// Whether a task of this size was refused a short time ago.
    pub fn is_refused(&self, now: Timestamp, need: Resources, preempt: bool) -> bool {
        self.refused.iter().any(|(size, until, kind)| now < *until && *kind == preempt && size.fits(need))
    }

    /// Notes a refusal.
    pub fn refuse(&mut self, now: Timestamp, need: Resources, preempt: bool) {
        self.refused.retain(|(_, until, _)| now < *until);
        self.refused.push((need, now + REFUSAL, preempt));
    }

    fn key(&self, shard: &ShardId) -> (bool, u64, ShardId) {
        (self.room.worker.accelerators.0 > 0, self.room.total.cpu.0, shard.clone())
    }
}

impl End {
    /// End of an attempt that never started.
    pub(super) fn absent() -> Self {
        Self { state: TaskState::Stopped, worker: None, shard: absent_shard() }
    }
}

/// Shard of an attempt that no shard holds; it is never sent anywhere.
fn absent_shard() -> ShardId {
    static ABSENT: std::sync::LazyLock<ShardId> =
        std::sync::LazyLock::new(|| ShardId::new("absent").unwrap_or_else(|_| unreachable!("name is valid")));
    ABSENT.clone()
}

impl Coordinator {
    pub(super) fn change_room(&mut self, shard: &ShardId, change: impl FnOnce(&mut Room)) {
        let Some(view) = self.shards.get_mut(shard) else { return };
        self.rooms.remove(&view.key(shard));
        change(&mut view.room);
        if view.owner.is_some() {
            self.rooms.insert(view.key(shard));
        }
    }

    pub(super) fn owner_changed(
        &mut self,
        turn: &mut Turn<'_>,
        shard: &ShardId,
        owner: Option<(Incarnation, Epoch)>,
    ) {
        let view = self.shards.entry(shard.clone()).or_default();
        if view.owner == owner {
            return;
        }
        self.rooms.remove(&view.key(shard));
        *view = ShardView { owner, room: view.room, ..ShardView::default() };
        // Nothing is placed before the new owner has reported its room.
        view.room.total = Resources::ZERO;
        view.room.largest = Resources::ZERO;
        self.change_room(shard, |_| {});
        let lost: Vec<_> =
            self.pending.iter().filter(|(_, p)| p.shard == *shard).map(|(number, _)| *number).collect();
        for number in lost {
            self.withdraw(turn, number);
        }
        self.list_due(turn);
    }

    /// Asks for lists that are due, if that was not checked a short time ago.
    pub(super) fn list_at_tick(&mut self, turn: &mut Turn<'_>) {
        if turn.now.since(self.list_checked) >= LIST_CHECK {
            self.list_due(turn);
        }
    }

    /// Asks for lists that are due.
    pub(super) fn list_due(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.list_checked = now;
        let room_age = if self.queue.is_empty() { ROOM_AGE } else { WAITING_ROOM_AGE };
        let mut due = Vec::new();
        for (shard, view) in &mut self.shards {
            if view.owner.is_none() {
                continue;
            }
            let newest = view.asked.values().max().copied();
            let aged = view.reported.is_none_or(|at| now.since(at) >= room_age);
            let mut room_due = aged && newest.is_none_or(|at| now.since(at) >= WAITING_ROOM_AGE);
            for (partition, owned) in &self.partitions {
                let asked = view.asked.get(partition);
                let interval = if owned.listed.contains(shard) { LIST_INTERVAL } else { RECOVER_INTERVAL };
                if !room_due && asked.is_some_and(|at| now.since(*at) < interval) {
                    continue;
                }
                room_due = false;
                view.asked.insert(*partition, now);
                due.push((*partition, shard.clone()));
            }
        }
        for (partition, shard) in due {
            self.send(turn, partition, &shard, ShardRequestBody::List);
        }
    }

    /// Follows the list of a shard's tasks.
    pub(super) fn listed(
        &mut self,
        turn: &mut Turn<'_>,
        (partition, shard): (PartitionId, &ShardId),
        tasks: Vec<TaskReport>,
        (complete, room): (bool, Room),
    ) {
        let now = turn.now;
        let reserving = self.pending.values().filter(|pending| pending.shard == *shard);
        let asked = reserving.fold(Resources::ZERO, |sum, pending| {
            sum + pending.need.times(u32::try_from(pending.tasks.len()).unwrap_or(u32::MAX))
        });
        self.change_room(shard, |known| {
            *known = room;
            known.total -= asked;
        });
        if let Some(view) = self.shards.get_mut(shard) {
            view.reported = Some(now);
        }
        let present: BTreeSet<_> = tasks.iter().map(|report| (report.task.clone(), report.attempt)).collect();
        for report in tasks {
            self.report(now, partition, shard, report);
        }
        let Some(owned) = self.partitions.get_mut(&partition) else { return };
        if !complete || !owned.marked {
            return;
        }
        owned.listed.insert(shard.clone());
        // A list may be older than the attempt, so the owner is asked to confirm that it is absent.
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.partition == partition) {
            for (index, run) in job.runs.iter_mut().filter(|(_, run)| run.shard == *shard) {
                let task = TaskId { job: id.clone(), index: *index };
                let missing = !present.contains(&(task.clone(), run.attempt));
                let unclear = run.phase != Phase::Reserving && now.since(run.since) >= LIST_LAG;
                if missing && unclear && run.stopped.is_none() {
                    run.stopped = Some(now);
                    let wave = self.stops.entry((partition, shard.clone())).or_default();
                    wave.insert((task, run.attempt));
                }
            }
        }
    }
}
