//! Lines and columns of fields in a document.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;

/// One segment of the path to a value in a document.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PathSegment {
    Field(&'static str),
    Item(usize),
}

/// A line and a column in characters, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

/// Finds the positions of values in a document that serde has parsed without errors.
#[derive(Debug)]
pub(crate) struct Locator<'a> {
    text: &'a str,
    root: Option<Value<'a>>,
}

impl<'a> Locator<'a> {
    pub(crate) fn new(text: &'a str) -> Locator<'a> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        Locator { text, root: parsed.ok().and_then(|result| result.value) }
    }

    /// The position of the value at `path`, or of the innermost enclosing value if the document
    /// does not contain it.
    pub(crate) fn find(&self, path: &[PathSegment]) -> Position {
        let Some(root) = &self.root else {
            return Position { line: 1, column: 1 };
        };
        let mut value = root;
        for segment in path {
            let inner = match (segment, value) {
                (PathSegment::Field(name), Value::Object(object)) => {
                    object.get(name).map(|property| &property.value)
                }
                (PathSegment::Item(index), Value::Array(array)) => array.elements.get(*index),
                _ => None,
            };
            match inner {
                Some(inner) => value = inner,
                None => break,
            }
        }
        self.position(value.start())
    }

    fn position(&self, offset: usize) -> Position {
        let before = &self.text[..offset];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
        Position { line, column }
    }
}
