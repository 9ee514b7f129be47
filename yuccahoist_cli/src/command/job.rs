//! `submit`, `status` and `cancel`: job requests to the HTTP interface of any entry host.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method, Response};
use yuccahoist::id::JobId;
use yuccahoist::job::JobStatus;

use crate::cli::{CancelArgs, StatusArgs, SubmitArgs};
use crate::documents;
use crate::error::CommandError;

/// Timeout of one request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a job and prints its state.
pub async fn submit(args: &SubmitArgs) -> Result<(), CommandError> {
    let job = documents::read_json(&args.file)?;
    let peer = args.host.to_string();
    let url = format!("http://{peer}/v1/jobs");
    let response = build_client(&peer)?.post(url).json(&job).send().await;
    print_response("submit job", &peer, response).await
}

/// Prints the state of a job.
pub async fn status(args: &StatusArgs) -> Result<(), CommandError> {
    request_job("read job status", Method::GET, args.host, &args.job).await
}

/// Cancels a job and prints its state.
pub async fn cancel(args: &CancelArgs) -> Result<(), CommandError> {
    request_job("cancel job", Method::DELETE, args.host, &args.job).await
}

async fn request_job(
    step: &'static str,
    method: Method,
    host: SocketAddr,
    job: &JobId,
) -> Result<(), CommandError> {
    let peer = host.to_string();
    let url = format!("http://{peer}/v1/jobs/{job}");
    let response = build_client(&peer)?.request(method, url).send().await;
    print_response(step, &peer, response).await
}

fn build_client(peer: &str) -> Result<Client, CommandError> {
    let builder = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
    builder.build().map_err(|error| call_error("create HTTP client", peer, &error))
}

fn call_error(step: &'static str, peer: &str, error: &dyn std::error::Error) -> CommandError {
    CommandError::Call { step, peer: peer.into(), reason: error.to_string() }
}

async fn print_response(
    step: &'static str,
    peer: &str,
    response: Result<Response, reqwest::Error>,
) -> Result<(), CommandError> {
    let response = response.map_err(|error| call_error(step, peer, &error))?;
    let status = response.status();
    let text = response.text().await.map_err(|error| call_error(step, peer, &error))?;
    if status.is_success() {
        let job: JobStatus = serde_json::from_str(&text).map_err(|error| call_error(step, peer, &error))?;
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
