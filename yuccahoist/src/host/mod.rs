//! Composition of all duties into the state machine of one entry host.
//!
//! [`Host`] takes what the I/O tasks report and returns what they have to do. Inside, the duties talk by events. What
//! one duty asks of another, or of the same host in another role, is queued as a `Step` and handled before `handle`
//! returns, so a request whose owner is this host never leaves the process.

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

use self::control::Closing;
use self::jobs::JobCalls;
use self::peers::Peers;
use self::step::{Step, Turn};
use self::streams::Streams;
use crate::config::{CellConfig, Verdicts};
use crate::dispatch::{Dispatcher, ForwardId};
use crate::duty::Duty;
use crate::event::{HostAction, HostDecision, HostEvent};
use crate::front::Front;
use crate::id::{Incarnation, ShardId, WorkerId};
use crate::job::Coordinator;
use crate::membership::Membership;
use crate::ownership::{Grant, Member, Ownership, OwnershipSettings};
use crate::placement::Placement;
use crate::settings::Settings;
use crate::stream::StreamSettings;
use crate::unit::{Timestamp, WallTime};

/// What a host is told at its start.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// This host as a member of the view.
    pub member: Member,
    /// Addresses of peers to ask for state while the log is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the log streams.
    pub streams: StreamSettings,
}

impl HostOptions {
    /// Options by the settings of a daemon whose addresses are bound.
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
    /// Current grants by subject.
    grants: BTreeMap<crate::id::Subject, Grant>,
    /// Epochs that must end, with what still runs under them.
    closing: BTreeMap<crate::id::Epoch, Closing>,
    /// Worker commands without a result.
    commands: BTreeMap<(WorkerId, u64), ShardId>,
    /// Shard of each worker.
    shards: BTreeMap<WorkerId, ShardId>,
    draining: BTreeSet<WorkerId>,
    /// Forwards to peers that have no outcome yet.
    forwards: BTreeMap<ForwardId, Incarnation>,
    steps: VecDeque<Step>,
    wall: WallTime,
    stop: Option<Timestamp>,
    stopped: bool,
}

impl Host {
    /// Host that has read nothing yet.
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
            closing: BTreeMap::new(),
            commands: BTreeMap::new(),
            shards: BTreeMap::new(),
            draining: BTreeSet::new(),
            forwards: BTreeMap::new(),
            steps: VecDeque::new(),
            wall: WallTime::default(),
            stop: None,
            stopped: false,
            member,
        }
    }

    /// Configuration in force at this host's site.
    #[must_use]
    pub const fn config(&self) -> Option<&CellConfig> {
        self.config.as_ref()
    }

    /// Whether the host takes calls.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && self.stop.is_none()
    }

    const fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    fn start(&mut self, event: HostEvent) {
        let step = match event {
            HostEvent::Call { call, wall, request } => {
                self.wall = self.wall.max(wall);
                Step::Front(crate::front::FrontEvent::Call { call, wall, request })
            }
            HostEvent::Hangup { call } => Step::Front(crate::front::FrontEvent::Hangup { call }),
            HostEvent::JobCall { call, body } => Step::JobCall { call, body },
            HostEvent::StatusCall { call } => Step::StatusCall { call },
            HostEvent::Peer { from, message } => Step::Receive { from, message },
            HostEvent::PeerNotSent { message, .. } => Step::NotSent { message },
            HostEvent::PeerLost { peer } => Step::PeerLost { peer },
            HostEvent::Read { stream, asked, result } => Step::Read { stream, asked, result },
            HostEvent::Appended { stream, seq, result } => Step::Appended { stream, seq, result },
            HostEvent::Backend { forward, result } => Step::Backend { forward, result },
            HostEvent::Worker { worker, ticket, result } => Step::Worker { worker, ticket, result },
            HostEvent::Hosts(hosts) => Step::Hosts(hosts),
            HostEvent::Stop => Step::Stop,
            HostEvent::Tick { wall } => {
                self.wall = wall;
                Step::Tick
            }
        };
        self.steps.push_back(step);
    }

    fn run(&mut self, step: Step, turn: &mut Turn<'_>) {
        match step {
            Step::Tick => self.tick(turn),
            Step::Stop => self.begin_stop(turn.now),
            Step::Hosts(hosts) => self.hosts(hosts),
            Step::Read { stream, asked, result } => self.streams_read(stream, asked, result, turn),
            Step::Appended { stream, seq, result } => {
                self.streams_appended(stream, seq, result, turn);
            }
            Step::StreamTick => self.streams_tick(turn),
            Step::Restore { stream, snapshot } => self.streams_restore(stream, snapshot, turn),
            Step::Verdict(event) => self.verdict(event, turn),
            Step::Ownership(event) => self.own(event, turn),
            Step::Membership(event) => self.member_event(event, turn),
            Step::Front(event) => self.front_event(event, turn),
            Step::Dispatch(event) => self.dispatch_event(event, turn),
            Step::Backend { forward, result } => self.backend(forward, result),
            Step::Placement(event) => self.placement_event(event, turn),
            Step::Worker { worker, ticket, result } => self.worker(worker, ticket, result),
            Step::Coordinator(event) => self.coordinator_event(event, turn),
            Step::JobCall { call, body } => self.job_call(call, body, turn),
            Step::StatusCall { call } => {
                turn.out.push(HostAction::StatusReply { call, status: Box::new(self.status()) });
            }
            Step::Receive { from, message } => self.receive(from, message, turn),
            Step::NotSent { message } => self.not_sent(&message),
            Step::PeerLost { peer } => self.peer_lost(peer),
        }
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        self.steps.push_back(Step::StreamTick);
        self.steps.push_back(Step::Ownership(crate::ownership::OwnershipEvent::Tick));
        self.steps.push_back(Step::Membership(crate::membership::MembershipEvent::Tick));
        self.steps.push_back(Step::Verdict(crate::config::VerdictEvent::Tick));
        self.steps.push_back(Step::Dispatch(crate::dispatch::DispatchEvent::Tick));
        self.steps.push_back(Step::Front(crate::front::FrontEvent::Tick));
        self.steps.push_back(Step::Placement(crate::placement::PlacementEvent::Tick));
        self.steps.push_back(Step::Coordinator(crate::job::CoordinatorEvent::Tick));
        self.expire_job_calls(turn);
        self.share_load(turn);
        self.greet_seeds(turn);
        self.check_replaced(turn);
        self.finish_stop(turn);
    }

    fn control(&self, text: String, turn: &mut Turn<'_>) {
        turn.out.push(HostAction::Decision(HostDecision::Control { text }));
    }
}

impl Duty for Host {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, now: Timestamp, event: HostEvent, rng: &mut dyn Rng, out: &mut Vec<HostAction>) {
        self.start(event);
        while let Some(step) = self.steps.pop_front() {
            self.run(step, &mut Turn { now, rng, out });
        }
    }
}
