//! Stream client against a log with faults: agreement, order, and no record applied twice.

mod fake_log;

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use fake_log::{Faults, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use serde::{Deserialize, Serialize};
use yuccahoist::id::{Incarnation, Offset, Sequence};
use yuccahoist::stream::{Envelope, Fold, StreamAction, StreamEvent, StreamName, StreamSettings, encode};

/// Record of the test stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Entry {
    Value(u64),
    Snapshot { through: Offset, values: Vec<(u64, u64)> },
}

/// Fold that lists all applied values with their producers.
#[derive(Debug, Clone, Default, PartialEq)]
struct Journal {
    values: Vec<(u64, u64)>,
}

impl Fold for Journal {
    type Record = Entry;
    type Effect = u64;

    fn apply(&mut self, _offset: Offset, producer: Incarnation, record: Entry, out: &mut Vec<u64>) {
        if let Entry::Value(value) = record {
            self.values.push((producer.0, value));
            out.push(value);
        }
    }

    fn snapshot(&self, through: Offset) -> Option<Entry> {
        Some(Entry::Snapshot { through, values: self.values.clone() })
    }

    fn snapshot_through(record: &Entry) -> Option<Offset> {
        match record {
            Entry::Snapshot { through, .. } => Some(*through),
            Entry::Value(_) => None,
        }
    }

    fn restore(&mut self, record: Entry, _out: &mut Vec<u64>) {
        let Entry::Snapshot { values, .. } = record else {
            panic!("restored from a record that is no snapshot")
        };
        assert!(values.starts_with(&self.values), "an older snapshot replaced newer state");
        self.values = values;
    }
}

/// Fold like [`Journal`], for a stream without snapshots.
#[derive(Debug, Clone, Default, PartialEq)]
struct JournalWithoutSnapshots {
    values: Vec<(u64, u64)>,
}

impl Fold for JournalWithoutSnapshots {
    type Record = u64;
    type Effect = u64;

    fn apply(&mut self, _offset: Offset, producer: Incarnation, record: u64, out: &mut Vec<u64>) {
        self.values.push((producer.0, record));
        out.push(record);
    }

    fn snapshot(&self, _through: Offset) -> Option<u64> {
        None
    }

    fn snapshot_through(_record: &u64) -> Option<Offset> {
        None
    }

    fn restore(&mut self, _record: u64, _out: &mut Vec<u64>) {}
}

const LOG_RETENTION: Duration = Duration::from_secs(6);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

fn settings() -> StreamSettings {
    StreamSettings {
        // A short retention and delay make several hosts write snapshots at nearly the same time.
        retention: LOG_RETENTION,
        snapshot_delay: Duration::from_millis(100),
        ..StreamSettings::default()
    }
}

/// Step of a generated scenario.
#[derive(Debug, Clone)]
enum ScenarioStep {
    Append(usize),
    Run(usize),
    SetDown(bool),
    /// Truncates records that are older than the retention.
    Expire(usize),
    /// Truncates records, whether they have been read or not.
    Truncate(usize),
    Restart(usize),
    SetFaults(u32, u32, u32, u32),
    /// Appends a record that cannot be decoded.
    AppendMalformed,
}

/// Generates scenarios. With `truncates_unread`, the log may also truncate records that nobody has read.
fn scenarios(truncates_unread: bool) -> impl Strategy<Value = Vec<ScenarioStep>> {
    let step = prop_oneof![
        8 => (0..3_usize).prop_map(ScenarioStep::Append),
        6 => (1..80_usize).prop_map(ScenarioStep::Run),
        1 => any::<bool>().prop_map(ScenarioStep::SetDown),
        1 => (0..30_usize).prop_map(move |keep| {
            if truncates_unread { ScenarioStep::Truncate(keep) } else { ScenarioStep::Expire(keep) }
        }),
        1 => (0..3_usize).prop_map(ScenarioStep::Restart),
        2 => (0..40_u32, 0..30_u32, 0..20_u32, 0..30_u32)
            .prop_map(|(lost, late, refused, read)| ScenarioStep::SetFaults(lost, late, refused, read)),
        1 => Just(ScenarioStep::AppendMalformed),
    ];
    prop::collection::vec(step, 10..80)
}

