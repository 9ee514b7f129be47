//! Fold of the configuration: racing operators, one verdict per edit, no reverting.

mod fake_log;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use fake_log::{Faults, World};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use yuccahoist::config::{
    ConfigEffect, ConfigFold, ConfigRecord, DocumentName, Edit, EditOutcome, MAX_VERDICT_JITTER,
    VERDICT_DELAY, Verdict, VerdictAction, VerdictEvent, Verdicts,
};
use yuccahoist::duty::Duty;
use yuccahoist::id::{Incarnation, Offset, Revision, Sequence};
use yuccahoist::stream::{Envelope, Fold, StreamAction, StreamEvent, StreamName, StreamSettings, encode};
use yuccahoist::unit::Timestamp;

const RETENTION: Duration = Duration::from_secs(8);

/// Smallest valid base; a weight of 0 is not valid.
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

/// Guards against two edits of one revision that both take effect.
#[test]
fn one_of_two_edits_wins_and_the_other_conflicts() {
    let mut fold = ConfigFold::default();
    apply(&mut fold, 0, ConfigRecord::Edit(Box::new(edit(0, 1))));
    apply(&mut fold, 1, ConfigRecord::Edit(Box::new(edit(0, 2))));
    apply(&mut fold, 2, verdict(1, true));
    apply(&mut fold, 3, verdict(0, true));
    assert_eq!(fold.in_force().revision, Revision(1));
    assert_eq!(fold.documents().base["teams"]["t"]["weight"], 2);
    assert_matches!(fold.outcome(Offset(0)), Some(EditOutcome::Conflict { current: Revision(1) }));
    // A late verdict and a stale edit change nothing.
    apply(&mut fold, 4, verdict(1, false));
    let effects = apply(&mut fold, 5, ConfigRecord::Edit(Box::new(edit(0, 3))));
    assert_matches!(
        effects.as_slice(),
        [ConfigEffect::Decided { outcome: EditOutcome::Conflict { current: Revision(1) }, .. }]
    );
    let effects = apply(&mut fold, 6, ConfigRecord::Edit(Box::new(edit(9, 3))));
    assert_eq!(effects.len(), 1, "an edit of a revision that does not exist yet is a conflict");
    assert_eq!(fold.in_force().revision, Revision(1));
}

/// Guards against a rejected edit that uses up the revision.
#[test]
fn rejected_edit_leaves_the_revision_to_others() {
    let mut fold = ConfigFold::default();
    apply(&mut fold, 0, ConfigRecord::Edit(Box::new(edit(0, 0))));
    apply(&mut fold, 1, ConfigRecord::Edit(Box::new(edit(0, 5))));
    let bad = fold.judge(Offset(0)).expect("open");
    assert!(!bad.accepted);
    assert!(bad.reasons[0].contains("teams.t.weight"), "{:?}", bad.reasons);
    apply(&mut fold, 2, ConfigRecord::Verdict(bad));
    let good = fold.judge(Offset(1)).expect("open");
    apply(&mut fold, 3, ConfigRecord::Verdict(good));
    assert_eq!(fold.in_force().revision, Revision(1));
    assert_matches!(fold.outcome(Offset(0)), Some(EditOutcome::Rejected { .. }));
}

