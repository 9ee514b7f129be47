//! Checks of services, batch jobs and gangs against workers and quotas.

use std::collections::BTreeMap;

use super::Findings;
use crate::config::CellDocument;
use crate::id::{JobId, ServiceId, TeamId};
use crate::unit::{CpuMillis, MemoryMib, Resources};

/// Largest number of tasks of a service or job.
const MAX_TASKS: u32 = 100_000;

pub(super) fn check(document: &CellDocument, findings: &mut Findings) {
    let mut service_usage = BTreeMap::new();
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        let is_valid = name.parse::<ServiceId>().is_ok() && name.parse::<JobId>().is_ok();
        findings.check(is_valid, path.as_str(), name, "a name of 1 to 64 characters");
        check_tasks(document, &path, &service.team, (service.tasks, service.resources), findings);
        let used: &mut Resources = service_usage.entry(&service.team).or_default();
        *used += service.resources.times(service.tasks);
        for rack in service.racks.iter().flatten() {
            let is_known = document.workers.racks.iter().any(|section| section.rack == *rack);
            findings.check(is_known, format!("{path}.racks"), rack, "racks of the workers section");
        }
    }
    for (team, used) in service_usage {
        if let Some(section) = document.teams.get(team.as_str()) {
            let allowed = format!("at least {used}, which the services of the team need");
            findings.check(used.fits(section.quota), format!("teams.{team}.quota"), section.quota, allowed);
        }
    }
    // A batch job can run one task at a time; a gang needs all of its tasks at once.
    let batch = document.batch.iter().map(|(name, job)| ("batch", name, job, 1));
    let gangs = document.gangs.iter().map(|(name, job)| ("gangs", name, job, job.tasks));
    for (section, name, job, concurrent_tasks) in batch.chain(gangs) {
        let path = format!("{section}.{name}");
        findings.check(name.parse::<JobId>().is_ok(), path.as_str(), name, "a name of 1 to 64 characters");
        check_tasks(document, &path, &job.team, (job.tasks, job.resources), findings);
        if let Some(team) = document.teams.get(job.team.as_str()) {
            let required = job.resources.times(concurrent_tasks);
            let allowed = format!("at most the quota of team {}, {}", job.team, team.quota);
            findings.check(required.fits(team.quota), format!("{path}.resources"), required, allowed);
        }
    }
}

fn check_tasks(
    document: &CellDocument,
    path: &str,
    team: &TeamId,
    (tasks, resources): (u32, Resources),
    findings: &mut Findings,
) {
    let is_known = document.teams.contains_key(team.as_str());
    findings.check(is_known, format!("{path}.team"), team, "teams of the teams section");
    findings.range(format!("{path}.tasks"), tasks, 1, MAX_TASKS);
    findings.check(
        resources.cpu > CpuMillis::ZERO,
        format!("{path}.resources.cpu_millis"),
        resources.cpu,
        "above 0",
    );
    findings.check(
        resources.memory > MemoryMib::ZERO,
        format!("{path}.resources.memory_mib"),
        resources.memory,
        "above 0",
    );
    let racks = &document.workers.racks;
    let fits = racks.iter().any(|rack| resources.fits(rack.capacity.resources()));
    findings.check(fits, format!("{path}.resources"), resources, "at most the capacity of one worker");
}
