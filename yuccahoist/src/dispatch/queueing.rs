//! Admission and queueing, from the arrival of a request to its dispatch.

use std::cmp::Reverse;
use std::time::Duration;

use super::flight::finished;
use super::grants::usable_grant;
use super::worker::Worker;
use super::{
    Decision, DispatchAction, Dispatcher, EXPIRY_MARGIN, ForwardId, Full, QueueItem, RETRY_MIN, Waiting,
};
use crate::id::{ServiceId, ShardId, WorkerId};
use crate::ownership::{Grant, Share};
use crate::request::{Class, Outcome, Refusal, Request};
use crate::unit::Timestamp;

impl Dispatcher {
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        (forward, id): (ForwardId, ShardId),
        request: Request,
        out: &mut Vec<DispatchAction>,
    ) {
        if !self.first_copy(now, forward) {
            if self.waiting.contains_key(&forward) || self.flights.contains_key(&forward) {
                out.push(DispatchAction::Accepted { forward });
            }
            return;
        }
        if let Some((refusal, reason)) = self.admission(now, &id, &request) {
            out.push(refusal_decision(&request, reason, Duration::ZERO));
            out.push(finished(forward, Outcome::NotRun(refusal)));
            return;
        }
        self.enqueue(now, forward, Waiting { shard: id, request, at: now }, out);
    }

    /// Marks a forward as seen and returns whether it was new. A duplicate must not be sent to a backend server again.
    pub(super) fn first_copy(&mut self, now: Timestamp, forward: ForwardId) -> bool {
        let first = self.seen.insert(forward);
        if first {
            self.seen_order.push_back((now, forward));
        }
        first
    }

    /// Returns why a request is refused on arrival, `None` if it is admitted.
    pub(super) fn admission(
        &self,
        now: Timestamp,
        id: &ShardId,
        request: &Request,
    ) -> Option<(Refusal, &'static str)> {
        if self.stopping {
            return Some((Refusal::Stopping, "host is stopping"));
        }
        let Some((shard, grant)) =
            self.shards.get(id).and_then(|shard| Some((shard, usable_grant(shard, now)?)))
        else {
            return Some((Refusal::NotOwner, "host has no valid grant for the shard"));
        };
        if now >= request.deadline {
            return Some((Refusal::Expired, "deadline passed before admission"));
        }
        let usable = self.usable(shard, now);
        if !usable.iter().any(|worker| worker.offers(&request.service)) {
            return Some((Refusal::NoOwner, "no usable worker of the shard offers the service"));
        }
        let view = self.view(&usable, grant.share);
        let wait = shard.queue.wait(request.class, Some(&request.team), &view);
        let late = wait > Duration::ZERO && now + wait + view.run_of(request.class) > request.deadline;
        late.then(|| {
            (Refusal::Overloaded { retry: wait.max(RETRY_MIN) }, "expected wait exceeds the deadline")
        })
    }

    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        waiting: Waiting,
        out: &mut Vec<DispatchAction>,
    ) {
        let (id, class) = (waiting.shard.clone(), waiting.request.class);
        match self.shard(&id).queue.push(queue_item(forward, &waiting.request, now)) {
            Err(full) => {
                let retry = self.retry_after(now, &id, class);
                let (refusal, reason) = match full {
                    Full::Class => (Refusal::Overloaded { retry }, "queue of the class is full"),
                    Full::Team => (Refusal::TeamLimit { retry }, "queue is full and the team has used its share of it"),
                };
                out.push(refusal_decision(&waiting.request, reason, Duration::ZERO));
                out.push(finished(forward, Outcome::NotRun(refusal)));
                return;
            }
            Ok(Some(evicted)) => self.evict(now, &id, &evicted, out),
            Ok(None) => {}
        }
        self.deadlines.insert((waiting.request.deadline, forward));
        self.waiting.insert(forward, waiting);
        out.push(DispatchAction::Accepted { forward });
        self.pump(now, &id, out);
    }

    pub(super) fn evict(
        &mut self,
        now: Timestamp,
        id: &ShardId,
        item: &QueueItem,
        out: &mut Vec<DispatchAction>,
    ) {
        let retry = self.retry_after(now, id, item.class);
        let Some(waiting) = self.forget_waiting(item.forward) else { return };
        let reason = "queue is full and the team has used its share of it";
        out.push(refusal_decision(&waiting.request, reason, now.since(waiting.at)));
        out.push(finished(item.forward, Outcome::NotRun(Refusal::TeamLimit { retry })));
    }

    pub(super) fn retry_after(&self, now: Timestamp, id: &ShardId, class: Class) -> Duration {
        let Some(shard) = self.shards.get(id) else { return RETRY_MIN };
        let Some(grant) = &shard.grant else { return RETRY_MIN };
        let view = self.view(&self.usable(shard, now), grant.share);
        shard.queue.wait(class, None, &view).max(RETRY_MIN)
    }

    /// Removes a request from the queue of its shard.
    pub(super) fn unqueue(&mut self, forward: ForwardId) -> Option<Waiting> {
        let waiting = self.forget_waiting(forward)?;
        if let Some(shard) = self.shards.get_mut(&waiting.shard) {
            shard.queue.remove(forward);
        }
        Some(waiting)
    }

    pub(super) fn forget_waiting(&mut self, forward: ForwardId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&forward)?;
        self.deadlines.remove(&(waiting.request.deadline, forward));
        Some(waiting)
    }

    pub(super) fn pump_all(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        let ids: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, shard)| !shard.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.pump(now, &id, out);
        }
    }

    /// Sends the queued requests of a shard while slots are free.
    pub(super) fn pump(&mut self, now: Timestamp, id: &ShardId, out: &mut Vec<DispatchAction>) {
        while let Some((item, grant)) = self.next(now, id) {
            let Some(waiting) = self.forget_waiting(item.forward) else { continue };
            if now >= waiting.request.deadline {
                self.expire(now, item.forward, &waiting, out);
                continue;
            }
            let Some((worker, runner_up)) = self.choose(now, id, grant.share, &waiting.request.service)
            else {
                self.put_back(item, waiting);
                return;
            };
            out.push(sent_decision(&waiting, &worker, runner_up, now));
            out.push(self.start(now, item.forward, (waiting, worker), &grant));
        }
    }

    pub(super) fn next(&mut self, now: Timestamp, id: &ShardId) -> Option<(QueueItem, Grant)> {
        let shard = self.shards.get(id)?;
        if shard.queue.is_empty() {
            return None;
        }
        let grant = usable_grant(shard, now)?.clone();
        let usable = self.usable(shard, now);
        let view = self.view(&usable, grant.share);
        let open = usable.iter().filter(|worker| worker.free(grant.share) > 0);
        let mut services: Vec<ServiceId> = open.flat_map(|worker| &worker.spec.services).cloned().collect();
        services.dedup();
        if services.is_empty() {
            return None;
        }
        let shard = self.shards.get_mut(id)?;
        let item = shard.queue.pop(&view, &|service| services.contains(service))?;
        Some((item, grant))
    }

    /// Returns the worker with the most free slots and the runner-up.
    ///
    /// Slow workers rank last; among equals, the least recently used comes first.
    pub(super) fn choose(
        &self,
        now: Timestamp,
        id: &ShardId,
        share: Share,
        service: &ServiceId,
    ) -> Option<(WorkerId, Option<WorkerId>)> {
        let usable = self.usable(self.shards.get(id)?, now);
        let open = usable.into_iter().filter(|worker| worker.offers(service) && worker.free(share) > 0);
        let mut ranked: Vec<&Worker> = open.collect();
        ranked.sort_by_key(|worker| (worker.slow(now), Reverse(worker.free(share)), worker.used_at));
        let mut ids = ranked.into_iter().map(|worker| worker.spec.worker.clone());
        Some((ids.next()?, ids.next()))
    }

    pub(super) fn put_back(&mut self, item: QueueItem, waiting: Waiting) {
        let forward = item.forward;
        if let Some(shard) = self.shards.get_mut(&waiting.shard) {
            shard.queue.restore(item);
        }
        self.deadlines.insert((waiting.request.deadline, forward));
        self.waiting.insert(forward, waiting);
    }

    pub(super) fn expire_waiting(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((deadline, forward)) = self.deadlines.first().copied() {
            if now + EXPIRY_MARGIN < deadline {
                return;
            }
            match self.unqueue(forward) {
                Some(waiting) => self.expire(now, forward, &waiting, out),
                None => _ = self.deadlines.pop_first(),
            }
        }
    }

    pub(super) fn expire(
        &self,
        now: Timestamp,
        forward: ForwardId,
        waiting: &Waiting,
        out: &mut Vec<DispatchAction>,
    ) {
        let reason = "deadline passed while queued";
        out.push(refusal_decision(&waiting.request, reason, now.since(waiting.at)));
        out.push(finished(forward, Outcome::NotRun(Refusal::Expired)));
    }
}

pub(super) fn queue_item(forward: ForwardId, request: &Request, at: Timestamp) -> QueueItem {
    QueueItem {
        forward,
        service: request.service.clone(),
        class: request.class,
        team: request.team.clone(),
        at,
    }
}

pub(super) fn sent_decision(
    waiting: &Waiting,
    worker: &WorkerId,
    runner_up: Option<WorkerId>,
    now: Timestamp,
) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: waiting.request.id,
        class: waiting.request.class,
        chosen: Some(worker.clone()),
        runner_up,
        reason: "most free slots".into(),
        waited: now.since(waiting.at),
    })
}

pub(super) fn refusal_decision(request: &Request, reason: &str, waited: Duration) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: request.id,
        class: request.class,
        chosen: None,
        runner_up: None,
        reason: reason.into(),
        waited,
    })
}
