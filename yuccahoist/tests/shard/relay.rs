//! Calls that a host relays to owners which end, against owners and a store that the test plays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, mpsc};
use tokio::time::timeout;
use yuccahoist::clock::MonotonicClock;
use yuccahoist::shard::host::frame::{Frame, FrameReader, FrameSender, split};
use yuccahoist::shard::host::{self, HostHandle, HostSettings, Ports};
use yuccahoist::shard::message::{Answer, OrderError, Refusal, Report, Request};
use yuccahoist::shard::ports::{
    Announcement, LeaseOrder, PaceOrder, RecommendationService, Registry, RegistryChange, Snapshot,
    StartOrder, Store, StoreError, Ticket, Workers,
};
use yuccahoist::shard::record::{Entry, JobState, Ownership};
use yuccahoist::shard::{Epoch, JobKey, StepKey, TaskKey, WorkerIncarnation};
use yuccahoist::unit::Bytes;

use super::cluster::spec;

/// Time that a caller waits; shorter than two takeovers by silence.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time in which a host connects to a new owner and sends its calls.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a frame that was not sent will not be.
const QUIET: Duration = Duration::from_millis(150);

/// Platform whose store announces owners and lets no host claim the shard.
#[derive(Debug)]
struct Platform(Mutex<mpsc::UnboundedReceiver<Announcement>>);

fn conflict() -> StoreError {
    StoreError::Conflict { step: "claim" }
}

#[async_trait]
impl Store for Platform {
    async fn read(&self) -> Result<Snapshot, StoreError> {
        Err(conflict())
    }

    async fn end(&self) -> Result<u64, StoreError> {
        Err(conflict())
    }

    async fn claim(&self, _: Epoch, _: u64, _: u64, _: &Entry) -> Result<(), StoreError> {
        Err(conflict())
    }

    async fn append(&self, _: Epoch, _: u64, _: &[Entry], _: Duration) -> Result<(), StoreError> {
        Err(conflict())
    }

    async fn announce(&self, _: &Announcement) -> Result<(), StoreError> {
        Err(conflict())
    }

    async fn next_announcement(&self, wait: Duration) -> Result<Option<Announcement>, StoreError> {
        Ok(timeout(wait, async { self.0.lock().await.recv().await }).await.ok().flatten())
    }
}

#[async_trait]
impl Workers for Platform {
    async fn extend_lease(&self, _: Epoch, _: LeaseOrder) -> Result<Report, OrderError> {
        Err(OrderError::Silent)
    }

    async fn start(&self, _: Epoch, _: StartOrder) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }

    async fn stop(
        &self,
        _: Epoch,
        _: WorkerIncarnation,
        _: String,
        _: TaskKey,
        _: u32,
    ) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }

    async fn set_pace(&self, _: Epoch, _: PaceOrder) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }
}

#[async_trait]
impl RecommendationService for Platform {
    async fn recommend(&self, _: StepKey, _: &[Arc<str>]) -> Option<Vec<Ticket>> {
        None
    }
}

#[async_trait]
impl Registry for Platform {
    async fn changes(&self) -> Result<Vec<RegistryChange>, StoreError> {
        Ok(Vec::new())
    }

    fn restart(&self) {}
}

/// Host under test, and the announcements that it reads.
struct Fixture {
    host: HostHandle,
    announcements: mpsc::UnboundedSender<Announcement>,
}

/// Owner that the test plays, as the host has joined it.
struct PlayedOwner {
    reader: FrameReader,
    sender: FrameSender,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

impl Fixture {
    async fn start() -> Self {
        let (announcements, receiver) = mpsc::unbounded_channel();
        let platform = Arc::new(Platform(Mutex::new(receiver)));
        let ports = Ports {
            store: platform.clone(),
            workers: platform.clone(),
            recommendation_service: platform.clone(),
            registry: platform,
            clock: Arc::new(MonotonicClock::new()),
        };
        let (listener, address) = listen().await;
        drop(listener);
        let settings = HostSettings {
            name: "host".into(),
            address,
            max_lease: Duration::from_secs(10),
            far_factor: 1.0,
            cpu_share: 1.0,
            max_record: Bytes(262_144),
        };
        let host = host::start(settings, ports).await.expect("host started");
        Self { host, announcements }
    }

