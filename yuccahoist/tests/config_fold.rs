//! Fold of the configuration: concurrent operators, one verdict per edit, and a revision that never goes back.

mod fake_log;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use fake_log::{Faults, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use yuccahoist::config::{
    ConfigEffect, ConfigFold, ConfigRecord, DocumentName, Edit, EditOutcome, MAX_VERDICT_JITTER,
    VERDICT_DELAY, Verdict, VerdictAction, VerdictEvent, Verdicts,
};
use yuccahoist::id::{Incarnation, Offset, Revision, Sequence};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{Envelope, Fold, StreamAction, StreamEvent, StreamName, StreamSettings, encode};
use yuccahoist::unit::Timestamp;

const LOG_RETENTION: Duration = Duration::from_secs(8);

/// Returns a minimal base document. It is valid unless `weight` is 0.
fn base(weight: u32) -> Value {
    let class = json!({"share": 0.3, "queue": 1, "run_limit_ms": 1, "deadline_limit_ms": 1});
    json!({
        "cell": "c",
        "sites": ["s"],
        "classes": {"urgent": class, "batch": class, "heavy": class},
        "teams": {"t": {"quota": {"cpu_millis": 1, "memory_mib": 1}, "weight": weight}},
        "workers": {"racks": [{
            "rack": "r", "zone": "z", "workers": 1,
            "capacity": {"cpu_millis": 1000, "memory_mib": 1024, "slots": 8, "connections": 64},
            "backend": "127.0.0.1:1", "agent": "127.0.0.1:2"
        }]},
        "limits": {
            "id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1, "body_bytes": 1,
            "intent_rate": 20, "intent_batch": 1
        }
    })
}

fn edit(based_on: u64, weight: u32) -> Edit {
    Edit {
        document: DocumentName::Base,
        based_on: Revision(based_on),
        content: base(weight),
        author: "operator".into(),
        note: String::new(),
        allow_capacity_drop: false,
    }
}

fn apply(fold: &mut ConfigFold, offset: u64, record: ConfigRecord) -> Vec<ConfigEffect> {
    let mut out = Vec::new();
    fold.apply(Offset(offset), Incarnation(1), record, &mut out);
    out
}

fn verdict(edit: u64, accepted: bool) -> ConfigRecord {
    ConfigRecord::Verdict(Verdict { edit: Offset(edit), accepted, reasons: Vec::new() })
}

/// Guards against two concurrent edits of one revision that both take effect.
#[test]
fn only_one_of_two_concurrent_edits_is_accepted() {
    let mut fold = ConfigFold::default();
    apply(&mut fold, 0, ConfigRecord::Edit(Box::new(edit(0, 1))));
    apply(&mut fold, 1, ConfigRecord::Edit(Box::new(edit(0, 2))));
    apply(&mut fold, 2, verdict(1, true));
    apply(&mut fold, 3, verdict(0, true));
    assert_eq!(fold.in_force().revision, Revision(1));
    assert_eq!(fold.documents().base["teams"]["t"]["weight"], 2);
    assert_matches!(fold.outcome(Offset(0)), Some(EditOutcome::Conflict { current: Revision(1) }));
    // A second verdict and an edit of an older revision have no effect.
    apply(&mut fold, 4, verdict(1, false));
    let effects = apply(&mut fold, 5, ConfigRecord::Edit(Box::new(edit(0, 3))));
    assert_matches!(
        effects.as_slice(),
        [ConfigEffect::Decided { outcome: EditOutcome::Conflict { current: Revision(1) }, .. }]
    );
    let effects = apply(&mut fold, 6, ConfigRecord::Edit(Box::new(edit(9, 3))));
    assert_eq!(effects.len(), 1, "an edit of a future revision must be decided as a conflict");
    assert_eq!(fold.in_force().revision, Revision(1));
}

/// Guards against a rejected edit that makes a concurrent valid edit conflict.
#[test]
fn rejected_edit_does_not_create_a_revision() {
    let mut fold = ConfigFold::default();
    apply(&mut fold, 0, ConfigRecord::Edit(Box::new(edit(0, 0))));
    apply(&mut fold, 1, ConfigRecord::Edit(Box::new(edit(0, 5))));
    let rejection = fold.evaluate_edit(Offset(0)).expect("edit is open");
    assert!(!rejection.accepted);
    assert!(rejection.reasons[0].contains("teams.t.weight"), "{:?}", rejection.reasons);
    apply(&mut fold, 2, ConfigRecord::Verdict(rejection));
    let acceptance = fold.evaluate_edit(Offset(1)).expect("edit is open");
    apply(&mut fold, 3, ConfigRecord::Verdict(acceptance));
    assert_eq!(fold.in_force().revision, Revision(1));
    assert_matches!(fold.outcome(Offset(0)), Some(EditOutcome::Rejected { .. }));
}

/// Guards against verdicts that all hosts append at the same time, that no host appends, or that one host appends in a
/// loop.
#[test]
fn verdicts_are_delayed_and_retried() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let opened = || VerdictEvent::Effect(ConfigEffect::Opened { edit: Offset(4) });
    let append = [VerdictAction::AppendVerdict { edit: Offset(4) }];
    let mut at = |duty: &mut Verdicts, millis: u64, event: VerdictEvent| {
        let mut out = Vec::new();
        duty.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
        out
    };
    let mut holder = Verdicts::new();
    at(&mut holder, 0, VerdictEvent::LeaseChanged(true));
    assert_eq!(
        at(&mut holder, 0, opened()),
        [],
        "decided before the reader reached the end, where a verdict may be"
    );
    assert_eq!(at(&mut holder, 0, VerdictEvent::CaughtUp), append);
    assert_eq!(at(&mut holder, 10, VerdictEvent::Tick), []);
    assert_eq!(at(&mut holder, 20, VerdictEvent::Failed { edit: Offset(4) }), []);
    assert_eq!(at(&mut holder, 30, VerdictEvent::Tick), []);
    let longest = u64::try_from((VERDICT_DELAY + MAX_VERDICT_JITTER).as_millis()).expect("delay fits u64");
    assert_eq!(at(&mut holder, 20 + longest, VerdictEvent::Tick), append);

