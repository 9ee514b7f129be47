//! Plays of many schedules in one test.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Plays schedules, and fails with those that break a rule.
pub fn play_all<T: Debug + Copy>(schedules: impl IntoIterator<Item = T>, play: impl Fn(T)) {
    let mut broken = Vec::new();
    let mut count = 0;
    for schedule in schedules {
        count += 1;
        if let Err(cause) = catch_unwind(AssertUnwindSafe(|| play(schedule))) {
            let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
            let cause = text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_default();
            broken.push(format!("{schedule:?}: {cause}"));
        }
    }
    assert!(broken.is_empty(), "{} of {count} schedules break a rule:\n{}", broken.len(), broken.join("\n"));
}
