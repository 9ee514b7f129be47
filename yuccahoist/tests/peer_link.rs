//! Peer connections over loopback: order, time limits, reconnects, connection loss and malformed frames.

mod common;

use std::io::{Read, Write};
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use yuccahoist::daemon::{Daemon, RunningHost};
use yuccahoist::dispatch::ForwardId;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::id::{Incarnation, RequestId};
use yuccahoist::peer::{MAX_MESSAGE_BYTES, PeerMessage, encode};
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::settings::Settings;
use yuccahoist::unit::{Timestamp, WallTime};

use self::common::{ScriptedHost, platform, settings};

fn start(settings: Settings) -> (ScriptedHost, RunningHost) {
    let (scripted, machine) = ScriptedHost::new();
    let running = Daemon::start(settings, machine, platform()).expect("host starts");
    (scripted, running)
}

fn accepted(number: u64) -> PeerMessage {
    PeerMessage::Accepted { forward: ForwardId { front: Incarnation(1), number } }
}

fn send(to: &RunningHost, message: PeerMessage, until: Option<Timestamp>) -> HostAction {
    HostAction::Send { to: to.incarnation(), address: to.peer(), message, until }
}

/// Guards against lost, duplicate or reordered messages, and against batches that mix up the bodies of messages.
#[tokio::test]
async fn messages_arrive_once_and_in_order() {
    const MESSAGE_COUNT: u64 = 3_000;
    let (sender, a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    for number in 0..MESSAGE_COUNT {
        // Every tenth message has a body, so that batches reach the limit of bytes as well as that of messages.
        let forward = ForwardId { front: Incarnation(1), number };
        let body = Bytes::from(vec![number as u8; 20_000]);
        let outcome = Outcome::Answered(Answer { status: 200, body });
        let message = match number % 10 {
            0 => PeerMessage::Finished { forward, outcome },
            _ => accepted(number),
        };
        sender.queue_action(send(&b, message, None));
    }
    for number in 0..MESSAGE_COUNT {
        let HostEvent::Peer { from, message } = receiver.next_event().await else {
            panic!("event is not a peer message")
        };
        assert_eq!(from, a.incarnation());
        match message {
            PeerMessage::Accepted { forward } => assert_eq!(forward.number, number),
            PeerMessage::Finished { forward, outcome: Outcome::Answered(answer) } => {
                assert_eq!(forward.number, number);
                assert_eq!(answer.body, vec![number as u8; 20_000]);
            }
            other => panic!("unexpected message {other:?}"),
        }
    }
}

/// Guards against a message that is sent after its time limit.
#[tokio::test]
async fn late_messages_are_reported_as_not_sent() {
    let (mut sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    sender.queue_action(send(&b, accepted(1), Some(Timestamp::ZERO)));
    sender.queue_action(send(&b, accepted(2), Some(Timestamp::MAX)));
    let HostEvent::PeerNotSent { to, message } = sender.next_event().await else {
        panic!("late message was sent")
    };
    assert_eq!((to, message), (b.incarnation(), accepted(1)));
    assert_matches!(receiver.next_event().await, HostEvent::Peer { message, .. } if message == accepted(2));
}

/// Guards against a deadline that is not converted to the remaining time, because the clocks of two hosts differ.
#[tokio::test]
async fn forwards_carry_the_remaining_time() {
    let (sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let request = Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service id is valid"),
        class: Class::Urgent,
        team: "day".parse().expect("team id is valid"),
        idempotent: true,
        deadline: Timestamp::from_millis(3_600_000),
        body: Bytes::from_static(b"body"),
    };
    let message = PeerMessage::Forward {
        forward: ForwardId { front: Incarnation(1), number: 1 },
        shard: "rack-1".parse().expect("shard id is valid"),
        request: request.clone(),
        remaining: Duration::ZERO,
    };
    sender.queue_action(send(&b, message, None));
    let HostEvent::Peer { message: PeerMessage::Forward { request: received, remaining, .. }, .. } =
        receiver.next_event().await
    else {
        panic!("event is not a forward")
    };
    assert!(remaining > Duration::from_secs(3_000) && remaining < Duration::from_secs(3_600));
    assert_eq!(received, Request { deadline: received.deadline, ..request });
}

/// Guards against a connection loss that is not reported, and against a sender that does not reconnect.
#[tokio::test]
async fn loss_is_reported_at_both_ends_and_the_sender_reconnects() {
    let (mut sender, a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    sender.queue_action(send(&b, accepted(1), None));
    assert_matches!(receiver.next_event().await, HostEvent::Peer { .. });
    let mut restart_settings = settings("b");
    restart_settings.listen.peer = b.peer();
    restart_settings.host.incarnation = b.incarnation();
    b.kill();
    assert_matches!(sender.next_event().await, HostEvent::PeerLost { .. });

    let (mut receiver, b) = start(restart_settings);
    // The first messages may fall into the backoff after a refused connection.
    for number in 2.. {
        sender.queue_action(send(&b, accepted(number), None));
        tokio::select! {
            event = sender.next_event() => assert_matches!(event, HostEvent::PeerNotSent { .. }),
            event = receiver.next_event() => {
                assert_matches!(event, HostEvent::Peer { message, .. } if message == accepted(number));
                break;
            }
        }
    }
    let lost = a.incarnation();
    a.kill();
    assert_matches!(receiver.next_event().await, HostEvent::PeerLost { peer } if peer == lost);
}

/// Guards against a message for an earlier incarnation that the next process at the same address accepts.
#[tokio::test]
async fn messages_for_another_incarnation_are_not_delivered() {
    let (mut sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let to = Incarnation(b.incarnation().0 ^ 1);
    sender.queue_action(HostAction::Send { to, address: b.peer(), message: accepted(1), until: None });
    assert_matches!(sender.next_event().await, HostEvent::PeerNotSent { message, .. } if message == accepted(1));
    sender.queue_action(send(&b, accepted(2), None));
    assert_matches!(receiver.next_event().await, HostEvent::Peer { message, .. } if message == accepted(2));
}

/// Guards against a host that fails or stops listening when its peer address receives bytes that are not a frame.
#[tokio::test]
async fn hostile_connections_change_nothing() {
    let (sender, _a) = start(settings("a"));
    let (mut receiver, b) = start(settings("b"));
    let address = b.peer();
    let garbage = [&[0xff; 64][..], &[0, 0, 0, 0, 0, 0, 0, 0x80], b"GET / HTTP/1.1\r\n\r\n", &[]];
    for bytes in garbage {
        let mut stream = std::net::TcpStream::connect(address).expect("host accepts the connection");
        stream.write_all(bytes).expect("bytes are written");
        stream.shutdown(std::net::Shutdown::Write).expect("write side is closed");
        let read = tokio::task::spawn_blocking(move || {
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            std::io::copy(&mut stream.take(1 << 20), &mut std::io::sink())
        });
        // The host closes the connection, with a reset if it has unread bytes.
        let _ = read.await.expect("reader task succeeds");
    }
    sender.queue_action(send(&b, accepted(1), None));
    assert_matches!(receiver.next_event().await, HostEvent::Peer { .. });
}

/// Returns the first frame of a connection: a delivery with two data words, sender and receiver, and one null pointer.
fn hello(from: u64, to: Incarnation) -> Vec<u8> {
    let words = [4 << 32, 2 << 32 | 1 << 48, from, to.0, 0];
    words.iter().flat_map(|word: &u64| word.to_le_bytes()).collect()
}

fn read_acknowledgement(stream: &mut std::net::TcpStream) -> u64 {
    let mut bytes = [0; 8];
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("read timeout is set");
    stream.read_exact(&mut bytes).expect("acknowledgement arrives");
    u64::from_le_bytes(bytes)
}

/// Way in which a test closes its side of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Close {
    /// Does not close, so that the host must.
    Never,
    /// Closes the write side after the last byte.
    End,
    /// Resets the connection, by closing it with an unread acknowledgement.
    Reset,
}

/// Guards against memory or time spent on a frame that exceeds the limits, against the delivery of a partial frame, and
/// against a connection loss within a frame that is not reported.
#[tokio::test]
async fn malformed_frames_close_the_connection() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        close: Close,
    }
    let header = |segments: u32, words: usize| {
        let words = u32::try_from(words).expect("number of words fits");
        [(segments - 1).to_le_bytes(), words.to_le_bytes()].concat()
    };
    let frame = encode(vec![accepted(2)]).expect("messages are encoded");
    let prefix = |length: usize| frame[..length].to_vec();
    let half = frame.len() / 2;
    let cases = [
        Case { name: "too large", bytes: header(1, MAX_MESSAGE_BYTES / 8), close: Close::Never },
        Case { name: "largest length", bytes: header(1, u32::MAX as usize), close: Close::Never },
        Case { name: "segments", bytes: header(513, 1), close: Close::Never },
        Case { name: "most segments", bytes: vec![0xff; 8], close: Close::Never },
        Case { name: "not a delivery", bytes: [header(1, 1), vec![0xff; 8]].concat(), close: Close::Never },
        Case { name: "end in the header", bytes: prefix(3), close: Close::End },
        Case { name: "end after the header", bytes: prefix(8), close: Close::End },
        Case { name: "end in a segment", bytes: prefix(half), close: Close::End },
        Case { name: "end before the last byte", bytes: prefix(frame.len() - 1), close: Close::End },
        Case { name: "reset in the header", bytes: prefix(3), close: Close::Reset },
        Case { name: "reset in a segment", bytes: prefix(half), close: Close::Reset },
        Case { name: "reset without a frame", bytes: Vec::new(), close: Close::Reset },
    ];
    let (mut receiver, b) = start(settings("b"));
    for (number, Case { name, bytes, close }) in (1..).zip(cases) {
        let mut stream = std::net::TcpStream::connect(b.peer()).expect("host accepts the connection");
        stream.write_all(&hello(number, b.incarnation())).expect("bytes are written");
        let valid_frame = encode(vec![accepted(1)]).expect("messages are encoded");
        stream.write_all(&valid_frame).expect("bytes are written");
        // The valid frame before the malformed one is delivered.
        let event = receiver.next_event().await;
        assert_matches!(event, HostEvent::Peer { from, message }
            if from == Incarnation(number) && message == accepted(1), "{name}");
        stream.write_all(&bytes).expect("bytes are written");
        match close {
            Close::Never => {}
            Close::End => stream.shutdown(std::net::Shutdown::Write).expect("write side is closed"),
            // The close with the unread acknowledgement of the hello resets the connection.
            Close::Reset => {}
        }
        let open_stream = (close != Close::Reset).then_some(stream);
        let event = receiver.next_event().await;
        assert_matches!(event, HostEvent::PeerLost { peer } if peer == Incarnation(number), "{name}");
        drop(open_stream);
    }
    // The host still accepts connections and valid frames.
    let (sender, _a) = start(settings("a"));
    sender.queue_action(send(&b, accepted(3), None));
    assert_matches!(receiver.next_event().await, HostEvent::Peer { message, .. } if message == accepted(3));
}

/// Guards against a hello that is not acknowledged, and against acknowledgements that count messages instead of frames.
#[tokio::test]
async fn acknowledgements_count_frames() {
    let (mut receiver, b) = start(settings("b"));
    let mut stream = std::net::TcpStream::connect(b.peer()).expect("host accepts the connection");
    stream.write_all(&hello(7, Incarnation(0))).expect("bytes are written");
    let mut stream = tokio::task::spawn_blocking(move || {
        assert_eq!(read_acknowledgement(&mut stream), 1);
        stream
    })
    .await
    .expect("hello is acknowledged");
    stream
        .write_all(&encode(vec![accepted(1), accepted(2)]).expect("messages are encoded"))
        .expect("bytes are written");
    for number in 1..=2 {
        assert_matches!(receiver.next_event().await, HostEvent::Peer { message, .. } if message == accepted(number));
    }
    let second = tokio::task::spawn_blocking(move || read_acknowledgement(&mut stream))
        .await
        .expect("second frame is acknowledged");
    assert_eq!(second, 2);
}

/// Guards against a sender that accepts an acknowledgement of frames that it did not send, or one that does not exceed
/// the previous one.
#[tokio::test]
async fn invalid_acknowledgements_close_the_connection() {
    for invalid in [0, 1, 3, u64::MAX] {
        let (mut sender, _a) = start(settings("a"));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener is bound");
        let address = listener.local_addr().expect("listener has an address");
        let peer = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("sender connects");
            stream.read_exact(&mut [0; 40]).expect("hello arrives");
            stream.write_all(&1_u64.to_le_bytes()).expect("bytes are written");
            stream.read_exact(&mut [0; 8]).expect("second frame arrives");
            stream.write_all(&invalid.to_le_bytes()).expect("bytes are written");
            stream
        });
        let to = Incarnation(5);
        sender.queue_action(HostAction::Send { to, address, message: accepted(1), until: None });
        assert_matches!(sender.next_event().await, HostEvent::PeerLost { peer } if peer == to, "{invalid}");
        drop(peer.join());
    }
}
