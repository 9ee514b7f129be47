//! Callers behind a balancer that tries another host when a connection fails.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use yuccahoist::id::{RequestId, TeamId};
use yuccahoist::request::Class;

/// Service that is called.
const SERVICE: &str = "drumline";

/// Request as a caller makes it.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) id: RequestId,
    pub(crate) class: Class,
    pub(crate) team: TeamId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    /// Service time.
    pub(crate) time: Duration,
    /// Whether the balancer sends it to two hosts at once.
    pub(crate) doubled: bool,
}

impl Plan {
    /// Body that tells the backend server the service time and is answered unchanged.
    pub(crate) fn body(&self) -> String {
        format!("time_us={};{}", self.time.as_micros(), self.id)
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// Whole answer; whether it is the answer to this request.
    Answered { own: bool },
    /// Refused or expired, and provably not run.
    NotRun { status: u16 },
    /// May have run.
    Unknown,
    /// Response without an outcome header.
    Malformed,
    /// Every host was unreachable, or the connection broke.
    Broken,
}

/// Request with its reply.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) plan: Plan,
    pub(crate) reply: Reply,
    pub(crate) elapsed: Duration,
    /// Time at the host that replied; the deadline counts from its arrival there.
    pub(crate) last: Duration,
    /// Whether the connection broke at a host that did not end abruptly.
    pub(crate) cut_off: bool,
}

/// Callers and their balancer.
#[derive(Debug, Clone)]
pub(crate) struct Callers {
    client: reqwest::Client,
    live: Arc<Mutex<Vec<SocketAddr>>>,
    killed: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Callers {
    pub(crate) fn new(client: reqwest::Client, hosts: impl Iterator<Item = SocketAddr>) -> Self {
        Self { client, live: Arc::new(Mutex::new(hosts.collect())), killed: Arc::default() }
    }

    pub(crate) fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// Hosts that take calls.
    pub(crate) fn live(&self) -> Vec<SocketAddr> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes a host out of the balancer.
    pub(crate) fn remove(&self, host: SocketAddr) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != host);
    }

    /// Puts a host into the balancer.
    pub(crate) fn add(&self, host: SocketAddr) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).push(host);
    }

    /// Notes that a host ends abruptly, so that broken connections are expected.
    pub(crate) fn note_kill(&self, host: SocketAddr) {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).push(host);
    }

    fn was_killed(&self, host: SocketAddr) -> bool {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).contains(&host)
    }

    /// Makes a call, starting at the host with number `first`.
    pub(crate) async fn call(&self, plan: Plan, first: usize) -> Call {
        let start = Instant::now();
        let mut cut_off = false;
        for attempt in 0..3 {
            let hosts = self.live();
            let Some(host) = hosts.get((first + attempt) % hosts.len().max(1)).copied() else { break };
            let sent = Instant::now();
            match self.send(&plan, host).await {
                Ok(reply) => {
                    let (elapsed, last) = (start.elapsed(), sent.elapsed());
                    return Call { plan, reply, elapsed, last, cut_off };
                }
                Err(error) => cut_off |= !error.is_connect() && !self.was_killed(host),
            }
        }
        let elapsed = start.elapsed();
        Call { plan, reply: Reply::Broken, elapsed, last: elapsed, cut_off }
    }

    async fn send(&self, plan: &Plan, host: SocketAddr) -> Result<Reply, reqwest::Error> {
        let body = plan.body();
        let response = self
            .client
            .post(format!("http://{host}/v1/services/{SERVICE}"))
            .header("yuccahoist-request-id", plan.id.to_string())
            .header("yuccahoist-class", plan.class.as_str())
            .header("yuccahoist-idempotent", if plan.idempotent { "true" } else { "false" })
            .header("yuccahoist-deadline-ms", plan.deadline.as_millis().to_string())
            .header("yuccahoist-team", plan.team.as_str())
            .body(body.clone())
            .send()
            .await?;
        let status = response.status().as_u16();
        let outcome = response.headers().get("yuccahoist-outcome").cloned();
        let answer = response.bytes().await?;
        Ok(match outcome.as_ref().and_then(|value| value.to_str().ok()) {
            Some("answered") => Reply::Answered { own: answer == body.as_bytes() },
            Some("not-run") => Reply::NotRun { status },
            Some("unknown") => Reply::Unknown,
            _ => Reply::Malformed,
        })
    }
}
