//! Validation of settings: each error names file, field, value and accepted values, and all are reported together.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahoist::settings::{LogFormat, Settings, SettingsErrors};

fn valid_files() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::from([
        ("host.json", r#"{"name": "entry-1", "zone": "zone-a", "site": "yard-north", "io_threads": 2}"#),
        ("listen.json", r#"{"api": "127.0.0.1:7400", "peer": "127.0.0.1:7401", "stop_delay_ms": 0}"#),
        ("platform.json", r#"{"log": "127.0.0.1:7500", "hosts": "127.0.0.1:7600"}"#),
        ("logging.json", r#"{"format": "json"}"#),
    ])
}

fn read(files: &BTreeMap<&'static str, &'static str>) -> Result<Settings, SettingsErrors> {
    Settings::read(&mut |file| Ok(files.get(file).map(ToString::to_string)))
}

/// Guards against values that are ignored and defaults that change.
#[test]
fn valid_settings_are_read() {
    let settings = read(&valid_files()).expect("valid settings were rejected");
    assert_eq!(settings.host.name.as_str(), "entry-1");
    assert_eq!(settings.host.io_threads, 2);
    assert_eq!(settings.listen.stop_delay, Duration::ZERO);
    assert_eq!(settings.listen.body_limit, 1 << 20);
    assert_eq!(settings.platform.poll, Duration::from_millis(500));
    assert_eq!(settings.logging.format, LogFormat::Json);
    assert_eq!(settings.metrics.statsd, None);
}

/// Guards against errors that omit their location or the accepted values.
#[test]
fn each_error_names_file_field_value_and_accepted_values() {
    struct Case {
        file: &'static str,
        text: Option<&'static str>,
        error: &'static str,
    }
    let cases = [
        Case {
            file: "host.json",
            text: None,
            error: "host.json: file is missing; allowed: a JSON object in this file",
        },
        Case {
            file: "host.json",
            text: Some("[1]"),
            error: "host.json: file is [1]; allowed: a JSON object",
        },
        Case { file: "log.json", text: Some("{"), error: "log.json: file is not JSON" },
        Case {
            file: "listen.json",
            text: Some(r#"{"peer": "127.0.0.1:1"}"#),
            error: "listen.json: api is missing; allowed: an IP address and port such as 10.0.0.1:7400",
        },
        Case {
            file: "listen.json",
            text: Some(r#"{"api": "localhost:80", "peer": "127.0.0.1:1"}"#),
            error: r#"listen.json: api is "localhost:80"; allowed: an IP address and port"#,
        },
        Case {
            file: "listen.json",
            text: Some(r#"{"api": "0.0.0.0:80", "peer": "0.0.0.0:81"}"#),
            error: r#"listen.json: peer is "0.0.0.0:81"; allowed: an IP address that peers can reach"#,
        },
        Case {
            file: "host.json",
            text: Some(r#"{"name": "a b", "zone": "z", "site": "s"}"#),
            error: r#"host.json: name is "a b"; allowed: 1 to 64 characters"#,
        },
        Case {
            file: "log.json",
            text: Some(r#"{"append_timeout_ms": "1s"}"#),
            error: r#"log.json: append_timeout_ms is "1s"; allowed: a whole number from 50 to 60000"#,
        },
        Case {
            file: "log.json",
            text: Some(r#"{"append_timeout_ms": 1}"#),
            error: "log.json: append_timeout_ms is 1; allowed: a whole number from 50 to 60000",
        },
        Case {
            file: "logging.json",
            text: Some(r#"{"level": "loud"}"#),
            error: r#"logging.json: level is "loud"; allowed: error, warn, info, debug"#,
        },
        Case {
            file: "logging.json",
            text: Some(r#"{"decisions": 1}"#),
            error: "logging.json: decisions is 1; allowed: true or false",
        },
        Case {
            file: "metrics.json",
            text: Some(r#"{"statds": null}"#),
            error: "metrics.json: statds is null; allowed: only the fields interval_ms, prefix, statsd",
        },
    ];
    for case in cases {
        let mut files = valid_files();
        match case.text {
            Some(text) => files.insert(case.file, text),
            None => files.remove(case.file),
        };
        let errors = read(&files).expect_err(case.error);
        assert_eq!(errors.0.len(), 1, "{errors}");
        assert!(errors.to_string().starts_with(case.error), "{errors}");
    }
}

/// Guards against stopping at the first error, so that the daemon must be restarted to find the next one.
#[test]
fn all_errors_are_reported_at_once() {
    let mut files = valid_files();
    files.insert("host.json", r#"{"name": "", "zone": 3, "site": "s", "colour": "red"}"#);
    files.insert("platform.json", r#"{"log": "127.0.0.1:7500", "poll_ms": 1}"#);
    let errors = read(&files).expect_err("invalid settings were accepted");
    let found: Vec<String> = errors.0.iter().map(|error| format!("{} {}", error.file, error.field)).collect();
    let expected = [
        "host.json name",
        "host.json zone",
        "host.json colour",
        "platform.json hosts",
        "platform.json poll_ms",
    ];
    assert_eq!(found, expected);
}