    let mut other = Verdicts::new();
    at(&mut other, 0, opened());
    at(&mut other, 0, VerdictEvent::CaughtUp);
    assert_eq!(at(&mut other, 499, VerdictEvent::Tick), []);
    assert_eq!(at(&mut other, longest, VerdictEvent::Tick), append);

    let mut late = Verdicts::new();
    at(&mut late, 0, opened());
    at(&mut late, 0, VerdictEvent::CaughtUp);
    let outcome = EditOutcome::Conflict { current: Revision(1) };
    at(&mut late, 10, VerdictEvent::Effect(ConfigEffect::Decided { edit: Offset(4), outcome }));
    assert_eq!(at(&mut late, 5_000, VerdictEvent::Tick), []);
}

/// Step of a generated scenario.
#[derive(Debug, Clone)]
enum ScenarioStep {
    /// An operator publishes an edit based on the revision of a host, or on one that is `behind` revisions older.
    Publish {
        host: usize,
        behind: u64,
        weight: u32,
        copies: usize,
    },
    /// The log gets a second copy of a record.
    Duplicate(prop::sample::Index),
    /// The log gets a verdict on an arbitrary offset.
    AppendVerdict {
        offset: u64,
        accepted: bool,
    },
    Run(usize),
    SetDown(bool),
    Expire,
    Restart(usize),
    SetFaults(u32, u32, u32),
}

fn scenarios() -> impl Strategy<Value = Vec<ScenarioStep>> {
    let publish = (0..3_usize, 0..3_u64, 0..50_u32, 1..3_usize).prop_map(|(host, behind, weight, copies)| {
        // Most edits are based on the revision in force.
        ScenarioStep::Publish { host, behind: behind / 2, weight, copies }
    });
    let step = prop_oneof![
        6 => publish,
        2 => any::<prop::sample::Index>().prop_map(ScenarioStep::Duplicate),
        1 => (0..200_u64).prop_map(|offset| ScenarioStep::AppendVerdict { offset, accepted: false }),
        8 => (1..120_usize).prop_map(ScenarioStep::Run),
        1 => any::<bool>().prop_map(ScenarioStep::SetDown),
        1 => Just(ScenarioStep::Expire),
        1 => (0..3_usize).prop_map(ScenarioStep::Restart),
        1 => (0..30_u32, 0..30_u32, 0..30_u32)
            .prop_map(|(lost, late, read)| ScenarioStep::SetFaults(lost, late, read)),
    ];
    prop::collection::vec(step, 10..60)
}

/// Hosts with their verdict duties, and the revisions that were in force.
struct CellSimulation {
    simulation: Simulation<ConfigFold>,
    duties: Vec<Verdicts>,
    /// Documents in force at each revision.
    revisions: BTreeMap<u64, Value>,
    /// Latest revision at each host.
    latest: Vec<u64>,
    /// Incarnation of the last operator; each edit has its own producer.
    operator: u64,
}

