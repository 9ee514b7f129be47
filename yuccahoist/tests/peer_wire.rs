//! Wire encoding of peer messages: round trips are lossless, and invalid bytes are rejected without a panic.

use std::time::Duration;

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccahoist::dispatch::{ForwardId, LoadSummary};
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, Revision};
use yuccahoist::job::{ShardRequest, ShardRequestBody};
use yuccahoist::ownership::OwnershipMessage;
use yuccahoist::peer::{Heartbeat, PeerMessage, decode, encode};
use yuccahoist::request::{Answer, Class, Outcome, Refusal, Request, UnknownReason};
use yuccahoist::stream::StreamName;
use yuccahoist::unit::{Timestamp, WallTime};

const DECODE_TIME: Timestamp = Timestamp::from_millis(5_000);

fn config() -> ProptestConfig {
    ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() }
}

fn forward_id(number: u64) -> ForwardId {
    ForwardId { front: Incarnation(number ^ 0x5555), number }
}

fn request(body: Vec<u8>) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service id is valid"),
        class: Class::Heavy,
        team: "day".parse().expect("team id is valid"),
        idempotent: true,
        deadline: DECODE_TIME + Duration::from_millis(250),
        body: Bytes::from(body),
    }
}

fn outcomes(body: Vec<u8>) -> Vec<Outcome> {
    vec![
        Outcome::Answered(Answer { status: 404, body: Bytes::from(body) }),
        Outcome::NotRun(Refusal::Overloaded { retry: Duration::from_millis(70) }),
        Outcome::Unknown(UnknownReason::OwnerLost),
    ]
}

/// Returns messages of all variants, with each kind of outcome.
fn all_messages(number: u64, body: Vec<u8>) -> Vec<PeerMessage> {
    let forward = forward_id(number);
    let id = request(Vec::new()).id;
    let mut messages = vec![
        PeerMessage::Heartbeat(Heartbeat {
            host: "entry-1".parse().expect("host name is valid"),
            address: "127.0.0.1:7401".parse().expect("address is valid"),
            site: "yard".parse().expect("site id is valid"),
            revision: Revision(number),
            offset: Offset(2),
            digest: 3,
            stopping: true,
        }),
        PeerMessage::Load(vec![LoadSummary {
            shard: "rack-1".parse().expect("shard id is valid"),
            epoch: Epoch(number),
            free: [(Class::Urgent, 3)].into(),
            wait_ms: [(Class::Batch, 9)].into(),
            services: vec!["drumline".parse().expect("service id is valid")],
        }]),
        PeerMessage::Forward {
            forward,
            shard: "rack-1".parse().expect("shard id is valid"),
            request: request(body.clone()),
            remaining: Duration::from_millis(250),
        },
        PeerMessage::Accepted { forward },
        PeerMessage::Withdraw { forward },
        PeerMessage::Ownership(OwnershipMessage::PromiseRequest {
            round: number,
            epochs: vec![Epoch(1)],
            length: Duration::from_secs(2),
        }),
        PeerMessage::Shard(ShardRequest {
            partition: yuccahoist::id::PartitionId(3),
            epoch: Epoch(number),
            shard: "rack-1".parse().expect("shard id is valid"),
            body: ShardRequestBody::List,
        }),
        PeerMessage::AnswerQuery { id, digest: number },
        PeerMessage::SnapshotQuery { stream: StreamName::Cell },
        PeerMessage::JobStatusQuery { number, job: "plan-1".parse().expect("job id is valid") },
        PeerMessage::JobStatusReply { number, status: None },
        PeerMessage::SnapshotReply { stream: StreamName::Config, snapshot: body.clone() },
    ];
    for outcome in outcomes(body) {
        messages.push(PeerMessage::Finished { forward, outcome: outcome.clone() });
        messages.push(PeerMessage::AnswerReply { id, outcome });
    }
    messages
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a field that is lost or changed between hosts.
    #[test]
    fn messages_round_trip(number: u64, body in vec(any::<u8>(), 0..2_000)) {
        let messages = all_messages(number, body);
        let bytes = encode(messages.clone()).expect("messages are encoded");
        prop_assert_eq!(decode(&bytes, DECODE_TIME).expect("messages are decoded"), messages);
    }

    /// Guards against bytes from a peer that are not a message and make the decoder panic.
    #[test]
    fn random_bytes_are_refused(bytes in vec(any::<u8>(), 0..4_000)) {
        let _ = decode(&bytes, DECODE_TIME);
    }

    /// Guards against a corrupt or truncated message that makes the decoder panic.
    #[test]
    fn damaged_messages_do_not_panic(
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
        cut in any::<prop::sample::Index>(),
        number: u64,
    ) {
        let mut bytes = encode(all_messages(number, vec![1; 40])).expect("messages are encoded");
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let _ = decode(&bytes, DECODE_TIME);
        bytes.truncate(cut.index(bytes.len()));
        let _ = decode(&bytes, DECODE_TIME);
    }
}

/// Guards against a frame header with a huge length for which the receiver allocates memory.
#[test]
fn announced_sizes_are_checked_before_allocation() {
    // One segment of 2^31 words.
    let bytes = [0, 0, 0, 0, 0, 0, 0, 0x80];
    let error = decode(&bytes, DECODE_TIME).expect_err("header exceeds the limit").to_string();
    assert!(error.contains("too large"), "{error}");
}

/// Guards against a delivery with so many messages that it occupies the host actor for too long.
#[test]
fn too_many_messages_are_refused() {
    let message = PeerMessage::SnapshotQuery { stream: StreamName::Cell };
    let bytes =
        encode(vec![message; yuccahoist::peer::MAX_BATCH_MESSAGES + 1]).expect("messages are encoded");
    let error = decode(&bytes, DECODE_TIME).expect_err("delivery exceeds the limit").to_string();
    assert!(error.contains("at most 256"), "{error}");
}

/// Guards against a deadline that is interpreted on the sender's clock.
#[test]
fn deadlines_are_set_by_the_receivers_clock() {
    let messages = all_messages(1, Vec::new());
    let bytes = encode(messages).expect("messages are encoded");
    let later = DECODE_TIME + Duration::from_secs(100);
    let decoded = decode(&bytes, later).expect("messages are decoded");
    let deadline = decoded.iter().find_map(|message| match message {
        PeerMessage::Forward { request, .. } => Some(request.deadline),
        _ => None,
    });
    assert_eq!(deadline, Some(later + Duration::from_millis(250)));
}
