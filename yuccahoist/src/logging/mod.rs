//! Logger setup with `logforth`, and the text form of decision lines.

mod bounded;

use std::fmt;
use std::sync::Arc;

use logforth::append;
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

pub use self::bounded::LineCounts;
use self::bounded::{BufferedStdout, RateLimited};
use crate::event::HostDecision;
use crate::settings::{LogFormat, LogLevel, LoggingSettings};

/// Installs a global logger that writes to standard error with the level and format of `settings`.
///
/// Has no effect when a global logger is already installed.
pub fn install_stderr(settings: &LoggingSettings) {
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
        log::debug!("a global logger is already installed");
        return;
    }
    log::set_max_level(match settings.level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    });
}

/// Installs a global logger that writes this project's lines to standard output as JSON, on a dedicated thread.
///
/// Lines are dropped when the output is slow or their rate is too high; the returned counters show how many. Has no
/// effect when a global logger is already installed.
#[must_use]
pub fn install_stdout() -> Arc<LineCounts> {
    let counts = Arc::new(LineCounts::default());
    let sink = Box::new(RateLimited::new(BufferedStdout::new(counts.clone()), counts.clone()))
        as Box<dyn logforth::Append>;
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(sink))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_err() {
        log::debug!("a global logger is already installed");
        return counts;
    }
    log::set_max_level(log::LevelFilter::Info);
    counts
}

/// Logs a decision as one line with the target `decision`.
pub fn log_decision(decision: &HostDecision) {
    log::info!(target: "decision", "{}", DecisionLine(decision));
}

/// Formats a decision as `key=value` pairs: the choice, the runner-up if any, and the reason.
#[derive(Debug)]
pub struct DecisionLine<'a>(pub &'a HostDecision);

impl fmt::Display for DecisionLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            HostDecision::Route(route) => {
                write!(f, "route request={}", route.request)?;
                write_choice(f, &route.chosen, &route.runner_up, &route.reason)
            }
            HostDecision::Dispatch(dispatch) => {
                let waited = dispatch.waited.as_micros();
                write!(f, "dispatch request={} class={}", dispatch.request, dispatch.class)?;
                write!(f, " waited_us={waited}")?;
                write_choice(f, &dispatch.chosen, &dispatch.runner_up, &dispatch.reason)
            }
            HostDecision::Placement(placement) => {
                write!(f, "placement task={}", placement.task)?;
                write_choice(f, &placement.chosen, &placement.runner_up, &placement.reason)
            }
            HostDecision::Job { job, text } => write!(f, "job job={job} reason={text:?}"),
            HostDecision::Control { text } => write!(f, "control reason={text:?}"),
        }
    }
}

fn write_choice<T: fmt::Display>(
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
