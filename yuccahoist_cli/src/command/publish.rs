//! `publish`: appends an edit and waits for its outcome.

use serde_json::Value;
use yuccahoist::config::{DocumentName, Edit, EditOutcome};

use crate::cli::PublishArgs;
use crate::config_log::ConfigLog;
use crate::documents;
use crate::error::CommandError;

/// Publishes a document, or removes an overlay when no file is given.
pub async fn run(args: PublishArgs) -> Result<(), CommandError> {
    let content = read_content(&args)?;
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
    // Revision and content are checked again when the log is replayed; checking here only saves a useless append.
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

fn read_content(args: &PublishArgs) -> Result<Value, CommandError> {
    match (&args.file, &args.document) {
        (Some(file), _) => documents::read_json(file),
        (None, DocumentName::Site(_)) => Ok(Value::Null),
        (None, DocumentName::Base) => Err(CommandError::Usage(
            "the base document cannot be removed; give a file with its content".into(),
        )),
    }
}
