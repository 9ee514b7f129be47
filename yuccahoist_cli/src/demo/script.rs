//! Operations during the load: a drain, an edit, a graceful stop, a kill and a restart.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::time::sleep_until;
use yuccahoist::config::DocumentName;
use yuccahoist::id::{HostId, Revision, WorkerId};
use yuccahoist::systems::HostState;
use yuccahoist_standins::cluster::{Cluster, ClusterError};

use super::caller::Callers;
use super::{Progress, jobs};

/// Limit for an accepted edit to be in force at every host.
pub(crate) const EDIT_LIMIT: Duration = Duration::from_secs(3);
/// Limit after which a leaving backend server must get no new request.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Times and counts of one run of the script, for the checks and the report.
#[derive(Debug, Default)]
pub(crate) struct ScriptResult {
    /// Drained worker, start of its drain and its return to service; microseconds since the Unix epoch.
    pub(crate) drained: Option<(WorkerId, u64, u64)>,
    /// Time until the edit was in force at every host; none if the limit was exceeded.
    pub(crate) edit_latency: Option<Duration>,
    /// Hosts that had an older revision in force at the end, or did not answer.
    pub(crate) reverted_hosts: u32,
    /// Time from the kill until all racks and partitions were owned again; none on timeout.
    pub(crate) takeover_latency: Option<Duration>,
    /// Number of log appends during the script, all hosts together.
    pub(crate) appends: u64,
    /// Time over which the appends were counted.
    pub(crate) duration: Duration,
}

fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Runs the script in parallel with the load.
pub(crate) async fn run(
    cluster: &mut Cluster,
    callers: &Callers,
    length: Duration,
    progress: &Progress,
) -> Result<ScriptResult, ClusterError> {
    let start = tokio::time::Instant::now();
    let appends_before = cluster.log.appends();
    let reach = |fraction: f64| sleep_until(start + length.mul_f64(fraction));
    let mut script = ScriptResult::default();

    progress.print("submitting jobs");
    jobs::submit(callers).await;

    reach(0.15).await;
    let worker = cluster.options().worker_ids()?[0].clone();
    progress.print(&format!("draining backend server {worker}"));
    cluster.host_list.set(worker.as_str(), Some(HostState::Leaving));
    let drain_start = unix_micros();

    reach(0.3).await;
    progress.print("publishing an edit");
    script.edit_latency = publish_edit(cluster).await?;

    reach(0.45).await;
    let names: Vec<HostId> = cluster.hosts.keys().cloned().collect();
    progress.print(&format!("stopping host {} gracefully", names[1]));
    stop_host(cluster, callers, &names[1]).await;

    reach(0.6).await;
    progress.print(&format!("killing host {}", names[0]));
    kill_host(cluster, callers, &names[0]);
    let killed_at = Instant::now();

    reach(0.75).await;
    progress.print("starting both hosts again");
    for index in 0..2 {
        let name = cluster.start_host(index)?;
        if let Some(host) = cluster.hosts.get(&name) {
            callers.add(host.api);
        }
    }
    script.takeover_latency =
        cluster.wait_for_ownership(Duration::from_secs(30)).await.ok().map(|_| killed_at.elapsed());
    progress.print("all racks and partitions are owned again");

    reach(1.0).await;
    cluster.host_list.set(worker.as_str(), Some(HostState::Live));
    script.drained = Some((worker, drain_start, unix_micros()));
    script.reverted_hosts = count_reverted(cluster).await;
    script.appends = cluster.log.appends() - appends_before;
    script.duration = start.elapsed();
    Ok(script)
}

/// Publishes an edit and measures the time until it is in force at every host.
async fn publish_edit(cluster: &Cluster) -> Result<Option<Duration>, ClusterError> {
    let document = DocumentName::Site(cluster.options().sites[0].parse()?);
    let content = json!({ "limits": { "retry_share": 0.05 } });
    let start = Instant::now();
    cluster.publish(document, content, Revision(1)).await?;
    let has_edit = |status: &yuccahoist::event::HostStatus| {
        status.hosts.first().is_some_and(|own_status| own_status.revision >= Revision(2))
    };
    let is_reached = cluster.wait_for_status("revision 2", EDIT_LIMIT, has_edit).await.is_ok();
    Ok(is_reached.then(|| start.elapsed()))
}

/// Stops a host gracefully after the balancer has removed it.
async fn stop_host(cluster: &mut Cluster, callers: &Callers, name: &HostId) {
    if let Some(host) = cluster.hosts.get(name) {
        callers.remove(host.api);
    }
    cluster.stop(name).await;
}

/// Kills a host before the balancer removes it: a balancer notices a crash only by its failed connections.
fn kill_host(cluster: &mut Cluster, callers: &Callers, name: &HostId) {
    if let Some(host) = cluster.hosts.get(name) {
        callers.mark_killed(host.api);
    }
    let api = cluster.hosts.get(name).map(|host| host.api);
    cluster.kill(name);
    if let Some(api) = api {
        callers.remove(api);
    }
}

/// Counts hosts that do not have the latest revision in force, or do not answer.
async fn count_reverted(cluster: &Cluster) -> u32 {
    let mut reverted = 0;
    for host in cluster.hosts.values() {
        let status = cluster.status(host.api).await;
        let is_current = status
            .is_ok_and(|s| s.hosts.first().is_some_and(|own_status| own_status.revision >= Revision(2)));
        reverted += u32::from(!is_current);
    }
    reverted
}
