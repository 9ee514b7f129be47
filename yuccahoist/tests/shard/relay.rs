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
use yuccahoist::shard::{Epoch, Fence, JobKey, StepKey, TaskKey, WorkerIncarnation};
use yuccahoist::unit::Bytes;

use super::cluster::spec;

/// Time that a caller waits; shorter than two takeovers by silence.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time in which a host connects to a new owner and sends its calls.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a frame that was not sent will not be.
const QUIET: Duration = Duration::from_millis(150);
/// Duration of a call to the recommendation service; longer than a host takes to join a new owner.
const REQUEST_DURATION: Duration = Duration::from_millis(300);

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
    async fn extend_lease(&self, _: Fence, _: LeaseOrder) -> Result<Report, OrderError> {
        Err(OrderError::Silent)
    }

    async fn start(&self, _: Fence, _: StartOrder) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }

    async fn stop(
        &self,
        _: Fence,
        _: WorkerIncarnation,
        _: String,
        _: TaskKey,
        _: u32,
    ) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }

    async fn set_pace(&self, _: Fence, _: PaceOrder) -> Result<(), OrderError> {
        Err(OrderError::Silent)
    }
}

#[async_trait]
impl RecommendationService for Platform {
    async fn recommend(&self, step: StepKey, workers: &[Arc<str>]) -> Option<Vec<Ticket>> {
        tokio::time::sleep(REQUEST_DURATION).await;
        Some(workers.iter().map(|id| (id.clone(), step.to_string())).collect())
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
    listener: TcpListener,
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
        PlayedOwner::accept(listener).await
    }
}

impl PlayedOwner {
    /// Lets a host join that connects.
    async fn accept(listener: TcpListener) -> Self {
        let accepted = timeout(STEP_TIMEOUT, listener.accept()).await.expect("the host connects in time");
        let (reader, sender) = split(accepted.expect("connection accepted").0);
        let mut owner = Self { listener, reader, sender };
        assert_matches!(owner.next().await, Some(Frame::Hello { .. }));
        assert!(owner.sender.send(Frame::Hosts(Vec::new())));
        owner
    }

    /// Closes the connection, and lets the host join again.
    async fn reconnect(self) -> Self {
        let Self { listener, reader, sender } = self;
        drop((reader, sender));
        Self::accept(listener).await
    }

    /// Sends a request for a recommendation of one worker for `step`.
    fn request_recommendation(&self, number: u64, step: StepKey) {
        let frame = Frame::RequestRecommendation { number, step, workers: vec!["w0".into()] };
        assert!(self.sender.send(frame));
    }

    /// Returns the numbers and tickets of the recommendations that arrive within `wait`.
    async fn recommendations(&mut self, wait: Duration) -> Vec<(u64, String)> {
        let mut received = Vec::new();
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end {
            match self.next().await {
                Some(Frame::Recommended { number, tickets }) => {
                    let tickets = tickets.expect("the service answers").into_iter();
                    received.extend(tickets.map(|(_, ticket)| (number, ticket)));
                }
                None => {}
                Some(other) => panic!("unexpected frame {other:?}"),
            }
        }
        received
    }

    /// Returns the next frame that is neither a ping, which is answered, nor about the configuration; `None` after a quiet
    /// time.
    async fn next(&mut self) -> Option<Frame> {
        loop {
            match timeout(QUIET, self.reader.next()).await.ok()?.expect("valid frame")? {
                Frame::Ping => assert!(self.sender.send(Frame::Pong { epoch: Epoch(0), store: true })),
                Frame::ConfigurationVersion(_) => {}
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

/// The answer to a call of a killed owner reached its successor, which took it for that to its own call of the same number:
/// a step got the recommendations of another one, and never ran.
#[tokio::test]
async fn recommendation_for_a_previous_owner_does_not_reach_the_next() {
    struct Case {
        name: &'static str,
        /// Epoch of the next owner; the same owner, on a new connection, if it is 1.
        next_epoch: u64,
        /// Number of the call of the next owner; that of the first owner is 1.
        number: u64,
    }
    let cases = [
        Case { name: "same number at the next owner", next_epoch: 2, number: 1 },
        Case { name: "other number at the next owner", next_epoch: 2, number: 2 },
        Case { name: "next but one epoch", next_epoch: 3, number: 1 },
        Case { name: "new connection to the same owner", next_epoch: 1, number: 1 },
    ];
    let step = |job| StepKey { job: JobKey(job), occurrence: 0, step: 0 };
    for case in cases {
        let fixture = Fixture::start().await;
        let first = fixture.join(1).await;
        first.request_recommendation(1, step(1));
        // The request has to arrive before the connection ends.
        tokio::time::sleep(QUIET).await;
        let mut next =
            if case.next_epoch == 1 { first.reconnect().await } else { fixture.join(case.next_epoch).await };
        next.request_recommendation(case.number, step(2));
        let received = next.recommendations(REQUEST_DURATION * 3).await;
        assert_eq!(received, [(case.number, step(2).to_string())], "{}", case.name);
    }
}
