//! Gangs of the simulated workers, whose members start and end together.

use std::collections::BTreeMap;

use super::super::order::tasks;
use super::worker::Run;
use super::{Fleet, job_and_step, step_id};

/// Time after which an incomplete gang ends, counted from the start of its first member.
const GANG_START_TIMEOUT_MS: u64 = 3_000;

/// Member of a gang: worker, task, run.
type Member = (String, String, Run);

impl Fleet {
    pub(super) fn advance_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u32), Vec<Member>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            for ((task, run_id), run) in
                worker.runs.iter().filter(|(_, r)| r.in_gang && r.end_kind != "stopped")
            {
                gangs.entry((step_id(task), *run_id)).or_default().push((
                    id.clone(),
                    task.clone(),
                    run.clone(),
                ));
            }
        }
        for ((gang, run_id), members) in gangs {
            let Some((job, step)) = job_and_step(&members[0].1) else { continue };
            let Some(spec) = self.jobs.get(job).and_then(|j| j.submission.steps.get(step)) else { continue };
            let (work, count) = (spec.estimated_ms, spec.task_count as usize);
            let (job, step) = (job.to_owned(), u32::try_from(step).unwrap_or(u32::MAX));
            let key = (gang, run_id);
            if members.len() == count {
                self.complete_gangs.insert(key.clone());
            }
            let was_complete = self.complete_gangs.contains(&key);
            let last_start = members.iter().map(|(_, _, r)| r.started_at).max().unwrap_or(now);
            let first_start = members.iter().map(|(_, _, r)| r.started_at).min().unwrap_or(now);
            let saved_ms = members[0].2.saved_ms;
            let end_kind = if was_complete && members.len() < count {
                "broken"
            } else if was_complete && now >= last_start + work.saturating_sub(saved_ms) {
                if members.iter().any(|(_, _, r)| r.end_kind == "failed") { "failed" } else { "done" }
            } else if !was_complete && now >= first_start + GANG_START_TIMEOUT_MS {
                "alone"
            } else {
                continue;
            };
            match end_kind {
                "done" => self.done_tasks.extend(tasks(&job, step, spec.task_count)),
                "failed" => *self.all_failures.entry(key.0.clone()).or_default() += 1,
                _ => {}
            }
            for (index, (id, task, _)) in members.into_iter().enumerate() {
                // Only the first member reports the failure, so that it counts once; the others end with it.
                let end_kind = if end_kind == "failed" && index > 0 { "broken" } else { end_kind };
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.end_run(now, (task, run_id), end_kind);
                }
            }
        }
    }
}