/// Runs the steps of a scenario.
fn run_scenario(simulation: &mut Simulation<Journal>, steps: &[ScenarioStep], results: &mut AppendResults) {
    for step in steps {
        match step {
            ScenarioStep::Append(index) => {
                results.last_ticket += 1;
                let number = results.last_ticket;
                simulation
                    .deliver(*index, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
            }
            ScenarioStep::Run(count) => simulation.run(*count),
            ScenarioStep::SetDown(down) => simulation.log.down = *down,
            ScenarioStep::Expire(keep) => simulation.log.expire(LOG_RETENTION, *keep),
            ScenarioStep::Truncate(keep) => simulation.log.truncate(*keep),
            ScenarioStep::Restart(index) => {
                results.collect(simulation);
                simulation.restart(*index);
            }
            ScenarioStep::SetFaults(lost, late, refused, read) => {
                let [lost, late, refused, read] = [*lost, *late, *refused, *read];
                simulation.log.faults = Faults { lost, late, refused, read };
            }
            ScenarioStep::AppendMalformed => {
                simulation.log.push(Bytes::from_static(b"{\"producer\":1,\"seq\":"));
            }
        }
    }
}

/// Results of all appends, including those of clients that were restarted.
#[derive(Debug, Default)]
struct AppendResults {
    last_ticket: u64,
    committed: Vec<u64>,
    failed: Vec<u64>,
}

impl AppendResults {
    /// Takes the results that the clients have reported.
    fn collect(&mut self, simulation: &mut Simulation<Journal>) {
        for node in &mut simulation.nodes {
            for action in node.actions.drain(..) {
                match action {
                    StreamAction::Committed { ticket, .. } => self.committed.push(ticket),
                    StreamAction::Failed { ticket } => self.failed.push(ticket),
                    _ => {}
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against hosts whose state diverges, and against records that are applied twice, lost or reordered, when
    /// responses are lost, appends are delayed and hosts restart.
    #[test]
    fn clients_agree_over_faults(scenario in scenarios(false), seed in any::<u64>()) {
        let mut simulation = Simulation::<Journal>::new(StreamName::Jobs, 3, settings(), seed);
        let mut results = AppendResults::default();
        run_scenario(&mut simulation, &scenario, &mut results);
        simulation.recover();
        let joiner = simulation.add_node();
        simulation.run(300);
        simulation.run_until_caught_up();
        results.collect(&mut simulation);

        let state = simulation.nodes[joiner].client.fold().clone();
        for node in &simulation.nodes {
            prop_assert_eq!(node.client.fold(), &state);
            prop_assert_eq!(node.client.next(), simulation.nodes[joiner].client.next());
            prop_assert_eq!(node.client.pending(), 0);
        }
        let values: Vec<u64> = state.values.iter().map(|(_, value)| *value).collect();
        let unique: BTreeSet<u64> = values.iter().copied().collect();
        prop_assert_eq!(unique.len(), values.len(), "a value was applied twice: {:?}", values);
        for node in 1..=simulation.nodes.len() as u64 {
            let own: Vec<u64> =
                state.values.iter().filter(|(producer, _)| *producer == node).map(|(_, v)| *v).collect();
            prop_assert!(own.is_sorted(), "records of producer {} out of order: {:?}", node, own);
        }
        let committed: BTreeSet<u64> = results.committed.iter().copied().collect();
        prop_assert_eq!(committed.len(), results.committed.len(), "a ticket was committed twice");
        for ticket in &results.failed {
            prop_assert!(!unique.contains(ticket), "ticket {} failed, but its record took effect", ticket);
        }
        for ticket in &committed {
            prop_assert!(unique.contains(ticket), "ticket {} was committed, but its record is lost", ticket);
        }
    }

    /// Guards against hosts that continue with different states after the log truncated records that nobody had read.
    #[test]
    fn clients_never_disagree_at_an_offset(scenario in scenarios(true), seed in any::<u64>()) {
        let mut simulation = Simulation::<Journal>::new(StreamName::Jobs, 3, settings(), seed);
        let mut results = AppendResults::default();
        for step in scenario.chunks(1) {
            run_scenario(&mut simulation, step, &mut results);
            for (index, left) in simulation.nodes.iter().enumerate() {
                for right in &simulation.nodes[..index] {
                    let is_same_offset = left.client.next() == right.client.next();
                    prop_assert!(!is_same_offset || left.client.fold() == right.client.fold());
                }
            }
        }
    }

    /// Guards against a record that is applied twice in a stream without snapshots, because it was appended again after
    /// the first append took effect.
    #[test]
    fn streams_without_snapshots_drop_duplicates(
        lost in 0..60_u32,
        late in 0..40_u32,
        appends in 1..40_u64,
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::<JournalWithoutSnapshots>::new(StreamName::Intents, 3, settings(), seed);
        simulation.log.faults = Faults { lost, late, refused: 0, read: 10 };
        for number in 0..appends {
            let index = usize::try_from(number % 3).expect("index fits usize");
            simulation.deliver(index, StreamEvent::Append { ticket: number, record: number });
            simulation.run(3);
        }
        simulation.recover();
        for node in &simulation.nodes {
            let mut values: Vec<u64> = node.client.fold().values.iter().map(|(_, v)| *v).collect();
            values.sort_unstable();
            prop_assert_eq!(values, (0..appends).collect::<Vec<_>>());
        }
    }
}

/// Guards against an append that stays pending forever because its record was truncated before it was read back.
#[test]
fn truncated_unread_append_is_reported() {
    let mut simulation = Simulation::<JournalWithoutSnapshots>::new(StreamName::Intents, 1, settings(), 5);
    simulation.run(10);
    simulation.log.faults = Faults { read: 100, ..Faults::default() };
    simulation.deliver(0, StreamEvent::Append { ticket: 9, record: 9 });
    simulation.run(50);
    simulation.log.truncate(0);
    simulation.recover();
    assert!(simulation.nodes[0].actions.contains(&StreamAction::Unresolved { ticket: 9 }));
    assert_eq!(simulation.nodes[0].client.pending(), 0);
}

/// Guards against records being folded from a response that has a gap, is out of order, or ends before its own records.
#[test]
fn inconsistent_batches_are_not_folded() {
    use yuccahoist::state_machine::StateMachine;
    use yuccahoist::stream::StreamClient;
    use yuccahoist::systems::ReadBatch;
    use yuccahoist::unit::Timestamp;

    struct Case {
        earliest: u64,
        end: u64,
        offsets: &'static [u64],
    }
    let cases = [
        Case { earliest: 0, end: 3, offsets: &[1, 2] },
        Case { earliest: 0, end: 3, offsets: &[0, 2] },
        Case { earliest: 0, end: 1, offsets: &[0, 1] },
        Case { earliest: 0, end: 3, offsets: &[1, 0] },
    ];
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
    for case in cases {
        let mut client = StreamClient::new(StreamName::Jobs, Incarnation(1), Journal::default(), settings());
        let mut out = Vec::new();
        client.handle(Timestamp::ZERO, StreamEvent::Tick, &mut rng, &mut out);
        let body = encode(&Envelope { producer: Incarnation(2), seq: Sequence(1), body: Entry::Value(1) });
        let body = body.expect("envelope has a JSON form");
        let records = case.offsets.iter().map(|offset| (Offset(*offset), body.clone())).collect();
        let batch = ReadBatch { earliest: Offset(case.earliest), end: Offset(case.end), records };
        let event = StreamEvent::Read { sent_at: Timestamp::ZERO, result: Ok(batch) };
        client.handle(Timestamp::ZERO, event, &mut rng, &mut out);
        assert_eq!(client.next(), Offset(0), "{:?}", case.offsets);
        assert!(!client.is_available());
    }
}

/// Guards against snapshots that are never written, or that all hosts write at the same time.
#[test]
fn snapshots_are_written_by_few_hosts() {
    // As with the default settings, the random delay is much longer than a call takes.
    let settings = StreamSettings { snapshot_delay: Duration::from_secs(1), ..settings() };
    let mut simulation = Simulation::<Journal>::new(StreamName::Jobs, 9, settings, 3);
    simulation.deliver(0, StreamEvent::Append { ticket: 1, record: Entry::Value(1) });
    simulation.run(6_000);
    let is_snapshot = |record: &&Bytes| String::from_utf8_lossy(record).contains("Snapshot");
    let snapshots = simulation.log.appended.iter().filter(is_snapshot).count();
    // 60 s contain 40 snapshot intervals, a quarter of the retention each.
    assert!((30..=160).contains(&snapshots), "{snapshots} snapshots");
}

/// Guards against the loss of state when every host restarts more often than the snapshot interval.
#[test]
fn snapshots_are_written_by_short_lived_hosts() {
    let mut simulation = Simulation::<Journal>::new(StreamName::Jobs, 3, settings(), 9);
    for number in 1..=5 {
        simulation.deliver(0, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
    }
    simulation.run(100);
    for round in 0..90 {
        // Each host runs for 1.2 s; the snapshot interval is 1.5 s.
        simulation.restart(round % 3);
        simulation.run(40);
    }
    // Truncating all at once keeps the hosts from seeing truncation approach the last snapshot. After the restarts,
    // none has the state.
    simulation.log.expire(LOG_RETENTION, 0);
    (0..3).for_each(|host| simulation.restart(host));
    let joiner = simulation.add_node();
    simulation.run(200);
    assert!(simulation.log.earliest > 5, "the log still holds the original values");
    assert_eq!(simulation.nodes[joiner].client.fold().values.len(), 5);
}

/// Guards against a host that starts during a log outage and gets no state from a peer, or that replaces its state with
/// an older snapshot.
#[test]
fn only_newer_peer_snapshots_are_restored() {
    let mut simulation = Simulation::<Journal>::new(StreamName::Jobs, 1, settings(), 7);
    for number in 1..=3 {
        simulation.deliver(0, StreamEvent::Append { ticket: number, record: Entry::Value(number) });
    }
    simulation.run(100);
    let old = simulation.nodes[0].client.snapshot().expect("snapshot of a client with records");
    simulation.deliver(0, StreamEvent::Append { ticket: 4, record: Entry::Value(4) });
    simulation.run(100);
    simulation.log.down = true;
    let joiner = simulation.add_node();
    simulation.run(100);
    assert_eq!(simulation.nodes[joiner].client.fold().values.len(), 4);
    simulation.deliver(joiner, StreamEvent::PeerSnapshot { record: old });
    assert_eq!(simulation.nodes[joiner].client.fold().values.len(), 4);
    simulation.recover();
    assert_eq!(simulation.nodes[joiner].client.next(), simulation.nodes[0].client.next());
}

/// Guards against an append with unknown outcome that is retried before a read shows that it is not in the log, or that
/// is not retried afterwards.
#[test]
fn unknown_append_is_resolved_by_reading() {
    use yuccahoist::state_machine::StateMachine;
    use yuccahoist::stream::StreamClient;
    use yuccahoist::systems::{CallError, ReadBatch};
    use yuccahoist::unit::Timestamp;

    for is_appended in [true, false] {
        let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
        let mut client = StreamClient::new(
            StreamName::Intents,
            Incarnation(1),
            JournalWithoutSnapshots::default(),
            settings(),
        );
        let mut at = |millis: u64, event: StreamEvent<u64>| {
            let mut out = Vec::new();
            client.handle(Timestamp::from_millis(millis), event, &mut rng, &mut out);
            out
        };
        let batch = |end: u64, records: Vec<(Offset, Bytes)>| {
            Ok(ReadBatch { earliest: Offset(0), end: Offset(end), records })
        };
        let sent = |out: &[StreamAction<u64>]| {
            out.iter().find_map(|action| match action {
                StreamAction::SendAppend { record, .. } => Some(record.clone()),
                _ => None,
            })
        };
        let record = sent(&at(0, StreamEvent::Append { ticket: 7, record: 7 })).expect("append was sent");
        let lost = CallError::Unknown { step: "append", peer: "log".into(), reason: "test".into() };
        at(100, StreamEvent::Appended { seq: Sequence(1), result: Err(lost) });
        // This read was sent before the append failed, so it does not show whether the record is in the log.
        let out = at(500, StreamEvent::Read { sent_at: Timestamp::ZERO, result: batch(0, Vec::new()) });
        assert_eq!(sent(&out), None);
        let zero_wait = StreamAction::SendRead { from: Offset(0), wait: Duration::ZERO };
        assert!(
            out.contains(&zero_wait),
            "the read that resolves the append must not be a long poll: {out:?}"
        );
        assert_eq!(sent(&at(600, StreamEvent::Tick)), None);
        let sent_at = Timestamp::from_millis(500);
        let records = if is_appended { vec![(Offset(0), record.clone())] } else { Vec::new() };
        let result = batch(records.len() as u64, records);
        let out = at(700, StreamEvent::Read { sent_at, result });
        let committed = StreamAction::Committed { ticket: 7, offset: Offset(0) };
        assert_eq!(out.contains(&committed), is_appended);
        assert_eq!(
            sent(&out),
            (!is_appended).then_some(record),
            "the same record is appended again only if it is not in the log"
        );
    }
}