/// Guards against verdicts of all hosts at once, of no host, or in a loop.
#[test]
fn verdicts_are_timed() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let opened = || VerdictEvent::Effect(ConfigEffect::Opened { edit: Offset(4) });
    let decide = [VerdictAction::Decide { edit: Offset(4) }];
    let mut at = |duty: &mut Verdicts, millis: u64, event: VerdictEvent| {
        let mut out = Vec::new();
        duty.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
        out
    };
    let mut holder = Verdicts::new();
    at(&mut holder, 0, VerdictEvent::Holder(true));
    assert_eq!(at(&mut holder, 0, opened()), [], "a verdict may follow in the log");
    assert_eq!(at(&mut holder, 0, VerdictEvent::CaughtUp), decide);
    assert_eq!(at(&mut holder, 10, VerdictEvent::Tick), []);
    assert_eq!(at(&mut holder, 20, VerdictEvent::Failed { edit: Offset(4) }), []);
    assert_eq!(at(&mut holder, 30, VerdictEvent::Tick), []);
    let longest = u64::try_from((VERDICT_DELAY + MAX_VERDICT_JITTER).as_millis()).expect("small");
    assert_eq!(at(&mut holder, 20 + longest, VerdictEvent::Tick), decide);

    let mut other = Verdicts::new();
    at(&mut other, 0, opened());
    at(&mut other, 0, VerdictEvent::CaughtUp);
    assert_eq!(at(&mut other, 499, VerdictEvent::Tick), []);
    assert_eq!(at(&mut other, longest, VerdictEvent::Tick), decide);

    let mut late = Verdicts::new();
    at(&mut late, 0, opened());
    at(&mut late, 0, VerdictEvent::CaughtUp);
    let outcome = EditOutcome::Conflict { current: Revision(1) };
    at(&mut late, 10, VerdictEvent::Effect(ConfigEffect::Decided { edit: Offset(4), outcome }));
    assert_eq!(at(&mut late, 5_000, VerdictEvent::Tick), []);
}

/// What happens between two stretches of time.
#[derive(Debug, Clone)]
enum Move {
    /// Operator publishes on the revision of a host, less a number.
    Publish {
        host: usize,
        behind: u64,
        weight: u32,
        copies: usize,
    },
    /// A record that is already in the log appears again.
    Repeat(prop::sample::Index),
    /// Operator's or foreign verdict on a random offset.
    Stray {
        offset: u64,
        accepted: bool,
    },
    Run(usize),
    Down(bool),
    Expire,
    Restart(usize),
    Faults(u32, u32, u32),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let publish = (0..3_usize, 0..3_u64, 0..50_u32, 1..3_usize).prop_map(|(host, behind, weight, copies)| {
        // Most operators publish on what is in force.
        Move::Publish { host, behind: behind / 2, weight, copies }
    });
    let one = prop_oneof![
        6 => publish,
        2 => any::<prop::sample::Index>().prop_map(Move::Repeat),
        1 => (0..200_u64).prop_map(|offset| Move::Stray { offset, accepted: false }),
        8 => (1..120_usize).prop_map(Move::Run),
        1 => any::<bool>().prop_map(Move::Down),
        1 => Just(Move::Expire),
        1 => (0..3_usize).prop_map(Move::Restart),
        1 => (0..30_u32, 0..30_u32, 0..30_u32).prop_map(|(lost, late, read)| Move::Faults(lost, late, read)),
    ];
    prop::collection::vec(one, 10..60)
}

/// Hosts with their verdict duties, and what was ever seen in force.
struct Cell {
    world: World<ConfigFold>,
    duties: Vec<Verdicts>,
    seen: BTreeMap<u64, Value>,
    newest: Vec<u64>,
    operator: u64,
}

