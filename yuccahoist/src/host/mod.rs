//! State machine of one entry host, composed of all duties.
//!
//! [`Host`] takes events from the I/O tasks and returns the actions that they have to perform. The duties exchange
//! events through an internal queue, which is drained before `handle` returns. A request whose owner is this host
//! therefore never leaves the process.

mod control;
mod jobs;
mod peers;
mod requests;
mod status;
mod step;
mod streams;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use rand::Rng;

use self::control::ClosingEpoch;
use self::jobs::JobCalls;
use self::peers::Peers;
use self::step::{Step, StepContext};
use self::streams::Streams;
use crate::config::{CellConfig, Verdicts};
use crate::dispatch::{Dispatcher, ForwardId};
use crate::event::{HostAction, HostDecision, HostEvent};
use crate::front::Front;
use crate::id::{Incarnation, ShardId, WorkerId};
use crate::job::Coordinator;
use crate::membership::Membership;
use crate::ownership::{Grant, Member, Ownership, OwnershipSettings};
use crate::placement::Placement;
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use crate::stream::StreamSettings;
use crate::unit::{Timestamp, WallTime};

/// Start parameters of a host.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// This host as it is listed in the view.
    pub member: Member,
    /// Peer addresses for snapshot queries and announcements while this host is not in the view.
    pub seeds: Vec<SocketAddr>,
    /// Timing and retention of the log streams.
    pub streams: StreamSettings,
}

impl HostOptions {
    /// Derives the options from the settings of a daemon whose addresses are bound.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> Self {
        let host = &settings.host;
        let member = Member {
            host: host.name.clone(),
            incarnation: host.incarnation,
            address: settings.listen.peer,
            zone: host.zone.clone(),
            site: host.site.clone(),
        };
        let streams = StreamSettings { retention: settings.log.retention, ..StreamSettings::default() };
        Self { member, seeds: settings.listen.peers.clone(), streams }
    }
}

/// State machine of one entry host.
#[derive(Debug)]
pub struct Host {
    member: Member,
    streams: Streams,
    config: Option<CellConfig>,
    verdicts: Verdicts,
    ownership: Ownership,
    membership: Membership,
    front: Front,
    dispatcher: Dispatcher,
    placement: Placement,
    coordinator: Coordinator,
    peers: Peers,
    job_calls: JobCalls,
    /// Leases that this host holds.
    grants: BTreeMap<crate::id::Subject, Grant>,
    /// Epochs of lost leases that are not yet reported as quiescent.
    closing_epochs: BTreeMap<crate::id::Epoch, ClosingEpoch>,
    /// Shard of each worker command that has no result yet.
    pending_commands: BTreeMap<(WorkerId, u64), ShardId>,
    /// Assignment of workers to shards in the configuration.
    worker_shards: BTreeMap<WorkerId, ShardId>,
    draining_workers: BTreeSet<WorkerId>,
    /// Receiver of each forward to a peer that has no outcome yet.
    pending_forwards: BTreeMap<ForwardId, Incarnation>,
    pending_steps: VecDeque<Step>,
    wall_clock: WallTime,
    stopping_since: Option<Timestamp>,
    has_stopped: bool,
}

impl Host {
    /// Creates a host that has not read the log streams yet.
    #[must_use]
    pub fn new(options: HostOptions) -> Self {
        let HostOptions { member, seeds, streams } = options;
        let incarnation = member.incarnation;
        Self {
            streams: Streams::new(incarnation, &streams),
            config: None,
            verdicts: Verdicts::new(),
            ownership: Ownership::new(OwnershipSettings { member: member.clone() }),
            membership: Membership::new(incarnation),
            front: Front::new(incarnation),
            dispatcher: Dispatcher::default(),
            placement: Placement::new(),
            coordinator: Coordinator::new(incarnation),
            peers: Peers::new(seeds),
            job_calls: JobCalls::default(),
            grants: BTreeMap::new(),
            closing_epochs: BTreeMap::new(),
            pending_commands: BTreeMap::new(),
            worker_shards: BTreeMap::new(),
            draining_workers: BTreeSet::new(),
            pending_forwards: BTreeMap::new(),
            pending_steps: VecDeque::new(),
            wall_clock: WallTime::default(),
            stopping_since: None,
            has_stopped: false,
            member,
        }
    }

    /// Returns the configuration in force at this host's site; none until the `config` stream is read to its end or a
    /// peer's snapshot is restored.
    #[must_use]
    pub const fn config(&self) -> Option<&CellConfig> {
        self.config.as_ref()
    }

