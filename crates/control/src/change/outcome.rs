//! The outcome of a change, as reported to its operator.

use std::fmt;

use crate::catalog::ChangeId;
use crate::catalog::StageRecord;
use tt_model::Fault;
use tt_model::ResultCode;
use tt_model::Revision;

/// The change that is in force instead of one that was refused with a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Winner {
    /// The catalog revision that it created; 0 if nothing is in force.
    pub revision: Revision,
    /// The name of its operator; empty if nothing is in force.
    pub operator: String,
    /// Its id; `None` if nothing is in force.
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

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in the catalog.
    Accepted {
        /// The catalog revision that the change created.
        revision: Revision,
    },
    /// The catalog record is not at the base revision of the change. Nothing was changed.
    Conflict {
        /// The change that is in force.
        winner: Winner,
    },
    /// The request is not valid. Nothing was changed.
    Refused {
        /// The result code that names the kind of fault.
        code: ResultCode,
        /// The reasons in detail, with their positions in the document.
        faults: Vec<Fault>,
    },
    /// The change has not taken effect and cannot do so later.
    NotChanged {
        /// Why the change was ended.
        reason: String,
    },
    /// The change may have taken effect or may still do so.
    Unknown {
        /// The id of the change, with which the operator can ask for its status.
        change: ChangeId,
    },
}

impl Outcome {
    /// The result code that the operator is sent.
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
