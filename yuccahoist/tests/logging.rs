//! Text of decision lines in the log.

use std::time::Duration;

use yuccahoist::dispatch::Decision;
use yuccahoist::event::HostDecision;
use yuccahoist::front::RouteDecision;
use yuccahoist::id::{RequestId, TaskId, TaskIndex};
use yuccahoist::logging::DecisionLine;
use yuccahoist::placement::PlacementDecision;
use yuccahoist::request::Class;
use yuccahoist::unit::WallTime;

/// Guards against decision lines that omit the choice, the reason or the runner-up, or change their `key=` names.
#[test]
fn decision_lines_contain_choice_reason_and_runner_up() {
    let request = RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]);
    let route = RouteDecision {
        request,
        chosen: Some("rack-1".parse().expect("invalid rack name")),
        runner_up: Some("rack-2".parse().expect("invalid rack name")),
        reason: "more free slots".into(),
    };
    let dispatch = Decision {
        request,
        class: Class::Heavy,
        chosen: None,
        runner_up: None,
        reason: "queue limit 64".into(),
        waited: Duration::from_micros(1_500),
    };
    let placement = PlacementDecision {
        task: TaskId { job: "wash".parse().expect("invalid job name"), index: TaskIndex(4) },
        chosen: Some("w1".parse().expect("invalid worker name")),
        runner_up: None,
        reason: "best fit".into(),
    };
    let control = HostDecision::Control { text: "claimed rack-1".into() };
    let cases = [
        (
            HostDecision::Route(route),
            format!("route request={request} chosen=rack-1 runner_up=rack-2 reason=\"more free slots\""),
        ),
        (
            HostDecision::Dispatch(dispatch),
            format!(
                "dispatch request={request} class=heavy waited_us=1500 refused reason=\"queue limit 64\""
            ),
        ),
        (
            HostDecision::Placement(placement),
            "placement task=wash/4 chosen=w1 reason=\"best fit\"".to_owned(),
        ),
        (control, "control reason=\"claimed rack-1\"".to_owned()),
    ];
    for (decision, expected) in cases {
        assert_eq!(DecisionLine(&decision).to_string(), expected);
    }
}