    /// Returns whether the host accepts calls: it has a configuration and is not stopping.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && self.stopping_since.is_none()
    }

    const fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    fn enqueue(&mut self, event: HostEvent) {
        let step = match event {
            HostEvent::Call { call, wall, request } => {
                self.wall_clock = self.wall_clock.max(wall);
                Step::Front(crate::front::FrontEvent::Call { call, wall, request })
            }
            HostEvent::CallerDisconnected { call } => {
                Step::Front(crate::front::FrontEvent::CallerDisconnected { call })
            }
            HostEvent::JobCall { call, body } => Step::JobCall { call, body },
            HostEvent::StatusCall { call } => Step::StatusCall { call },
            HostEvent::Peer { from, message } => Step::Receive { from, message },
            HostEvent::PeerNotSent { message, .. } => Step::NotSent { message },
            HostEvent::PeerLost { peer } => Step::PeerLost { peer },
            HostEvent::Read { stream, sent_at, result } => Step::Read { stream, sent_at, result },
            HostEvent::Appended { stream, seq, result } => Step::Appended { stream, seq, result },
            HostEvent::BackendResult { forward, result } => Step::BackendResult { forward, result },
            HostEvent::CommandResult { worker, ticket, result } => {
                Step::CommandResult { worker, ticket, result }
            }
            HostEvent::Hosts(hosts) => Step::Hosts(hosts),
            HostEvent::Stop => Step::Stop,
            HostEvent::Tick { wall } => {
                self.wall_clock = wall;
                Step::Tick
            }
        };
        self.pending_steps.push_back(step);
    }

    fn run_step(&mut self, step: Step, ctx: &mut StepContext<'_>) {
        match step {
            Step::Tick => self.tick(ctx),
            Step::Stop => self.begin_stop(ctx.now),
            Step::Hosts(hosts) => self.host_list_updated(hosts),
            Step::Read { stream, sent_at, result } => self.streams_read(stream, sent_at, result, ctx),
            Step::Appended { stream, seq, result } => {
                self.streams_appended(stream, seq, result, ctx);
            }
            Step::StreamTick => self.streams_tick(ctx),
            Step::PeerSnapshot { stream, snapshot } => self.streams_peer_snapshot(stream, snapshot, ctx),
            Step::Verdict(event) => self.verdict_event(event, ctx),
            Step::Ownership(event) => self.ownership_event(event, ctx),
            Step::Membership(event) => self.membership_event(event, ctx),
            Step::Front(event) => self.front_event(event, ctx),
            Step::Dispatch(event) => self.dispatch_event(event, ctx),
            Step::BackendResult { forward, result } => self.backend_result(forward, result),
            Step::Placement(event) => self.placement_event(event, ctx),
            Step::CommandResult { worker, ticket, result } => self.worker_result(worker, ticket, result),
            Step::Coordinator(event) => self.coordinator_event(event, ctx),
            Step::JobCall { call, body } => self.job_call(call, body, ctx),
            Step::StatusCall { call } => {
                ctx.out.push(HostAction::StatusReply { call, status: Box::new(self.status()) });
            }
            Step::Receive { from, message } => self.peer_message(from, message, ctx),
            Step::NotSent { message } => self.not_sent(&message),
            Step::PeerLost { peer } => self.peer_lost(peer),
        }
    }

    fn tick(&mut self, ctx: &mut StepContext<'_>) {
        self.pending_steps.push_back(Step::StreamTick);
        self.pending_steps.push_back(Step::Ownership(crate::ownership::OwnershipEvent::Tick));
        self.pending_steps.push_back(Step::Membership(crate::membership::MembershipEvent::Tick));
        self.pending_steps.push_back(Step::Verdict(crate::config::VerdictEvent::Tick));
        self.pending_steps.push_back(Step::Dispatch(crate::dispatch::DispatchEvent::Tick));
        self.pending_steps.push_back(Step::Front(crate::front::FrontEvent::Tick));
        self.pending_steps.push_back(Step::Placement(crate::placement::PlacementEvent::Tick));
        self.pending_steps.push_back(Step::Coordinator(crate::job::CoordinatorEvent::Tick));
        self.expire_job_calls(ctx);
        self.publish_load(ctx);
        self.announce_to_seeds(ctx);
        self.stop_if_removed(ctx);
        self.finish_stop(ctx);
    }

    fn log_control(&self, text: String, ctx: &mut StepContext<'_>) {
        ctx.out.push(HostAction::Decision(HostDecision::Control { text }));
    }
}

impl StateMachine for Host {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, now: Timestamp, event: HostEvent, rng: &mut dyn Rng, out: &mut Vec<HostAction>) {
        self.enqueue(event);
        while let Some(step) = self.pending_steps.pop_front() {
            self.run_step(step, &mut StepContext { now, rng, out });
        }
    }
}
