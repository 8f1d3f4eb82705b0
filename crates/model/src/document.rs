//! Parsing and checking of environment documents, with the positions of their faults.

mod check;
mod position;
mod raw;

use std::fmt;

use crate::code::ResultCode;
use crate::environment::Environment;

/// The maximum size of a document. A value in the store has at most a megabyte, so documents
/// are stored in parts; this limit bounds the number of parts.
pub const MAX_DOCUMENT_BYTES: usize = 32 * 1024 * 1024;

/// A fault of a document and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line of the fault, counted from 1.
    pub line: usize,
    /// Column of the fault, counted from 1.
    pub column: usize,
    /// Path of the faulty field, such as `services[3].class`. Empty if the document is too
    /// large or cannot be parsed.
    pub field: String,
    /// What is wrong or was expected, for operators.
    pub message: String,
}

/// All faults of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    /// [`ResultCode::InvalidDocument`] or [`ResultCode::DocumentTooLarge`].
    pub code: ResultCode,
    /// At least one fault, in the order of lines and columns.
    pub list: Vec<Fault>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} fault(s)", self.code, self.list.len())?;
        for fault in &self.list {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

pub(crate) fn parse(text: &str) -> Result<Environment, Faults> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(Faults {
            code: ResultCode::DocumentTooLarge,
            list: vec![Fault {
                line: 1,
                column: 1,
                field: String::new(),
                message: format!("expected at most {MAX_DOCUMENT_BYTES} bytes"),
            }],
        });
    }
    let raw: raw::Document = serde_jsonc::from_str(text).map_err(|error| Faults {
        code: ResultCode::InvalidDocument,
        list: vec![Fault {
            line: error.line(),
            column: error.column(),
            field: String::new(),
            message: error.to_string(),
        }],
    })?;
    check::check(text, &raw)
}
