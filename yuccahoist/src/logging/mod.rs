//! Log lines by `logforth`, and the line of each decision.

mod bounded;

use std::fmt;
use std::sync::Arc;

use logforth::append;
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

pub use self::bounded::LineCounts;
use self::bounded::{Bounded, Collected};
use crate::event::HostDecision;
use crate::settings::{LogFormat, LogLevel, LoggingSettings};

/// Sends the lines of the `log` macros of this process to standard error.
///
/// Has no effect when the process has a logger already.
pub fn install(settings: &LoggingSettings) {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let sink = match settings.format {
        LogFormat::Text => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(level)).append(sink))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_err() {
        log::debug!("the process has a logger already");
        return;
    }
    log::set_max_level(match settings.level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    });
}

/// Sends the lines of the `log` macros of this project to standard output, as JSON, by a thread of its own.
///
/// Lines are dropped and counted when the output is slow or their rate is too high. Has no effect when the process has a
/// logger already.
#[must_use]
pub fn install_stdout() -> Arc<LineCounts> {
    let counts = Arc::new(LineCounts::default());
    let sink =
        Box::new(Bounded::new(Collected::new(counts.clone()), counts.clone())) as Box<dyn logforth::Append>;
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(sink))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_err() {
        log::debug!("the process has a logger already");
        return counts;
    }
    log::set_max_level(log::LevelFilter::Info);
    counts
}

/// Writes one line for a decision.
pub fn decision(decision: &HostDecision) {
    log::info!(target: "decision", "{}", Line(decision));
}

/// Text of a decision: what was chosen, why, and the runner-up.
#[derive(Debug)]
pub struct Line<'a>(pub &'a HostDecision);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            HostDecision::Route(route) => {
                write!(f, "route request={}", route.request)?;
                choice(f, &route.chosen, &route.runner_up, &route.reason)
            }
            HostDecision::Dispatch(dispatch) => {
                let waited = dispatch.waited.as_micros();
                write!(f, "dispatch request={} class={}", dispatch.request, dispatch.class)?;
                write!(f, " waited_us={waited}")?;
                choice(f, &dispatch.chosen, &dispatch.runner_up, &dispatch.reason)
            }
            HostDecision::Placement(placement) => {
                write!(f, "placement task={}", placement.task)?;
                choice(f, &placement.chosen, &placement.runner_up, &placement.reason)
            }
            HostDecision::Job { job, text } => write!(f, "job job={job} reason={text:?}"),
            HostDecision::Control { text } => write!(f, "control reason={text:?}"),
        }
    }
}

fn choice<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    chosen: &Option<T>,
    runner_up: &Option<T>,
    reason: &str,
) -> fmt::Result {
    match chosen {
        Some(chosen) => write!(f, " chosen={chosen}")?,
        None => f.write_str(" refused")?,
    }
    if let Some(runner_up) = runner_up {
        write!(f, " runner_up={runner_up}")?;
    }
    write!(f, " reason={reason:?}")
}