    /// Announces an owner of `epoch`, and lets the host join it.
    async fn join(&self, epoch: u64) -> PlayedOwner {
        let (listener, address) = listen().await;
        let ownership =
            Ownership { epoch: Epoch(epoch), address: address.to_string(), host: format!("owner-{epoch}") };
        let announcement = Announcement { ownership, released: false };
        self.announcements.send(announcement).expect("the host reads announcements");
        let accepted = timeout(STEP_TIMEOUT, listener.accept()).await.expect("the host connects in time");
        let (reader, sender) = split(accepted.expect("connection accepted").0);
        let mut owner = PlayedOwner { reader, sender };
        assert_matches!(owner.next().await, Some(Frame::Hello { .. }));
        assert!(owner.sender.send(Frame::Hosts(Vec::new())));
        owner
    }
}

impl PlayedOwner {
    /// Returns the next frame that is neither a ping nor about the configuration; `None` after a quiet time.
    async fn next(&mut self) -> Option<Frame> {
        loop {
            match timeout(QUIET, self.reader.next()).await.ok()?.expect("valid frame")? {
                Frame::Ping | Frame::ConfigurationVersion(_) => {}
                frame => return Some(frame),
            }
        }
    }

    async fn next_call(&mut self) -> Option<u64> {
        match self.next().await {
            Some(Frame::Call { number, .. }) => Some(number),
            None => None,
            Some(other) => panic!("unexpected frame {other:?}"),
        }
    }
}

/// A call that ended or occupied its owner was sent to each next owner, until it had reached all hosts.
#[tokio::test]
async fn call_that_is_lost_with_two_owners_reaches_no_third() {
    struct Case {
        name: &'static str,
        request: Request,
        is_read: bool,
    }
    let cases = [
        Case {
            name: "submission",
            request: Request::Submit(JobKey(1), Arc::new(spec(1, 100))),
            is_read: false,
        },
        Case { name: "cancellation", request: Request::Cancel(JobKey(1), None), is_read: false },
        Case { name: "query", request: Request::Query(JobKey(1), None), is_read: true },
        Case { name: "count", request: Request::Count("queue".into()), is_read: true },
    ];
    for case in cases {
        let fixture = Fixture::start().await;
        let mut first = fixture.join(1).await;
        let host = fixture.host.clone();
        let call = tokio::spawn(async move { host.call(case.request, PATIENCE).await });
        assert!(first.next_call().await.is_some(), "{}: first owner", case.name);
        let mut second = fixture.join(2).await;
        assert!(second.next_call().await.is_some(), "{}: second owner", case.name);
        let mut third = fixture.join(3).await;
        assert_eq!(third.next_call().await, None, "{}: third owner", case.name);
        let answer = timeout(STEP_TIMEOUT, call).await.expect("answered").expect("call ended");
        match (case.is_read, answer) {
            (false, Answer::Unclear) | (true, Answer::Refused { cause: Refusal::NoOwner, .. }) => {}
            (_, other) => panic!("{}: {other:?}", case.name),
        }
    }
}

/// A harmless call that is lost with its owner is answered by the next one.
#[tokio::test]
async fn call_that_is_lost_with_one_owner_reaches_the_next() {
    let fixture = Fixture::start().await;
    let mut first = fixture.join(1).await;
    let host = fixture.host.clone();
    let call = tokio::spawn(async move { host.call(Request::Query(JobKey(1), None), PATIENCE).await });
    assert!(first.next_call().await.is_some());
    let mut second = fixture.join(2).await;
    let number = second.next_call().await.expect("the call is sent again");
    assert!(second.sender.send(Frame::Answer { number, answer: Answer::State(JobState::Running) }));
    let answer = timeout(STEP_TIMEOUT, call).await.expect("answered").expect("call ended");
    assert_eq!(answer, Answer::State(JobState::Running));
}

/// A call larger than a frame ended the connection to the owner, and again after each reconnection.
#[tokio::test]
async fn call_larger_than_a_frame_leaves_the_connection_open() {
    let fixture = Fixture::start().await;
    let mut owner = fixture.join(1).await;
    let submission = |payload: String| {
        let job = yuccahoist::shard::spec::JobSpec { payload, ..spec(1, 100) };
        Request::Submit(JobKey(1), Arc::new(job))
    };
    for (payload, is_sent) in [("p".repeat(2 << 20), false), ("p".into(), true)] {
        let host = fixture.host.clone();
        let request = submission(payload);
        tokio::spawn(async move { host.call(request, PATIENCE).await });
        assert_eq!(owner.next_call().await.is_some(), is_sent);
    }
}
