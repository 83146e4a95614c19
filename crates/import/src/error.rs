//! Errors that prevent an import.

use crate::account::Position;
use crate::files::FileError;
use thiserror::Error;

/// An error that prevents an import, with its position.
#[derive(Debug, Error)]
#[error("{position}: {problem}")]
pub struct ImportError {
    /// The position in a file.
    pub position: Position,
    /// The problem at this position.
    pub problem: ImportProblem,
}

/// The kind of an [`ImportError`].
#[derive(Debug, Error)]
pub enum ImportProblem {
    /// A worker file or a URI map cannot be read, or a pattern of file names is malformed.
    #[error(transparent)]
    File(#[from] FileError),
    /// An Apache configuration, which is included or given on the command line, cannot be read.
    #[error("cannot read {name}: {cause}")]
    IncludedFile {
        /// The file name.
        name: String,
        /// The reason.
        #[source]
        cause: FileError,
    },
    /// Files include each other in a cycle.
    #[error("circular include: {}", .files.join(" -> "))]
    CircularInclude {
        /// The files of the cycle; the last one is the same as the first.
        files: Vec<String>,
    },
    /// Includes are nested more deeply than the importer follows them.
    #[error("includes are nested more than {limit} levels deep")]
    IncludeDepth {
        /// The maximum depth.
        limit: usize,
    },
    /// A directive that includes files does not name a file.
    #[error("{directive} does not name a file")]
    MissingFileName {
        /// The name of the directive.
        directive: String,
    },
    /// A pattern in an `Include` directive does not match any file.
    #[error("no file matches {pattern}; use IncludeOptional if that is intended")]
    NoMatchingFile {
        /// The pattern.
        pattern: String,
    },
    /// The file is not an Apache configuration.
    #[error("this is not an Apache configuration")]
    NotApacheConfiguration,
    /// A quoted word is not terminated.
    #[error("unterminated quotation; close it on the same line")]
    UnterminatedQuote,
    /// A character at this position is not allowed in a directive.
    #[error("unexpected character")]
    UnexpectedCharacter,
    /// A closing tag without an opening tag.
    #[error("</{name}> has no matching <{name}>")]
    UnmatchedSectionEnd {
        /// The section's name.
        name: String,
    },
    /// A closing tag that does not match the innermost open section.
    #[error("expected </{open}> for the <{open}> of line {line}, found </{name}>")]
    MismatchedSectionEnd {
        /// The section name in the closing tag.
        name: String,
        /// The name of the innermost open section.
        open: String,
        /// The line on which the innermost open section begins.
        line: usize,
    },
    /// A section without a closing tag.
    #[error("<{name}> is not closed; add </{name}>")]
    UnclosedSection {
        /// The section's name.
        name: String,
    },
    /// An opening tag that does not end with `>`.
    #[error("<{name} has no closing >; add it at the end of the line")]
    UnclosedTag {
        /// The section's name.
        name: String,
    },
    /// A line of a worker file or a URI map has no key or no `=`.
    #[error("this is not a property; write KEY=VALUE, or # before a comment")]
    NotAProperty,
    /// A line of a worker file or a URI map cannot be parsed.
    #[error("malformed line; write KEY=VALUE, or # before a comment")]
    MalformedLine,
}
