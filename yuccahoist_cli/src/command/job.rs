//! `submit`, `status` and `cancel`: jobs by way of any entry host.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method, Response};
use yuccahoist::id::JobId;
use yuccahoist::job::JobStatus;

use crate::cli::{CancelArgs, StatusArgs, SubmitArgs};
use crate::documents;
use crate::error::CommandError;

/// Longest wait for a host.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a job.
pub async fn submit(args: &SubmitArgs) -> Result<(), CommandError> {
    let job = documents::content(&args.file)?;
    let peer = args.host.to_string();
    let url = format!("http://{peer}/v1/jobs");
    let response = client(&peer)?.post(url).json(&job).send().await;
    report("submit job", &peer, response).await
}

/// Shows the state of a job.
pub async fn status(args: &StatusArgs) -> Result<(), CommandError> {
    call("read job status", Method::GET, args.host, &args.job).await
}

/// Cancels a job.
pub async fn cancel(args: &CancelArgs) -> Result<(), CommandError> {
    call("cancel job", Method::DELETE, args.host, &args.job).await
}

async fn call(step: &'static str, method: Method, host: SocketAddr, job: &JobId) -> Result<(), CommandError> {
    let peer = host.to_string();
    let url = format!("http://{peer}/v1/jobs/{job}");
    let response = client(&peer)?.request(method, url).send().await;
    report(step, &peer, response).await
}

fn client(peer: &str) -> Result<Client, CommandError> {
    let builder = Client::builder().no_proxy().timeout(TIMEOUT);
    builder.build().map_err(|error| failure("set up client", peer, &error))
}

fn failure(step: &'static str, peer: &str, error: &dyn std::error::Error) -> CommandError {
    CommandError::Call { step, peer: peer.into(), reason: error.to_string() }
}

async fn report(
    step: &'static str,
    peer: &str,
    response: Result<Response, reqwest::Error>,
) -> Result<(), CommandError> {
    let response = response.map_err(|error| failure(step, peer, &error))?;
    let status = response.status();
    let text = response.text().await.map_err(|error| failure(step, peer, &error))?;
    if status.is_success() {
        let job: JobStatus = serde_json::from_str(&text).map_err(|error| failure(step, peer, &error))?;
        print_status(&job);
        return Ok(());
    }
    if status.is_client_error() {
        return Err(CommandError::Invalid(vec![format!("{status}: {text}")]));
    }
    Err(CommandError::Call { step, peer: peer.into(), reason: format!("{status}: {text}") })
}

fn print_status(job: &JobStatus) {
    let reason = job.reason.as_deref().map(|reason| format!(" ({reason})")).unwrap_or_default();
    println!(
        "job {}: {}{reason}; {} running, {} done of {} tasks",
        job.job, job.state, job.running, job.done, job.tasks
    );
    for (index, worker) in &job.placed {
        println!("  task {index} on {worker}");
    }
}
