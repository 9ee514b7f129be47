//! Callers behind a balancer that retries at another host when a connection fails.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use yuccahoist::id::{RequestId, TeamId};
use yuccahoist::request::Class;

/// Service that all calls of the load go to.
const CALLED_SERVICE: &str = "drumline";

/// Request of the load, before it is sent.
#[derive(Debug, Clone)]
pub(crate) struct CallPlan {
    pub(crate) id: RequestId,
    pub(crate) class: Class,
    pub(crate) team: TeamId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Duration,
    /// Time for which the backend server works on the request.
    pub(crate) service_time: Duration,
    /// Whether the balancer sends the request to two hosts at once.
    pub(crate) is_duplicated: bool,
}

impl CallPlan {
    /// Returns a body that tells the backend server the service time; the server echoes the body.
    pub(crate) fn body(&self) -> String {
        format!("time_us={};{}", self.service_time.as_micros(), self.id)
    }
}

/// Reply to a call, by the outcome header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// Answered; `is_own` is set when the body is the complete answer to this request.
    Answered { is_own: bool },
    /// Rejected or expired; the host guarantees that the request did not run.
    NotRun { status: u16 },
    /// Outcome unknown: the request may have run.
    Unknown,
    /// Response without a known outcome header.
    Malformed,
    /// No response: the balancer had no host, or the connection failed at each host that was tried.
    Broken,
}

/// Finished call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) plan: CallPlan,
    pub(crate) reply: Reply,
    /// Response time over all attempts.
    pub(crate) elapsed: Duration,
    /// Response time of the attempt that got the reply; the deadline counts from the arrival at that host.
    pub(crate) last_attempt: Duration,
    /// Whether an established connection broke at a host that had not been killed.
    pub(crate) was_interrupted: bool,
}

/// Callers that share one balancer; clones share its host lists.
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

    /// Returns the hosts that the balancer sends calls to.
    pub(crate) fn live(&self) -> Vec<SocketAddr> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes a host from the balancer.
    pub(crate) fn remove(&self, host: SocketAddr) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).retain(|live| *live != host);
    }

    /// Adds a host to the balancer.
    pub(crate) fn add(&self, host: SocketAddr) {
        self.live.lock().unwrap_or_else(PoisonError::into_inner).push(host);
    }

    /// Marks a host as killed: broken connections to it are expected.
    pub(crate) fn mark_killed(&self, host: SocketAddr) {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).push(host);
    }

    fn was_killed(&self, host: SocketAddr) -> bool {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).contains(&host)
    }

    /// Makes a call in up to three attempts; `first_host` modulo the number of hosts is the first one tried.
    pub(crate) async fn call(&self, plan: CallPlan, first_host: usize) -> Call {
        let start = Instant::now();
        let mut was_interrupted = false;
        for attempt in 0..3 {
            let hosts = self.live();
            let Some(host) = hosts.get((first_host + attempt) % hosts.len().max(1)).copied() else { break };
            let sent_at = Instant::now();
            match self.send(&plan, host).await {
                Ok(reply) => {
                    let (elapsed, last_attempt) = (start.elapsed(), sent_at.elapsed());
                    return Call { plan, reply, elapsed, last_attempt, was_interrupted };
                }
                Err(error) => was_interrupted |= !error.is_connect() && !self.was_killed(host),
            }
        }
        let elapsed = start.elapsed();
        Call { plan, reply: Reply::Broken, elapsed, last_attempt: elapsed, was_interrupted }
    }

    async fn send(&self, plan: &CallPlan, host: SocketAddr) -> Result<Reply, reqwest::Error> {
        let body = plan.body();
        let response = self
            .client
            .post(format!("http://{host}/v1/services/{CALLED_SERVICE}"))
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
            Some("answered") => Reply::Answered { is_own: answer == body.as_bytes() },
            Some("not-run") => Reply::NotRun { status },
            Some("unknown") => Reply::Unknown,
            _ => Reply::Malformed,
        })
    }
}
