//! Ownership, membership, verdicts, configuration and the planned stop.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use super::step::{Step, Turn};
use crate::config::{CellConfig, VerdictAction, VerdictEvent};
use crate::dispatch::DispatchEvent;
use crate::duty::Duty;
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, Subject, WorkerId};
use crate::job::{CoordinatorEvent, partition_of};
use crate::membership::{MembershipAction, MembershipEvent};
use crate::ownership::{Grant, OwnershipAction, OwnershipEvent};
use crate::peer::PeerMessage;
use crate::placement::PlacementEvent;
use crate::systems::{HostState, WorkerAddress};
use crate::unit::Timestamp;

/// Partition whose owner decides on configuration edits.
const VERDICT_PARTITION: Subject = Subject::Partition(PartitionId(0));

/// Time after which a stop that cannot reach the log ends without releasing its leases, which then lapse.
const STOP_WITHOUT_LOG: Duration = Duration::from_secs(10);

/// Lease that is ending.
#[derive(Debug)]
pub(super) struct Closing {
    /// Shard whose worker commands must have ended; none for a partition.
    shard: Option<ShardId>,
    /// Whether requests are still in progress.
    requests: bool,
}

impl Host {
    pub(super) fn own(&mut self, event: OwnershipEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.ownership.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                OwnershipAction::Append { ticket, record } => self.append_cell(ticket, record, turn),
                OwnershipAction::Send { to, message } => {
                    self.send(to, PeerMessage::Ownership(message), None, turn);
                }
                OwnershipAction::Grant(grant) => self.granted(grant, turn),
                OwnershipAction::Lost { subject, epoch } => self.lost(subject, epoch, turn),
                OwnershipAction::Owner { subject, owner } => self.owner(subject, owner),
                OwnershipAction::View(members) => {
                    for incarnation in self.peers.set_view(&members) {
                        self.suspected(incarnation, true);
                    }
                    self.steps.push_back(Step::Membership(MembershipEvent::View(members)));
                }
            }
        }
    }

    fn granted(&mut self, grant: Grant, turn: &mut Turn<'_>) {
        let before = self.grants.insert(grant.subject.clone(), grant.clone());
        if before.as_ref().is_none_or(|old| old.epoch != grant.epoch || old.share != grant.share) {
            let text =
                format!("{} is owned in epoch {} with share {:?}", grant.subject, grant.epoch, grant.share);
            self.control(text, turn);
        }
        if grant.subject == VERDICT_PARTITION {
            self.steps.push_back(Step::Verdict(VerdictEvent::Holder(true)));
        }
        match grant.subject.clone() {
            Subject::Shard(shard) => {
                let event = DispatchEvent::Granted { shard: shard.clone(), grant: grant.clone() };
                self.steps.push_back(Step::Dispatch(event));
                self.steps.push_back(Step::Placement(PlacementEvent::Granted { shard, grant }));
            }
            Subject::Partition(partition) => {
                self.steps.push_back(Step::Coordinator(CoordinatorEvent::Granted { partition, grant }));
            }
        }
    }

    fn lost(&mut self, subject: Subject, epoch: Epoch, turn: &mut Turn<'_>) {
        self.control(format!("{subject} is no longer owned in epoch {epoch}"), turn);
        if self.grants.get(&subject).is_some_and(|grant| grant.epoch == epoch) {
            self.grants.remove(&subject);
            if subject == VERDICT_PARTITION {
                self.steps.push_back(Step::Verdict(VerdictEvent::Holder(false)));
            }
        }
        match subject {
            Subject::Shard(shard) => {
                self.closing.insert(epoch, Closing { shard: Some(shard.clone()), requests: true });
                self.steps.push_back(Step::Dispatch(DispatchEvent::Lost { shard: shard.clone(), epoch }));
                self.steps.push_back(Step::Placement(PlacementEvent::Lost { shard, epoch }));
            }
            Subject::Partition(partition) => {
                self.steps.push_back(Step::Coordinator(CoordinatorEvent::Lost { partition, epoch }));
                self.steps.push_back(Step::Ownership(OwnershipEvent::Quiescent { epochs: vec![epoch] }));
            }
        }
    }

    /// Notes that no request of an epoch is in progress any more.
    pub(super) fn requests_ended(&mut self, epoch: Epoch) {
        if let Some(closing) = self.closing.get_mut(&epoch) {
            closing.requests = false;
        }
        self.close_epochs();
    }

    /// Reports epochs under which neither requests nor worker commands are in progress.
    pub(super) fn close_epochs(&mut self) {
        let busy: BTreeSet<&ShardId> = self.commands.values().collect();
        let ended = |closing: &Closing| {
            !closing.requests && closing.shard.as_ref().is_none_or(|shard| !busy.contains(shard))
        };
        let epochs: Vec<Epoch> =
            self.closing.iter().filter(|(_, closing)| ended(closing)).map(|(epoch, _)| *epoch).collect();
        if epochs.is_empty() {
            return;
        }
        self.closing.retain(|epoch, _| !epochs.contains(epoch));
        self.steps.push_back(Step::Ownership(OwnershipEvent::Quiescent { epochs }));
    }

    fn owner(&mut self, subject: Subject, owner: Option<(Incarnation, Epoch)>) {
        if let Subject::Shard(shard) = subject {
            self.steps.push_back(Step::Front(FrontEvent::Owner { shard: shard.clone(), owner }));
            self.steps.push_back(Step::Coordinator(CoordinatorEvent::Owner { shard, owner }));
        }
        // Status queries about jobs go to the owner of the partition, which the fold knows.
    }

    pub(super) fn member_event(&mut self, event: MembershipEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.membership.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                MembershipAction::SendHeartbeat { to } => {
                    let heartbeat = self.heartbeat();
                    for peer in to {
                        self.send(peer, PeerMessage::Heartbeat(heartbeat.clone()), None, turn);
                    }
                }
                MembershipAction::Suspected { incarnation, suspected } => {
                    self.suspected(incarnation, suspected);
                }
                // A leaving member still serves what it owns until its leases are released.
                MembershipAction::Leaving { .. } => {}
            }
        }
    }

    fn suspected(&mut self, incarnation: Incarnation, suspected: bool) {
        self.steps.push_back(Step::Ownership(OwnershipEvent::Suspected { incarnation, suspected }));
        self.steps.push_back(Step::Front(FrontEvent::Suspected { incarnation, suspected }));
        if suspected {
            self.steps.push_back(Step::Dispatch(DispatchEvent::FrontLost { front: incarnation }));
        }
    }

    pub(super) fn verdict(&mut self, event: VerdictEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.verdicts.handle(turn.now, event, turn.rng, &mut actions);
        for VerdictAction::Decide { edit } in actions {
            self.append_verdict(edit, turn);
        }
    }

    /// Puts the configuration of this host's site into all duties.
    pub(super) fn apply_config(&mut self, turn: &mut Turn<'_>) {
        let config = match self.streams.config.fold().effective(&self.member.site) {
            Ok(config) => config,
            Err(errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                let text =
                    format!("configuration is not usable here and was kept as it was: {}", errors.join("; "));
                self.control(text, turn);
                return;
            }
        };
        self.streams.intents.fold_mut().set_limits(config.limits.id_window, config.limits.clock_skew);
        self.shards = shards(&config);
        turn.out.push(HostAction::Workers(addresses(&config)));
        let partitions = config.teams.keys().map(|team| (team.clone(), partition_of(team))).collect();
        self.steps.extend([
            Step::Ownership(OwnershipEvent::RunLimit(config.cell_run_limit)),
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

    pub(super) fn hosts(&mut self, hosts: BTreeMap<String, HostState>) {
        let leaving: BTreeSet<WorkerId> = hosts
            .iter()
            .filter(|(_, state)| **state == HostState::Leaving)
            .filter_map(|(name, _)| name.parse().ok())
            .filter(|worker| self.shards.contains_key(worker))
            .collect();
        let changed: Vec<WorkerId> = leaving.symmetric_difference(&self.draining).cloned().collect();
        for worker in changed {
            let draining = leaving.contains(&worker);
            let event = DispatchEvent::Draining { worker: worker.clone(), draining };
            self.steps.push_back(Step::Dispatch(event));
            self.steps.push_back(Step::Placement(PlacementEvent::Draining { worker, draining }));
        }
        self.draining = leaving;
        self.steps.push_back(Step::Membership(MembershipEvent::Hosts(hosts)));
    }

    /// Stops this process if another incarnation of its host has replaced it, or if it was removed from the view.
    pub(super) fn check_replaced(&mut self, turn: &mut Turn<'_>) {
        if self.ownership.left() && self.stop.is_none() {
            self.control("this process is no longer in the view and stops".into(), turn);
            self.begin_stop(turn.now);
        }
    }

    pub(super) fn begin_stop(&mut self, now: Timestamp) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(now);
        self.steps.push_back(Step::Front(FrontEvent::Stop));
        self.steps.push_back(Step::Dispatch(DispatchEvent::Stop));
        self.steps.push_back(Step::Ownership(OwnershipEvent::Waiting(!self.is_idle())));
        self.steps.push_back(Step::Ownership(OwnershipEvent::Stop));
    }

    /// Whether nothing that this host accepted is open.
    fn is_idle(&self) -> bool {
        self.front.is_idle() && self.dispatcher.is_idle() && self.job_calls.is_idle()
    }

    pub(super) fn finish_stop(&mut self, turn: &mut Turn<'_>) {
        let Some(since) = self.stop else { return };
        let idle = self.is_idle();
        // Peers send answers to members only, so the host leaves the view last.
        self.steps.push_back(Step::Ownership(OwnershipEvent::Waiting(!idle)));
        if self.stopped || !idle {
            return;
        }
        let left = !self.peers.in_view(self.incarnation()) && self.streams.cell.pending() == 0;
        let given_up = turn.now.since(since) >= STOP_WITHOUT_LOG && !self.streams.cell.available();
        if left || given_up {
            self.stopped = true;
            turn.out.push(HostAction::Stopped);
        }
    }
}

fn shards(config: &CellConfig) -> BTreeMap<WorkerId, ShardId> {
    config.workers().map(|(shard, _, worker)| (worker.worker.clone(), shard.clone())).collect()
}

fn addresses(config: &CellConfig) -> BTreeMap<WorkerId, WorkerAddress> {
    config
        .workers()
        .map(|(_, _, w)| (w.worker.clone(), WorkerAddress { backend: w.backend, agent: w.agent }))
        .collect()
}
