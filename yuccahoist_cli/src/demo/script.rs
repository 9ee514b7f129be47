//! What happens during the load: a drain, an edit, a graceful stop, a kill and a restart.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::time::sleep_until;
use yuccahoist::config::DocumentName;
use yuccahoist::id::{HostId, Revision, WorkerId};
use yuccahoist::systems::HostState;
use yuccahoist_standins::cluster::{Cluster, ClusterError};

use super::caller::Callers;
use super::{Progress, jobs};

/// Time within which an accepted edit must be in force at every host.
pub(crate) const EDIT_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a leaving backend server must get no new work.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// What the script did and saw.
#[derive(Debug, Default)]
pub(crate) struct Script {
    /// Worker that left, when its state was set, and when it came back; microseconds since the Unix epoch.
    pub(crate) drained: Option<(WorkerId, u64, u64)>,
    /// Time until the edit was in force at every host; none if it took longer than the limit.
    pub(crate) edit: Option<Duration>,
    /// Hosts that showed an older revision after a newer one.
    pub(crate) reverted: u32,
    /// Time until all racks and partitions were owned again after the kill.
    pub(crate) takeover: Option<Duration>,
    /// Log appends during the script.
    pub(crate) appends: u64,
    /// Length of the script.
    pub(crate) length: Duration,
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
) -> Result<Script, ClusterError> {
    let start = tokio::time::Instant::now();
    let appends = cluster.log.appends();
    let at = |part: f64| sleep_until(start + length.mul_f64(part));
    let mut script = Script::default();

    progress.say("submitting jobs");
    jobs::submit(callers).await;

    at(0.15).await;
    let worker = cluster.options().worker_ids()?[0].clone();
    progress.say(&format!("backend server {worker} leaves"));
    cluster.list.set(worker.as_str(), Some(HostState::Leaving));
    let leaving = unix_micros();

    at(0.3).await;
    progress.say("publishing an edit");
    script.edit = edit(cluster).await?;

    at(0.45).await;
    let names: Vec<HostId> = cluster.hosts.keys().cloned().collect();
    progress.say(&format!("host {} stops gracefully", names[1]));
    stop(cluster, callers, &names[1]).await;

    at(0.6).await;
    progress.say(&format!("host {} is killed", names[0]));
    kill(cluster, callers, &names[0]);
    let killed = Instant::now();

    at(0.75).await;
    progress.say("starting both hosts again");
    for index in 0..2 {
        let name = cluster.start_host(index)?;
        if let Some(host) = cluster.hosts.get(&name) {
            callers.add(host.api);
        }
    }
    script.takeover = cluster.wait_owned(Duration::from_secs(30)).await.ok().map(|_| killed.elapsed());
    progress.say("all racks and partitions are owned again");

    at(1.0).await;
    cluster.list.set(worker.as_str(), Some(HostState::Live));
    script.drained = Some((worker, leaving, unix_micros()));
    script.reverted = reverted(cluster).await;
    script.appends = cluster.log.appends() - appends;
    script.length = start.elapsed();
    Ok(script)
}

/// Publishes an edit and measures the time until it is in force at every host.
async fn edit(cluster: &Cluster) -> Result<Option<Duration>, ClusterError> {
    let document = DocumentName::Site(cluster.options().sites[0].parse()?);
    let content = json!({ "limits": { "retry_share": 0.05 } });
    let start = Instant::now();
    cluster.publish(document, content, Revision(1)).await?;
    let in_force = |status: &yuccahoist::event::HostStatus| {
        status.hosts.first().is_some_and(|own| own.revision >= Revision(2))
    };
    let reached = cluster.wait_all("revision 2", EDIT_LIMIT, in_force).await.is_ok();
    Ok(reached.then(|| start.elapsed()))
}

async fn stop(cluster: &mut Cluster, callers: &Callers, name: &HostId) {
    if let Some(host) = cluster.hosts.get(name) {
        callers.remove(host.api);
    }
    cluster.stop(name).await;
}

/// The balancer notices the failure only by its connections.
fn kill(cluster: &mut Cluster, callers: &Callers, name: &HostId) {
    if let Some(host) = cluster.hosts.get(name) {
        callers.note_kill(host.api);
    }
    let api = cluster.hosts.get(name).map(|host| host.api);
    cluster.kill(name);
    if let Some(api) = api {
        callers.remove(api);
    }
}

/// Counts hosts that are not at the latest revision.
async fn reverted(cluster: &Cluster) -> u32 {
    let mut count = 0;
    for host in cluster.hosts.values() {
        let status = cluster.status(host.api).await;
        let current = status.is_ok_and(|s| s.hosts.first().is_some_and(|own| own.revision >= Revision(2)));
        count += u32::from(!current);
    }
    count
}
