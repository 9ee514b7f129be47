//! `history`: lists decided edits with their outcome, then open edits.

use yuccahoist::config::{EditOutcome, EditStatus};

use crate::cli::HistoryArgs;
use crate::config_log::ConfigLog;
use crate::error::CommandError;

/// Prints the last `limit` decided edits and all open edits.
pub async fn run(args: &HistoryArgs) -> Result<(), CommandError> {
    let log = ConfigLog::open(args.log, args.timeout).await?;
    let history = log.fold().history();
    for status in history.iter().skip(history.len().saturating_sub(args.limit)) {
        println!("{}", format_status(status));
    }
    for (offset, edit) in log.fold().open() {
        println!("offset {offset}: {} on revision {} by {}: open", edit.document, edit.based_on, edit.author);
    }
    Ok(())
}

fn format_status(status: &EditStatus) -> String {
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
