//! `publish`: appends an edit and waits for its verdict.

use serde_json::Value;
use yuccahoist::config::{DocumentName, Edit, EditOutcome};

use crate::cli::PublishArgs;
use crate::config_log::ConfigLog;
use crate::documents;
use crate::error::CommandError;

/// Runs the command.
pub async fn run(args: PublishArgs) -> Result<(), CommandError> {
    let content = content(&args)?;
    let mut log = ConfigLog::open(args.log, args.timeout).await?;
    let edit = Edit {
        document: args.document,
        based_on: args.based_on,
        content,
        author: args.author,
        note: args.note,
        allow_capacity_drop: args.allow_capacity_drop,
    };
    let (based_on, current) = (edit.based_on, log.fold().in_force().revision);
    // Both are decided again in the log; here they only save an append.
    if based_on != current {
        return Err(CommandError::Conflict { based_on, current });
    }
    log.fold().check(&edit)?;
    let (offset, outcome) = log.publish(edit).await?;
    match outcome {
        EditOutcome::Accepted { revision, verdict } => {
            println!("accepted: revision {revision}, edit at offset {offset}, verdict at offset {verdict}");
            Ok(())
        }
        EditOutcome::Rejected { reasons } => Err(CommandError::Invalid(reasons)),
        EditOutcome::Conflict { current } => Err(CommandError::Conflict { based_on, current }),
    }
}

fn content(args: &PublishArgs) -> Result<Value, CommandError> {
    match (&args.file, &args.document) {
        (Some(file), _) => documents::content(file),
        (None, DocumentName::Site(_)) => Ok(Value::Null),
        (None, DocumentName::Base) => {
            Err(CommandError::Usage("the base cannot be removed; give a file with its content".into()))
        }
    }
}
