//! Stand-ins for the users' platform, and the scenarios of the review. `standin-2 SCENARIO` plays one in the current
//! folder: it starts the project's processes, plays workers, store, operator and clients, and checks one rule.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario couldn't run. With TROUBLE=0 it does the
//! same without the disruption.

mod fleet;
mod host;
mod http;
mod json;
mod record;
mod scenarios;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // A thread that panics, in particular the first one, means that the scenario couldn't run.
    match std::panic::catch_unwind(|| scenarios::play(&name, trouble)) {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        _ => ExitCode::from(2),
    }
}
