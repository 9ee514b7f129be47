//! Encoding of the store's records, and decoding of invalid ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use assert_matches::assert_matches;
use yuccahoist::shard::lease::EarlierOrders;
use yuccahoist::shard::loss::Loss;
use yuccahoist::shard::record::{
    DisplacedRun, Entry, JobState, Ownership, PinnedTask, Progress, Record, RecordError, TaskLoss,
    TaskProgress, TaskRange,
};
use yuccahoist::shard::spec::JobSpec;
use yuccahoist::shard::workspace::{Workspace, WorkspaceTerms};
use yuccahoist::shard::{Epoch, JobKey, StepKey, WorkerIncarnation};
use yuccahoist::unit::Resources;

#[test]
fn records_round_trip() {
    let task = TaskProgress {
        run: 3,
        failures: BTreeSet::from([1, 2]),
        done: false,
        placement: Some(0),
        checkpoint: "00000bb8".into(),
    };
    let loss = TaskLoss {
        occurrence: 0,
        step: 0,
        index: 0,
        run: 2,
        loss: Loss {
            incarnation: WorkerIncarnation::new("i-0", 4),
            address: "10.0.0.9:8000".into(),
            age: Duration::from_millis(40),
            at_start: true,
            is_started: true,
            is_sole: true,
            is_crash: false,
        },
    };
    let progress = Progress {
        state: JobState::Running,
        submitted: 1_790_000_000_000,
        incarnations: vec![WorkerIncarnation::new("i-1", 7)],
        occurrences: vec![vec![vec![task]]],
        losses: vec![loss],
        workspace: None,
        displaced: Vec::new(),
        is_excess: false,
        earlier_orders: BTreeMap::new(),
        settled: Vec::new(),
        pinned: Vec::new(),
    };
    let task = StepKey { job: JobKey(5), occurrence: 1, step: 2 }.task(3);
    let displaced = DisplacedRun::new(task, 4, &WorkerIncarnation::new("i-2", 9));
    let with_displaced = Progress { losses: Vec::new(), displaced: vec![displaced], ..progress.clone() };
    let owner = Ownership { epoch: Epoch(4), address: "10.0.0.1:7700".into(), host: "entry-1".into() };
    let workspace = Workspace {
        name: "blue".parse().expect("valid name"),
        terms: WorkspaceTerms { weight: 2.5, cap: Resources::new(4_000, 0, 1) },
    };
    let ended = Progress { workspace: Some(workspace.clone()), ..Progress::default() };
    let ended_with_losses = Progress { workspace: Some(workspace.clone()), ..progress.clone() };
    let in_workspace = JobSpec { workspace: Some(workspace), ..super::cluster::spec(2, 1_000) };
    let extended = BTreeMap::from([(0, EarlierOrders::Pending)]);
    let range = TaskRange { occurrence: 0, step: 1, first: 3, count: 200 };
    let settled = Progress { settled: vec![range], ..progress.clone() };
    let pinned = Progress { pinned: vec![PinnedTask::new(task, 4, "i-2")], ..progress.clone() };
    let records = [
        Record::Owner(owner),
        Record::Job(JobKey(5), super::cluster::spec(2, 1_000).into()),
        Record::Job(JobKey(6), in_workspace.into()),
        Record::Progress(JobKey(8), Progress { is_excess: true, ..progress.clone() }),
        Record::Progress(JobKey(9), Progress { earlier_orders: extended, ..progress.clone() }),
        Record::Progress(JobKey(10), settled),
        Record::Progress(JobKey(11), pinned),
        Record::Progress(JobKey(5), progress),
        Record::Progress(JobKey(6), ended),
        Record::Progress(JobKey(7), ended_with_losses),
        Record::Progress(JobKey(5), with_displaced),
        Record::DeleteSpec(JobKey(5)),
    ];
    for record in records {
        let entry = Entry::from(&record);
        assert_eq!(Record::try_from(&entry).expect("decodes its own encoding"), record);
    }
}

/// Guards against jobs that are lost because their record was written before jobs had workspaces.
#[test]
fn job_record_without_a_workspace_decodes() {
    let spec = super::cluster::spec(2, 1_000);
    let mut entry = Entry::from(&Record::Job(JobKey(5), spec.clone().into()));
    let value = entry.value.as_mut().expect("has a value");
    assert_eq!(value.pop(), Some(0), "an absent workspace takes up the last byte");
    assert_eq!(Record::try_from(&entry).expect("decodes"), Record::Job(JobKey(5), spec.into()));
}

/// Guards against progress that is lost because its record was written before the last fields were added.
#[test]
fn progress_record_without_the_last_fields_decodes() {
    let displaced = DisplacedRun::new(
        StepKey { job: JobKey(5), occurrence: 0, step: 0 }.task(0),
        1,
        &WorkerIncarnation::new("i-1", 7),
    );
    let progress = Progress { displaced: vec![displaced], ..Progress::default() };
    let mut entry = Entry::from(&Record::Progress(JobKey(5), progress.clone()));
    for field in ["pinned", "settled", "earlier_orders", "is_excess"] {
        assert_eq!(entry.value.as_mut().and_then(Vec::pop), Some(0), "{field} takes up the last byte");
        let record = Record::Progress(JobKey(5), progress.clone());
        assert_eq!(Record::try_from(&entry).expect("decodes"), record, "without {field}");
    }
}

#[test]
fn invalid_records_are_rejected() {
    struct Case {
        name: &'static str,
        key: &'static str,
        value: Option<Vec<u8>>,
    }
    let cases = [
        Case { name: "unknown key", key: "x", value: Some(vec![1]) },
        Case { name: "empty key", key: "", value: Some(vec![1]) },
        Case { name: "multi-byte first character", key: "ü", value: Some(vec![1]) },
        Case { name: "unknown version", key: "p0000000000000005", value: Some(vec![9, 1, 2]) },
        Case { name: "empty value", key: "p0000000000000005", value: Some(Vec::new()) },
        Case { name: "truncated value", key: "j0000000000000005", value: Some(vec![1, 4]) },
        Case { name: "deleted owner", key: "owner", value: None },
    ];
    for case in cases {
        let entry = Entry { key: case.key.into(), value: case.value };
        assert_matches!(
            Record::try_from(&entry),
            Err(RecordError::Key(_) | RecordError::Version { .. } | RecordError::Value { .. }),
            "{}",
            case.name
        );
    }
}
