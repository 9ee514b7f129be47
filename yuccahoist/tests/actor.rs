//! Input order of the host actor.

mod common;

use std::sync::{Arc, Mutex};

use xtra::Mailbox;
use yuccahoist::actor::{Effects, HostActor, HostHandle, Input};
use yuccahoist::clock::MonotonicClock;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::front::CallId;
use yuccahoist::metrics::Metrics;
use yuccahoist::settings::MetricsSettings;
use yuccahoist::unit::Timestamp;

use self::common::ClosureMachine;

struct NoEffects;

impl Effects for NoEffects {
    fn start(&mut self, _: Timestamp, _: HostAction, _: &mut Vec<HostEvent>) {}
}

/// Guards against a disconnect that is handled before its call, and the loss of a connection that is handled before its
/// last messages. The mailbox of the actor does not keep messages in order.
#[tokio::test]
async fn inputs_are_handled_in_the_order_of_posting() {
    const INPUT_COUNT: u64 = 1_000;
    let handled = Arc::new(Mutex::new(Vec::new()));
    let recorder = Arc::clone(&handled);
    let machine = ClosureMachine(move |_, event, _: &mut Vec<HostAction>| {
        if let HostEvent::CallerDisconnected { call } = event {
            recorder.lock().expect("lock is not poisoned").push(call.0);
        }
    });
    let metrics = Metrics::new(&MetricsSettings::default()).expect("metrics without a socket");
    let clock = Arc::new(MonotonicClock::new());
    let (address, mailbox) = Mailbox::unbounded();
    let host = HostHandle::new(address);
    // All inputs are queued before the actor runs.
    for number in 0..INPUT_COUNT {
        assert!(host.post(Input::Event(HostEvent::CallerDisconnected { call: CallId(number) })));
    }
    let actor = HostActor::new(Box::new(machine), clock, Box::new(NoEffects), metrics);
    tokio::spawn(xtra::run(mailbox, actor));
    assert!(host.deliver(Input::Event(HostEvent::CallerDisconnected { call: CallId(INPUT_COUNT) })).await);
    assert_eq!(*handled.lock().expect("lock is not poisoned"), (0..=INPUT_COUNT).collect::<Vec<_>>());
}
