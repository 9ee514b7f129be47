//! Ownership, membership, verdicts, configuration and the graceful stop.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use super::step::{Step, StepContext};
use crate::config::{CellConfig, VerdictAction, VerdictEvent};
use crate::dispatch::DispatchEvent;
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, Subject, WorkerId};
use crate::job::{CoordinatorEvent, team_partition};
use crate::membership::{MembershipAction, MembershipEvent};
use crate::ownership::{Grant, OwnershipAction, OwnershipEvent};
use crate::peer::PeerMessage;
use crate::placement::PlacementEvent;
use crate::state_machine::StateMachine;
use crate::systems::{HostState, WorkerAddress};
use crate::unit::Timestamp;

/// Partition whose owner appends the verdicts on configuration edits.
const VERDICT_PARTITION: Subject = Subject::Partition(PartitionId(0));

/// Time after which a graceful stop ends without releasing its leases if the log is unavailable. The leases then expire.
const STOP_TIMEOUT_WITHOUT_LOG: Duration = Duration::from_secs(10);

/// Epoch of a lost lease that is not yet quiescent.
#[derive(Debug)]
pub(super) struct ClosingEpoch {
    /// Shard whose worker commands must have ended; none for a partition.
    shard: Option<ShardId>,
    /// Whether requests are in flight under this epoch.
    has_requests: bool,
}

