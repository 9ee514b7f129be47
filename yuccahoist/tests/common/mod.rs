//! Test doubles for tests that use sockets: state machines that the test controls, and a stub platform.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::Rng;
use tokio::sync::mpsc;
use yuccahoist::daemon::PlatformClients;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::id::{Offset, WorkerId};
use yuccahoist::placement::{Inventory, WorkerCommand};
use yuccahoist::request::{Answer, Request};
use yuccahoist::settings::{
    HostSettings, ListenSettings, LogSettings, LoggingSettings, MetricsSettings, PlatformSettings, Settings,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{
    BackendServer, CallError, DispatchBounds, HostList, HostState, LogService, ReadBatch, WorkerPlatform,
};
use yuccahoist::unit::Timestamp;

/// State machine that calls a closure for each event.
pub struct ClosureMachine<F>(pub F);

impl<F: FnMut(Timestamp, HostEvent, &mut Vec<HostAction>)> StateMachine for ClosureMachine<F> {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, now: Timestamp, event: HostEvent, _: &mut dyn Rng, out: &mut Vec<HostAction>) {
        (self.0)(now, event, out);
    }
}

/// Controls a state machine: receives its events, apart from ticks and host lists, and queues actions that it emits at
/// the next tick.
pub struct ScriptedHost {
    pub actions: mpsc::UnboundedSender<HostAction>,
    pub events: mpsc::UnboundedReceiver<HostEvent>,
}

/// Time after which a test fails when an expected event has not arrived.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

impl ScriptedHost {
    pub fn new() -> (Self, yuccahoist::daemon::HostMachine) {
        let (actions, mut queued_actions) = mpsc::unbounded_channel();
        let (event_sender, events) = mpsc::unbounded_channel();
        let machine = ClosureMachine(move |_, event, out: &mut Vec<HostAction>| match event {
            HostEvent::Tick { .. } => {
                while let Ok(action) = queued_actions.try_recv() {
                    out.push(action);
                }
            }
            HostEvent::Hosts(_) => {}
            other => drop(event_sender.send(other)),
        });
        (Self { actions, events }, Box::new(machine))
    }

    pub fn queue_action(&self, action: HostAction) {
        self.actions.send(action).expect("host actor terminated");
    }

    pub async fn next_event(&mut self) -> HostEvent {
        let event = tokio::time::timeout(EVENT_TIMEOUT, self.events.recv()).await;
        event.expect("no event within EVENT_TIMEOUT").expect("host actor terminated")
    }
}

/// Settings that listen on free ports of the loopback address.
pub fn settings(name: &str) -> Settings {
    let free_port = "127.0.0.1:0".parse().expect("invalid address");
    let host = HostSettings::new(
        name.parse().expect("invalid host name"),
        "zone-a".parse().expect("invalid zone name"),
        "site-a".parse().expect("invalid site name"),
    );
    let mut listen = ListenSettings::new(free_port, free_port);
    listen.stop_delay = Duration::ZERO;
    listen.body_limit = 1_000;
    Settings {
        host,
        listen,
        platform: PlatformSettings::new(free_port, free_port),
        log: LogSettings::default(),
        logging: LoggingSettings::default(),
        metrics: MetricsSettings::default(),
    }
}

/// Platform whose backend servers echo the body, whose host list is empty and whose other calls fail.
#[derive(Debug)]
pub struct StubPlatform;

pub fn platform() -> PlatformClients {
    let stub = Arc::new(StubPlatform);
    PlatformClients {
        log: stub.clone(),
        workers: stub.clone(),
        backends: stub.clone(),
        hosts: stub,
        table: yuccahoist::systems::WorkerTable::default(),
    }
}

fn not_sent(step: &'static str) -> CallError {
    CallError::NotSent { step, peer: "stub platform".into(), reason: "not implemented".into() }
}

#[async_trait]
impl LogService for StubPlatform {
    async fn append(&self, _: StreamName, _: Bytes) -> Result<Offset, CallError> {
        Err(not_sent("append"))
    }

    async fn read(&self, _: StreamName, _: Offset, _: Duration) -> Result<ReadBatch, CallError> {
        Err(not_sent("read"))
    }
}

#[async_trait]
impl WorkerPlatform for StubPlatform {
    async fn command(&self, _: &WorkerId, _: WorkerCommand) -> Result<Inventory, CallError> {
        Err(not_sent("command"))
    }
}

#[async_trait]
impl BackendServer for StubPlatform {
    async fn call(&self, _: &WorkerId, request: &Request, _: DispatchBounds) -> Result<Answer, CallError> {
        Ok(Answer { status: 200, body: request.body.clone() })
    }
}

#[async_trait]
impl HostList for StubPlatform {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        Ok(BTreeMap::new())
    }
}