impl CellSimulation {
    fn new(seed: u64) -> Self {
        let settings = StreamSettings {
            retention: LOG_RETENTION,
            snapshot_delay: Duration::from_millis(200),
            ..StreamSettings::default()
        };
        let simulation = Simulation::new(StreamName::Config, 3, settings, seed);
        let duties = (0..3).map(|_| Verdicts::new()).collect();
        Self { simulation, duties, revisions: BTreeMap::new(), latest: vec![0; 3], operator: 1_000_000 }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.simulation.run(1);
            for host in 0..self.duties.len() {
                self.run_duty(host);
                self.check_host(host);
            }
        }
    }

    /// Passes the actions of a host's client to its verdict duty, and appends the verdicts that are due.
    fn run_duty(&mut self, host: usize) {
        let mut events = vec![VerdictEvent::Tick];
        for action in self.simulation.nodes[host].actions.drain(..) {
            match action {
                StreamAction::Effect(effect) => events.push(VerdictEvent::Effect(effect)),
                StreamAction::CaughtUp { .. } => events.push(VerdictEvent::CaughtUp),
                StreamAction::Failed { ticket } => events.push(VerdictEvent::Failed { edit: Offset(ticket) }),
                _ => {}
            }
        }
        let mut out = Vec::new();
        for event in events {
            self.duties[host].handle(self.simulation.now, event, &mut self.simulation.rng, &mut out);
        }
        for VerdictAction::AppendVerdict { edit } in out {
            if let Some(verdict) = self.simulation.nodes[host].client.fold().evaluate_edit(edit) {
                let record = ConfigRecord::Verdict(verdict);
                self.simulation.deliver(host, StreamEvent::Append { ticket: edit.0, record });
            }
        }
    }

    /// Checks that a host never goes back to an older revision, and that all hosts have equal documents at a revision.
    fn check_host(&mut self, host: usize) {
        let fold = self.simulation.nodes[host].client.fold();
        let revision = fold.in_force().revision.0;
        assert!(revision >= self.latest[host], "host {host} went back to revision {revision}");
        self.latest[host] = revision;
        let documents = serde_json::to_value(fold.documents()).expect("JSON");
        let known = self.revisions.entry(revision).or_insert_with(|| documents.clone());
        assert_eq!(*known, documents, "hosts have different documents at revision {revision}");
    }

    /// Appends copies of a record of a new operator.
    fn publish(&mut self, record: ConfigRecord, copies: usize) {
        self.operator += 1;
        let envelope = Envelope { producer: Incarnation(self.operator), seq: Sequence(1), body: record };
        let text = encode(&envelope).expect("JSON");
        for _ in 0..copies {
            self.simulation.log.push(text.clone());
        }
    }

    fn run_step(&mut self, step: &ScenarioStep) {
        match step {
            ScenarioStep::Publish { host, behind, weight, copies } => {
                let current = self.simulation.nodes[*host].client.fold().in_force().revision.0;
                let edit = edit(current.saturating_sub(*behind), *weight);
                self.publish(ConfigRecord::Edit(Box::new(edit)), *copies);
            }
            ScenarioStep::Duplicate(index) => {
                let records: Vec<Bytes> = self.simulation.log.appended.clone();
                if !records.is_empty() {
                    self.simulation.log.push(records[index.index(records.len())].clone());
                }
            }
            ScenarioStep::AppendVerdict { offset, accepted } => self.publish(verdict(*offset, *accepted), 1),
            ScenarioStep::Run(count) => self.run(*count),
            ScenarioStep::SetDown(down) => self.simulation.log.down = *down,
            ScenarioStep::Expire => self.simulation.log.expire(LOG_RETENTION, 0),
            ScenarioStep::Restart(host) => {
                self.simulation.restart(*host);
                self.duties[*host] = Verdicts::new();
                self.latest[*host] = 0;
            }
            ScenarioStep::SetFaults(lost, late, read) => {
                self.simulation.log.faults = Faults { lost: *lost, late: *late, refused: 5, read: *read };
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    })]

    /// Guards against a host that goes back to an older revision, hosts with different documents at one revision, and
    /// edits that are never decided.
    #[test]
    fn hosts_agree_on_every_revision(scenario in scenarios(), seed in any::<u64>()) {
        let mut cell = CellSimulation::new(seed);
        cell.publish(ConfigRecord::Edit(Box::new(edit(0, 1))), 1);
        cell.run(300);
        for step in &scenario {
            cell.run_step(step);
        }
        cell.simulation.log.down = false;
        cell.simulation.log.faults = Faults::default();
        cell.run(1_500);
        cell.simulation.add_node();
        cell.duties.push(Verdicts::new());
        cell.latest.push(0);
        cell.run(400);
        cell.simulation.run_until_caught_up();
        let last = cell.simulation.nodes[3].client.fold();
        for node in &cell.simulation.nodes {
            prop_assert_eq!(node.client.fold(), last);
        }
        prop_assert!(last.open().is_empty(), "edits without a verdict: {:?}", last.open().keys());
        let mut accepted_bases = BTreeSet::new();
        let mut decided = BTreeSet::new();
        for status in last.history() {
            prop_assert!(decided.insert(status.edit), "edit {} decided twice", status.edit);
            match &status.outcome {
                EditOutcome::Accepted { revision, .. } => {
                    prop_assert_eq!(revision.0, status.based_on.0 + 1);
                    prop_assert!(
                        accepted_bases.insert(status.based_on),
                        "two edits based on revision {} were accepted",
                        status.based_on
                    );
                }
                EditOutcome::Conflict { current } => prop_assert_ne!(*current, status.based_on),
                EditOutcome::Rejected { .. } => {}
            }
        }
        prop_assert_eq!(accepted_bases.len() as u64, last.in_force().revision.0);
    }
}