impl Host {
    pub(super) fn ownership_event(&mut self, event: OwnershipEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.ownership.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                OwnershipAction::Append { ticket, record } => self.append_cell(ticket, record, ctx),
                OwnershipAction::Send { to, message } => {
                    self.send(to, PeerMessage::Ownership(message), None, ctx);
                }
                OwnershipAction::Grant(grant) => self.lease_granted(grant, ctx),
                OwnershipAction::Lost { subject, epoch } => self.lease_lost(subject, epoch, ctx),
                OwnershipAction::Owner { subject, owner } => self.owner_changed(subject, owner),
                OwnershipAction::View(members) => {
                    for incarnation in self.peers.set_view(&members) {
                        self.suspicion_changed(incarnation, true);
                    }
                    self.pending_steps.push_back(Step::Membership(MembershipEvent::View(members)));
                }
            }
        }
    }

    fn lease_granted(&mut self, grant: Grant, ctx: &mut StepContext<'_>) {
        let previous = self.grants.insert(grant.subject.clone(), grant.clone());
        if previous.as_ref().is_none_or(|old| old.epoch != grant.epoch || old.share != grant.share) {
            let text =
                format!("{} is owned in epoch {} with share {:?}", grant.subject, grant.epoch, grant.share);
            self.log_control(text, ctx);
        }
        if grant.subject == VERDICT_PARTITION {
            self.pending_steps.push_back(Step::Verdict(VerdictEvent::LeaseChanged(true)));
        }
        match grant.subject.clone() {
            Subject::Shard(shard) => {
                let event = DispatchEvent::Granted { shard: shard.clone(), grant: grant.clone() };
                self.pending_steps.push_back(Step::Dispatch(event));
                self.pending_steps.push_back(Step::Placement(PlacementEvent::Granted { shard, grant }));
            }
            Subject::Partition(partition) => {
                self.pending_steps
                    .push_back(Step::Coordinator(CoordinatorEvent::Granted { partition, grant }));
            }
        }
    }

    fn lease_lost(&mut self, subject: Subject, epoch: Epoch, ctx: &mut StepContext<'_>) {
        self.log_control(format!("{subject} is no longer owned in epoch {epoch}"), ctx);
        if self.grants.get(&subject).is_some_and(|grant| grant.epoch == epoch) {
            self.grants.remove(&subject);
            if subject == VERDICT_PARTITION {
                self.pending_steps.push_back(Step::Verdict(VerdictEvent::LeaseChanged(false)));
            }
        }
        match subject {
            Subject::Shard(shard) => {
                self.closing_epochs
                    .insert(epoch, ClosingEpoch { shard: Some(shard.clone()), has_requests: true });
                self.pending_steps
                    .push_back(Step::Dispatch(DispatchEvent::GrantLost { shard: shard.clone(), epoch }));
                self.pending_steps.push_back(Step::Placement(PlacementEvent::GrantLost { shard, epoch }));
            }
            Subject::Partition(partition) => {
                self.pending_steps.push_back(Step::Coordinator(CoordinatorEvent::Lost { partition, epoch }));
                self.pending_steps
                    .push_back(Step::Ownership(OwnershipEvent::Quiescent { epochs: vec![epoch] }));
            }
        }
    }

    /// Marks an epoch as having no requests in flight.
    pub(super) fn requests_quiescent(&mut self, epoch: Epoch) {
        if let Some(closing) = self.closing_epochs.get_mut(&epoch) {
            closing.has_requests = false;
        }
        self.report_quiescent_epochs();
    }

    /// Reports the closing epochs under which neither requests nor worker commands are in flight.
    pub(super) fn report_quiescent_epochs(&mut self) {
        let busy: BTreeSet<&ShardId> = self.pending_commands.values().collect();
        let is_quiescent = |closing: &ClosingEpoch| {
            !closing.has_requests && closing.shard.as_ref().is_none_or(|shard| !busy.contains(shard))
        };
        let epochs: Vec<Epoch> = self
            .closing_epochs
            .iter()
            .filter(|(_, closing)| is_quiescent(closing))
            .map(|(epoch, _)| *epoch)
            .collect();
        if epochs.is_empty() {
            return;
        }
        self.closing_epochs.retain(|epoch, _| !epochs.contains(epoch));
        self.pending_steps.push_back(Step::Ownership(OwnershipEvent::Quiescent { epochs }));
    }

    fn owner_changed(&mut self, subject: Subject, owner: Option<(Incarnation, Epoch)>) {
        if let Subject::Shard(shard) = subject {
            self.pending_steps.push_back(Step::Front(FrontEvent::Owner { shard: shard.clone(), owner }));
            self.pending_steps.push_back(Step::Coordinator(CoordinatorEvent::Owner { shard, owner }));
        }
        // Partition owners are not tracked here: job status queries look them up in the fold of the `cell` stream.
    }

    pub(super) fn membership_event(&mut self, event: MembershipEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.membership.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat { to } => {
                    let heartbeat = self.heartbeat();
                    for peer in to {
                        self.send(peer, PeerMessage::Heartbeat(heartbeat.clone()), None, ctx);
                    }
                }
                MembershipAction::Suspected { incarnation, suspected } => {
                    self.suspicion_changed(incarnation, suspected);
                }
                // A leaving member serves its subjects until it releases the leases.
                MembershipAction::Leaving { .. } => {}
            }
        }
    }

    fn suspicion_changed(&mut self, incarnation: Incarnation, suspected: bool) {
        self.pending_steps.push_back(Step::Ownership(OwnershipEvent::Suspected { incarnation, suspected }));
        self.pending_steps.push_back(Step::Front(FrontEvent::Suspected { incarnation, suspected }));
        if suspected {
            self.pending_steps.push_back(Step::Dispatch(DispatchEvent::FrontLost { front: incarnation }));
        }
    }

    pub(super) fn verdict_event(&mut self, event: VerdictEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.verdicts.handle(ctx.now, event, ctx.rng, &mut actions);
        for VerdictAction::AppendVerdict { edit } in actions {
            self.append_verdict(edit, ctx);
        }
    }

    /// Distributes the effective configuration of this host's site to all duties. An invalid configuration is logged
    /// and the previous one stays in force.
    pub(super) fn apply_config(&mut self, ctx: &mut StepContext<'_>) {
        let config = match self.streams.config.fold().effective(&self.member.site) {
            Ok(config) => config,
            Err(errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                let text = format!(
                    "configuration is not valid for this site, the previous one stays in force: {}",
                    errors.join("; ")
                );
                self.log_control(text, ctx);
                return;
            }
        };
        self.streams.intents.fold_mut().configure_window(config.limits.id_window, config.limits.clock_skew);
        self.worker_shards = shards_by_worker(&config);
        ctx.out.push(HostAction::ReplaceWorkerAddresses(worker_addresses(&config)));
        let partitions = config.teams.keys().map(|team| (team.clone(), team_partition(team))).collect();
        self.pending_steps.extend([
            Step::Ownership(OwnershipEvent::MaxRunLimit(config.cell_run_limit)),
            Step::Ownership(OwnershipEvent::Subjects(config.subjects())),
            Step::Dispatch(DispatchEvent::Limits(config.dispatch_limits())),
            Step::Dispatch(DispatchEvent::Backends(config.backends())),
            Step::Placement(PlacementEvent::Workers(config.worker_specs())),
            Step::Placement(PlacementEvent::Partitions(partitions)),
            Step::Coordinator(CoordinatorEvent::Settings(config.coordinator_settings())),
            Step::Front(FrontEvent::Limits(config.front_limits())),
        ]);
        self.config = Some(config);
    }

    pub(super) fn host_list_updated(&mut self, hosts: BTreeMap<String, HostState>) {
        let leaving: BTreeSet<WorkerId> = hosts
            .iter()
            .filter(|(_, state)| **state == HostState::Leaving)
            .filter_map(|(name, _)| name.parse().ok())
            .filter(|worker| self.worker_shards.contains_key(worker))
            .collect();
        let changed: Vec<WorkerId> = leaving.symmetric_difference(&self.draining_workers).cloned().collect();
        for worker in changed {
            let draining = leaving.contains(&worker);
            let event = DispatchEvent::Draining { worker: worker.clone(), draining };
            self.pending_steps.push_back(Step::Dispatch(event));
            self.pending_steps.push_back(Step::Placement(PlacementEvent::Draining { worker, draining }));
        }
        self.draining_workers = leaving;
        self.pending_steps.push_back(Step::Membership(MembershipEvent::Hosts(hosts)));
    }

    /// Begins a graceful stop if another incarnation of this host has replaced this one, or if it was removed from the
    /// view.
    pub(super) fn stop_if_removed(&mut self, ctx: &mut StepContext<'_>) {
        if self.ownership.has_left() && self.stopping_since.is_none() {
            self.log_control("this incarnation is no longer in the view, stopping".into(), ctx);
            self.begin_stop(ctx.now);
        }
    }

    pub(super) fn begin_stop(&mut self, now: Timestamp) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.pending_steps.push_back(Step::Front(FrontEvent::Stop));
        self.pending_steps.push_back(Step::Dispatch(DispatchEvent::Stop));
        self.pending_steps.push_back(Step::Ownership(OwnershipEvent::AwaitingReplies(!self.is_idle())));
        self.pending_steps.push_back(Step::Ownership(OwnershipEvent::Stop));
    }

    /// Returns whether no request or job call that this host accepted is pending.
    fn is_idle(&self) -> bool {
        self.front.is_idle() && self.dispatcher.is_idle() && self.job_calls.is_idle()
    }

    pub(super) fn finish_stop(&mut self, ctx: &mut StepContext<'_>) {
        let Some(since) = self.stopping_since else { return };
        let idle = self.is_idle();
        // Peers reply only to members, so the host leaves the view last.
        self.pending_steps.push_back(Step::Ownership(OwnershipEvent::AwaitingReplies(!idle)));
        if self.has_stopped || !idle {
            return;
        }
        let left = !self.peers.is_in_view(self.incarnation()) && self.streams.cell.pending() == 0;
        let given_up = ctx.now.since(since) >= STOP_TIMEOUT_WITHOUT_LOG && !self.streams.cell.is_available();
        if left || given_up {
            self.has_stopped = true;
            ctx.out.push(HostAction::Stopped);
        }
    }
}

fn shards_by_worker(config: &CellConfig) -> BTreeMap<WorkerId, ShardId> {
    config.workers().map(|(shard, _, worker)| (worker.worker.clone(), shard.clone())).collect()
}

fn worker_addresses(config: &CellConfig) -> BTreeMap<WorkerId, WorkerAddress> {
    config
        .workers()
        .map(|(_, _, w)| (w.worker.clone(), WorkerAddress { backend: w.backend, agent: w.agent }))
        .collect()
}
