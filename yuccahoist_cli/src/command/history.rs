//! `history`: edits and how they were decided.

use yuccahoist::config::{EditOutcome, EditStatus};

use crate::cli::HistoryArgs;
use crate::config_log::ConfigLog;
use crate::error::CommandError;

/// Runs the command.
pub async fn run(args: &HistoryArgs) -> Result<(), CommandError> {
    let log = ConfigLog::open(args.log, args.timeout).await?;
    let history = log.fold().history();
    for status in history.iter().skip(history.len().saturating_sub(args.limit)) {
        println!("{}", line(status));
    }
    for (offset, edit) in log.fold().open() {
        println!("offset {offset}: {} on revision {} by {}: open", edit.document, edit.based_on, edit.author);
    }
    Ok(())
}

fn line(status: &EditStatus) -> String {
    let outcome = match &status.outcome {
        EditOutcome::Accepted { revision, verdict } => format!("revision {revision} at offset {verdict}"),
        EditOutcome::Rejected { reasons } => format!("rejected: {}", reasons.join("; ")),
        EditOutcome::Conflict { current } => format!("conflict with revision {current}"),
    };
    let note = if status.note.is_empty() { String::new() } else { format!(" ({})", status.note) };
    format!(
        "offset {}: {} on revision {} by {}{note}: {outcome}",
        status.edit, status.document, status.based_on, status.author
    )
}
