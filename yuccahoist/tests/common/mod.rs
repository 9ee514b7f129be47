//! Fakes for tests of the sockets: a state machine that the test drives, and a platform that does nothing.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use rand::Rng;
use tokio::sync::mpsc;
use yuccahoist::daemon::Platform;
use yuccahoist::duty::Duty;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::id::{Offset, WorkerId};
use yuccahoist::placement::{Inventory, WorkerCommand};
use yuccahoist::request::{Answer, Request};
use yuccahoist::settings::{
    HostSettings, ListenSettings, LogSettings, LoggingSettings, MetricsSettings, PlatformSettings, Settings,
};
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{
    BackendServer, CallError, DispatchBounds, HostList, HostState, LogService, ReadBatch, WorkerPlatform,
};
use yuccahoist::unit::Timestamp;

/// State machine made of a closure.
pub struct Script<F>(pub F);

impl<F: FnMut(Timestamp, HostEvent, &mut Vec<HostAction>)> Duty for Script<F> {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, now: Timestamp, event: HostEvent, _: &mut dyn Rng, out: &mut Vec<HostAction>) {
        (self.0)(now, event, out);
    }
}

/// Test's end of a state machine that passes events to the test and does what the test says at the next tick.
pub struct Puppet {
    pub actions: mpsc::UnboundedSender<HostAction>,
    pub events: mpsc::UnboundedReceiver<HostEvent>,
}

/// Longest time that a test waits for an event before it fails.
const PATIENCE: Duration = Duration::from_secs(20);

impl Puppet {
    pub fn new() -> (Self, yuccahoist::daemon::HostMachine) {
        let (actions, mut asked) = mpsc::unbounded_channel();
        let (seen, events) = mpsc::unbounded_channel();
        let machine = Script(move |_, event, out: &mut Vec<HostAction>| match event {
            HostEvent::Tick { .. } => {
                while let Ok(action) = asked.try_recv() {
                    out.push(action);
                }
            }
            HostEvent::Hosts(_) => {}
            other => drop(seen.send(other)),
        });
        (Self { actions, events }, Box::new(machine))
    }

    pub fn act(&self, action: HostAction) {
        self.actions.send(action).expect("the host has ended");
    }

    pub async fn next(&mut self) -> HostEvent {
        let next = tokio::time::timeout(PATIENCE, self.events.recv()).await;
        next.expect("no event arrived").expect("the host has ended")
    }
}

/// Settings with free ports of the loopback address.
pub fn settings(name: &str) -> Settings {
    let any = "127.0.0.1:0".parse().expect("address");
    let host = HostSettings::new(
        name.parse().expect("host"),
        "zone-a".parse().expect("zone"),
        "site-a".parse().expect("site"),
    );
    let mut listen = ListenSettings::new(any, any);
    listen.stop_delay = Duration::ZERO;
    listen.body_limit = 1_000;
    Settings {
        host,
        listen,
        platform: PlatformSettings::new(any, any),
        log: LogSettings::default(),
        logging: LoggingSettings::default(),
        metrics: MetricsSettings::default(),
    }
}

/// Platform that does nothing, but for backend servers that echo the body.
#[derive(Debug)]
pub struct Nothing;

pub fn platform() -> Platform {
    let nothing = Arc::new(Nothing);
    Platform {
        log: nothing.clone(),
        workers: nothing.clone(),
        backends: nothing.clone(),
        hosts: nothing,
        table: yuccahoist::systems::WorkerTable::default(),
    }
}

fn refused(step: &'static str) -> CallError {
    CallError::NotSent { step, peer: "nothing".into(), reason: "fake".into() }
}

#[async_trait]
impl LogService for Nothing {
    async fn append(&self, _: StreamName, _: Bytes) -> Result<Offset, CallError> {
        Err(refused("append"))
    }

    async fn read(&self, _: StreamName, _: Offset, _: Duration) -> Result<ReadBatch, CallError> {
        Err(refused("read"))
    }
}

#[async_trait]
impl WorkerPlatform for Nothing {
    async fn command(&self, _: &WorkerId, _: WorkerCommand) -> Result<Inventory, CallError> {
        Err(refused("command"))
    }
}

#[async_trait]
impl BackendServer for Nothing {
    async fn call(&self, _: &WorkerId, request: &Request, _: DispatchBounds) -> Result<Answer, CallError> {
        Ok(Answer { status: 200, body: request.body.clone() })
    }
}

#[async_trait]
impl HostList for Nothing {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        Ok(BTreeMap::new())
    }
}
