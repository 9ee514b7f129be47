//! Text forms of identifiers and quantities: valid text round-trips, invalid text yields an error that names the value.

use yuccahoist::id::{HostId, RequestId, WorkerId};
use yuccahoist::unit::{CpuMillis, Resources, Timestamp, WallTime};

/// Guards against text in logs and configuration that cannot be parsed again.
#[test]
fn text_forms_round_trip() {
    let resources = Resources::new(1_500, 2_048, 2);
    assert_eq!(resources.to_string().parse(), Ok(resources));
    let time = Timestamp::from_micros(12_000_500);
    assert_eq!(time.to_string().parse(), Ok(time));
    let id = RequestId::from_parts(WallTime::from_millis(1_790_000_000_123), [7; 10]);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!(id.created(), WallTime::from_millis(1_790_000_000_123));
}

/// Guards against names that pass validation here but are rejected by another component.
#[test]
fn invalid_text_is_rejected() {
    struct Case {
        text: &'static str,
        error: &'static str,
    }
    let cases = [
        Case { text: "", error: "host is empty" },
        Case { text: "a b", error: "character ' '" },
        Case {
            text: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
            error: "65 characters",
        },
    ];
    for case in cases {
        let error = case.text.parse::<HostId>().expect_err(case.text).to_string();
        assert!(error.contains(case.error), "{error}");
    }
    assert!("12".parse::<CpuMillis>().is_err());
    assert!("worker/1".parse::<WorkerId>().is_err());
}
