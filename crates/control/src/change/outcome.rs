//! The answer to an operator.

use std::fmt;

use crate::catalog::ChangeId;
use crate::catalog::StageRecord;
use tt_model::Fault;
use tt_model::ResultCode;
use tt_model::Revision;

/// The record that a change lost against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Winner {
    /// The revision of the record; 0 if there is no record.
    pub revision: Revision,
    /// Its operator; empty if there is no record.
    pub operator: String,
    /// Its change id.
    pub change: Option<ChangeId>,
}

impl Winner {
    pub(crate) fn of(record: Option<&StageRecord>) -> Winner {
        match record.map(StageRecord::newest) {
            Some(change) => Winner {
                revision: change.revision,
                operator: change.operator.clone(),
                change: Some(change.change.clone()),
            },
            None => Winner { revision: Revision(0), operator: String::new(), change: None },
        }
    }
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is in the catalog.
    Accepted {
        /// The catalog revision that it made.
        revision: Revision,
    },
    /// The record is not at the revision that the change was based on. Nothing was changed.
    Conflict {
        /// What is in force instead.
        winner: Winner,
    },
    /// The request is not valid. Nothing was changed.
    Refused {
        /// The code.
        code: ResultCode,
        /// What is wrong.
        faults: Vec<Fault>,
    },
    /// The store certainly did not take the change and will not.
    NotChanged {
        /// Why.
        reason: String,
    },
    /// The store may have taken the change, or may yet take it.
    Unknown {
        /// Ask for the status of this id.
        change: ChangeId,
    },
}

impl Outcome {
    /// The code that covers the outcome.
    pub fn code(&self) -> ResultCode {
        match self {
            Outcome::Accepted { .. } => ResultCode::Accepted,
            Outcome::Conflict { .. } => ResultCode::RevisionConflict,
            Outcome::Refused { code, .. } => *code,
            Outcome::NotChanged { .. } => ResultCode::StoreDown,
            Outcome::Unknown { .. } => ResultCode::ChangeUnknown,
        }
    }

    pub(crate) fn refused(code: ResultCode, fault: Fault) -> Outcome {
        Outcome::Refused { code, faults: vec![fault] }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Accepted { revision } => write!(f, "accepted as revision {revision}"),
            Outcome::Conflict { winner } if winner.change.is_none() => {
                f.write_str("conflict: the environment has no such entry (revision 0)")
            }
            Outcome::Conflict { winner } => {
                write!(f, "conflict: revision {} by {}", winner.revision, winner.operator)
            }
            Outcome::Refused { code, faults } => {
                write!(f, "refused: {code}")?;
                for fault in faults {
                    write!(f, "\n  {fault}")?;
                }
                Ok(())
            }
            Outcome::NotChanged { reason } => write!(f, "not changed: {reason}"),
            Outcome::Unknown { change } => write!(f, "unknown: ask for the status of {change}"),
        }
    }
}
