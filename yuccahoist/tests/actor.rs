//! Host actor: order of its inputs.

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

use self::common::Script;

struct NoEffects;

impl Effects for NoEffects {
    fn start(&mut self, _: Timestamp, _: HostAction, _: &mut Vec<HostEvent>) {}
}

/// Guards against a hangup that overtakes its call, and a lost connection that overtakes its last messages.
#[tokio::test]
async fn inputs_are_handled_in_the_order_of_posting() {
    const INPUTS: u64 = 1_000;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let record = Arc::clone(&seen);
    let machine = Script(move |_, event, _: &mut Vec<HostAction>| {
        if let HostEvent::Hangup { call } = event {
            record.lock().expect("lock").push(call.0);
        }
    });
    let metrics = Metrics::new(&MetricsSettings::default()).expect("metrics");
    let clock = Arc::new(MonotonicClock::new());
    let (address, mailbox) = Mailbox::unbounded();
    let host = HostHandle::new(address);
    // All inputs wait before the actor runs.
    for number in 0..INPUTS {
        assert!(host.post(Input::Event(HostEvent::Hangup { call: CallId(number) })));
    }
    let actor = HostActor::new(Box::new(machine), clock, Box::new(NoEffects), metrics);
    tokio::spawn(xtra::run(mailbox, actor));
    assert!(host.deliver(Input::Event(HostEvent::Hangup { call: CallId(INPUTS) })).await);
    assert_eq!(*seen.lock().expect("lock"), (0..=INPUTS).collect::<Vec<_>>());
}