impl Cell {
    fn new(seed: u64) -> Self {
        let settings = StreamSettings {
            retention: RETENTION,
            snapshot_delay: Duration::from_millis(200),
            ..StreamSettings::default()
        };
        let world = World::new(StreamName::Config, 3, settings, seed);
        let duties = (0..3).map(|_| Verdicts::new()).collect();
        Self { world, duties, seen: BTreeMap::new(), newest: vec![0; 3], operator: 1_000_000 }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.world.run(1);
            for host in 0..self.duties.len() {
                self.decide(host);
                self.check(host);
            }
        }
    }

    fn decide(&mut self, host: usize) {
        let mut events = vec![VerdictEvent::Tick];
        for action in self.world.nodes[host].actions.drain(..) {
            match action {
                StreamAction::Effect(effect) => events.push(VerdictEvent::Effect(effect)),
                StreamAction::CaughtUp { .. } => events.push(VerdictEvent::CaughtUp),
                StreamAction::Failed { ticket } => events.push(VerdictEvent::Failed { edit: Offset(ticket) }),
                _ => {}
            }
        }
        let mut out = Vec::new();
        for event in events {
            self.duties[host].handle(self.world.now, event, &mut self.world.rng, &mut out);
        }
        for VerdictAction::Decide { edit } in out {
            if let Some(verdict) = self.world.nodes[host].client.fold().judge(edit) {
                let record = ConfigRecord::Verdict(verdict);
                self.world.event(host, StreamEvent::Append { ticket: edit.0, record });
            }
        }
    }

    /// A host never goes back, and all hosts have the same documents at a revision.
    fn check(&mut self, host: usize) {
        let fold = self.world.nodes[host].client.fold();
        let revision = fold.in_force().revision.0;
        assert!(revision >= self.newest[host], "host {host} reverted to {revision}");
        self.newest[host] = revision;
        let documents = serde_json::to_value(fold.documents()).expect("JSON");
        let known = self.seen.entry(revision).or_insert_with(|| documents.clone());
        assert_eq!(*known, documents, "two configurations at revision {revision}");
    }

    fn publish(&mut self, record: ConfigRecord, copies: usize) {
        self.operator += 1;
        let envelope = Envelope { producer: Incarnation(self.operator), seq: Sequence(1), body: record };
        let text = encode(&envelope).expect("JSON");
        for _ in 0..copies {
            self.world.log.push(text.clone());
        }
    }

    fn play(&mut self, step: &Move) {
        match step {
            Move::Publish { host, behind, weight, copies } => {
                let current = self.world.nodes[*host].client.fold().in_force().revision.0;
                let edit = edit(current.saturating_sub(*behind), *weight);
                self.publish(ConfigRecord::Edit(Box::new(edit)), *copies);
            }
            Move::Repeat(index) => {
                let all: Vec<Bytes> = self.world.log.all.clone();
                if !all.is_empty() {
                    self.world.log.push(all[index.index(all.len())].clone());
                }
            }
            Move::Stray { offset, accepted } => self.publish(verdict(*offset, *accepted), 1),
            Move::Run(steps) => self.run(*steps),
            Move::Down(down) => self.world.log.down = *down,
            Move::Expire => self.world.log.expire(RETENTION, 0),
            Move::Restart(host) => {
                self.world.restart(*host);
                self.duties[*host] = Verdicts::new();
                self.newest[*host] = 0;
            }
            Move::Faults(lost, late, read) => {
                self.world.log.faults = Faults { lost: *lost, late: *late, refused: 5, read: *read };
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

    /// Guards against a configuration that reverts, forks, or leaves an edit undecided.
    #[test]
    fn hosts_agree_on_every_revision(moves in moves(), seed in any::<u64>()) {
        let mut cell = Cell::new(seed);
        cell.publish(ConfigRecord::Edit(Box::new(edit(0, 1))), 1);
        cell.run(300);
        for step in &moves {
            cell.play(step);
        }
        cell.world.log.down = false;
        cell.world.log.faults = Faults::default();
        cell.run(1_500);
        cell.world.add();
        cell.duties.push(Verdicts::new());
        cell.newest.push(0);
        cell.run(400);
        cell.world.meet();
        let last = cell.world.nodes[3].client.fold();
        for node in &cell.world.nodes {
            prop_assert_eq!(node.client.fold(), last);
        }
        prop_assert!(last.open().is_empty(), "edits without verdict: {:?}", last.open().keys());
        let mut winners = BTreeSet::new();
        let mut decided = BTreeSet::new();
        for status in last.history() {
            prop_assert!(decided.insert(status.edit), "edit {} decided twice", status.edit);
            match &status.outcome {
                EditOutcome::Accepted { revision, .. } => {
                    prop_assert_eq!(revision.0, status.based_on.0 + 1);
                    prop_assert!(winners.insert(status.based_on), "two winners on {}", status.based_on);
                }
                EditOutcome::Conflict { current } => prop_assert_ne!(*current, status.based_on),
                EditOutcome::Rejected { .. } => {}
            }
        }
        prop_assert_eq!(winners.len() as u64, last.in_force().revision.0);
    }
}
