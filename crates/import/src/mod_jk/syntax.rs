//! Parser of `workers.properties` and `uriworkermap.properties`: lines of `key=value`, each with its
//! position.

#[cfg(test)]
mod tests;

use crate::account::Position;
use crate::error::{ImportError, ImportProblem};
use crate::text::{substitute, without_byte_order_mark, LineIndex};
use winnow::ascii::{line_ending, space0, till_line_ending};
use winnow::combinator::{opt, preceded};
use winnow::error::ContextError;
use winnow::prelude::Parser;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::take_while;

/// A property, written as `key=value`.
#[derive(Clone, Debug, PartialEq)]
pub struct Property {
    /// The text before the first `=`.
    pub key: String,
    /// The text after the first `=`.
    pub value: String,
    /// The position of the key.
    pub position: Position,
}

type Input<'a> = LocatingSlice<&'a str>;
type Parsed<T> = winnow::Result<T, ContextError>;

/// A parsed line, with the byte offset of its first character that is not white space.
enum RawLine<'a> {
    /// A comment or an empty line.
    Empty,
    Property {
        key: &'a str,
        value: &'a str,
        offset: usize,
    },
    Malformed {
        offset: usize,
    },
}

/// Parses a line without its ending.
fn line<'a>(input: &mut Input<'a>) -> Parsed<RawLine<'a>> {
    space0.parse_next(input)?;
    if opt('#').parse_next(input)?.is_some() {
        return till_line_ending.map(|_| RawLine::Empty).parse_next(input);
    }
    let offset = input.current_token_start();
    let key: &str = take_while(0.., |c: char| c != '=' && c != '\n' && c != '\r').parse_next(input)?;
    let value = opt(preceded('=', till_line_ending)).parse_next(input)?;
    Ok(match value {
        Some(value) if !key.trim().is_empty() => {
            RawLine::Property { key: key.trim(), value: value.trim(), offset }
        }
        None if key.trim().is_empty() => RawLine::Empty,
        _ => RawLine::Malformed { offset },
    })
}

/// Parses a text of properties.
///
/// # Errors
/// The first malformed line.
fn lines(file: &str, text: &str) -> Result<Vec<Property>, ImportError> {
    let text = without_byte_order_mark(text);
    let line_index = LineIndex::new(file, text);
    let mut input = LocatingSlice::new(text);
    let error = |offset, problem| ImportError { position: line_index.position_at(offset), problem };
    let mut properties = Vec::new();
    loop {
        let start = input.current_token_start();
        match line.parse_next(&mut input) {
            Ok(RawLine::Empty) => {}
            Ok(RawLine::Property { key, value, offset }) => {
                properties.push(Property {
                    key: key.into(),
                    value: value.into(),
                    position: line_index.position_at(offset),
                });
            }
            Ok(RawLine::Malformed { offset }) => return Err(error(offset, ImportProblem::NotAProperty)),
            Err(_) => return Err(error(start, ImportProblem::MalformedLine)),
        }
        let ending: Parsed<_> = opt(line_ending).parse_next(&mut input);
        match ending {
            Ok(Some(_)) => {}
            // Skips carriage returns without a line feed.
            _ if input.starts_with('\r') => {
                let _: Parsed<_> = take_while(1.., '\r').parse_next(&mut input);
            }
            _ => return Ok(properties),
        }
    }
}

/// Parses a worker file. Each `$(NAME)` in a value is replaced by the value of the last preceding property
/// with that key, if there is one.
///
/// # Errors
/// The first malformed line.
pub fn parse_properties(file: &str, text: &str) -> Result<Vec<Property>, ImportError> {
    let mut properties = lines(file, text)?;
    for index in 0..properties.len() {
        let (preceding, rest) = properties.split_at_mut(index);
        let value_of = |name: &str| {
            let property = preceding.iter().rfind(|property| property.key == name)?;
            Some(property.value.clone())
        };
        rest[0].value = substitute(&rest[0].value, "$(", ')', value_of);
    }
    Ok(properties)
}

/// Formats properties as the text of a worker file.
pub fn to_text(properties: &[Property]) -> String {
    properties.iter().map(|property| format!("{}={}\n", property.key, property.value)).collect()
}

/// A rule of a URI map.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The path patterns; `/app|/*` stands for the two patterns `/app` and `/app/*`.
    pub patterns: Vec<String>,
    /// Whether matching requests are excluded from the other rules for the worker.
    pub except: bool,
    /// Whether the rule is disabled.
    pub is_disabled: bool,
    /// The name of the worker, or `*` for all workers.
    pub worker: String,
    /// The extensions, which follow the worker in the value, separated by semicolons.
    pub extensions: Vec<String>,
    /// The text of the line.
    pub text: String,
    /// The position of the line.
    pub position: Position,
}

/// Parses a URI map.
///
/// # Errors
/// The first malformed line.
pub fn parse_uri_map(file: &str, text: &str) -> Result<Vec<Rule>, ImportError> {
    Ok(lines(file, text)?.into_iter().map(rule_from).collect())
}

/// Converts a property of a URI map to a rule. Before the path pattern, `!` marks an exception and `-` a
/// disabled rule.
fn rule_from(property: Property) -> Rule {
    let mut key = property.key.as_str();
    let mut except = false;
    let mut is_disabled = false;
    loop {
        if let Some(rest) = key.strip_prefix('!') {
            key = rest;
            except = true;
        } else if let Some(rest) = key.strip_prefix('-') {
            key = rest;
            is_disabled = true;
        } else {
            break;
        }
    }
    let patterns = match key.split_once('|') {
        Some((path, suffix)) => vec![path.to_string(), format!("{path}{suffix}")],
        None => vec![key.to_string()],
    };
    let mut parts = property.value.split(';').map(|part| part.trim().to_string());
    let worker = parts.next().unwrap_or_default();
    let extensions = parts.filter(|part| !part.is_empty()).collect();
    let text = format!("{}={}", property.key, property.value);
    Rule { patterns, except, is_disabled, worker, extensions, text, position: property.position }
}
