//! Parser of Apache configuration files: directives and sections, with the position of every word.

#[cfg(test)]
mod tests;

use crate::account::Position;
use crate::error::{ImportError, ImportProblem};
use crate::text::{without_byte_order_mark, LineIndex};
use std::iter;
use winnow::ascii::{line_ending, till_line_ending};
use winnow::combinator::{alt, delimited, not, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::Parser;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, one_of, take_while};

/// A word of a line, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// The text, without quotes.
    pub text: String,
    /// The position of the first character.
    pub position: Position,
}

/// A directive or a section.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// `Name word word`.
    Directive(Line),
    /// `<Name word> ... </Name>`.
    Section(Line, Vec<Item>),
}

/// The words of a directive, or of the opening tag of a section.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The name as written; names are not case-sensitive.
    pub name: String,
    /// The other words.
    pub words: Vec<Word>,
    /// The position of the name.
    pub position: Position,
}

impl Line {
    /// Returns whether the line has this name, ignoring case.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }

    /// Returns the text of a word by its index; 0 is the first word after the name.
    pub fn word(&self, index: usize) -> Option<&str> {
        self.words.get(index).map(|word| word.text.as_str())
    }

    /// Returns the line as text, with single spaces between words.
    pub fn text(&self) -> String {
        let words = self.words.iter().map(|word| word.text.as_str());
        let name_and_words: Vec<&str> = iter::once(self.name.as_str()).chain(words).collect();
        name_and_words.join(" ")
    }
}

type Input<'a> = LocatingSlice<&'a str>;
type Parsed<T> = winnow::Result<T, ContextError>;

/// Parses a continuation: a backslash at the end of a line continues it on the next line.
fn continuation(input: &mut Input) -> Parsed<()> {
    ("\\", line_ending).void().parse_next(input)
}

/// Parses white space within a line.
fn blank(input: &mut Input) -> Parsed<()> {
    repeat(0.., alt((one_of([' ', '\t', '\x0b', '\x0c']).void(), continuation))).parse_next(input)
}

/// Parses a quoted word, in which a backslash escapes the quote and the backslash.
fn quoted(quote: char) -> impl FnMut(&mut Input) -> Parsed<String> {
    move |input| {
        let content = repeat(
            0..,
            alt((
                continuation.value(None),
                preceded('\\', one_of([quote, '\\'])).map(Some),
                none_of([quote, '\n', '\r']).map(Some),
            )),
        )
        .fold(String::new, |mut text, character: Option<char>| {
            text.extend(character);
            text
        });
        delimited(quote, content, quote).parse_next(input)
    }
}

/// Parses a word without quotes.
fn unquoted(input: &mut Input) -> Parsed<String> {
    let part = alt((
        take_while(1.., |c: char| !c.is_whitespace() && c != '\\').map(str::to_string),
        // A backslash that does not end the line is an ordinary character.
        ('\\', not(line_ending)).value("\\".to_string()),
    ));
    // A word that begins with a quotation mark is quoted or malformed.
    not(one_of(['"', '\''])).parse_next(input)?;
    repeat(1.., part).fold(String::new, |text, part: String| text + &part).parse_next(input)
}

/// A word with its byte offset.
struct RawWord {
    text: String,
    offset: usize,
}

/// Parses a word with or without quotes.
fn word(input: &mut Input) -> Parsed<RawWord> {
    let offset = input.current_token_start();
    let text = alt((quoted('"'), quoted('\''), unquoted)).parse_next(input)?;
    Ok(RawWord { text, offset })
}

/// Parses a line; returns `None` for a comment or an empty line.
fn line(input: &mut Input) -> Parsed<Option<Vec<RawWord>>> {
    blank.parse_next(input)?;
    if opt('#').parse_next(input)?.is_some() {
        // Like a directive, a comment can be continued on the next line.
        let _: () = repeat(
            0..,
            alt((continuation, none_of(['\n', '\r', '\\']).void(), ('\\', not(line_ending)).void())),
        )
        .parse_next(input)?;
        let _ = till_line_ending.parse_next(input)?;
        return Ok(None);
    }
    let words: Vec<RawWord> = repeat(0.., delimited(blank, word, blank)).parse_next(input)?;
    Ok(if words.is_empty() { None } else { Some(words) })
}

/// Parses lines up to the end or to the first character that is not part of a word; returns their words,
/// without comments and empty lines.
fn lines(input: &mut Input) -> Parsed<Vec<Vec<RawWord>>> {
    let mut lines = Vec::new();
    loop {
        lines.extend(line.parse_next(input)?);
        if opt(line_ending).parse_next(input)?.is_none() {
            return Ok(lines);
        }
    }
}

/// Parses the text of a file.
///
/// # Errors
/// The first syntax error.
pub fn parse(file: &str, text: &str) -> Result<Vec<Item>, ImportError> {
    let text = without_byte_order_mark(text);
    let line_index = LineIndex::new(file, text);
    let mut tree = SectionTree::default();
    for words in parse_lines(text, &line_index)? {
        let mut words = words
            .into_iter()
            .map(|word| Word { text: word.text, position: line_index.position_at(word.offset) });
        if let Some(first) = words.next() {
            tree.add_line(first, words.collect())?;
        }
    }
    tree.finish()
}

/// Splits a text into lines of words.
///
/// # Errors
/// The first character that is not part of a word.
fn parse_lines(text: &str, line_index: &LineIndex) -> Result<Vec<Vec<RawWord>>, ImportError> {
    let mut input = LocatingSlice::new(text);
    let Ok(parsed) = lines.parse_next(&mut input) else {
        return Err(ImportError {
            position: line_index.position_at(0),
            problem: ImportProblem::NotApacheConfiguration,
        });
    };
    let unexpected: Parsed<Option<char>> = opt(any).parse_next(&mut input);
    if !matches!(unexpected, Ok(Some(_))) {
        return Ok(parsed);
    }
    // The character that was just consumed is the first one that is not part of a word.
    let offset = input.current_token_start() - 1;
    let problem = match text.as_bytes().get(offset) {
        Some(b'"' | b'\'') => ImportProblem::UnterminatedQuote,
        _ => ImportProblem::UnexpectedCharacter,
    };
    Err(ImportError { position: line_index.position_at(offset), problem })
}

/// Builds the tree of sections line by line.
#[derive(Default)]
struct SectionTree {
    /// The items outside of all sections.
    top_level: Vec<Item>,
    /// The open sections, the outermost first: their opening lines and their items so far.
    open: Vec<(Line, Vec<Item>)>,
}

impl SectionTree {
    /// Adds a line, which is a directive, or the opening or closing tag of a section.
    fn add_line(&mut self, first: Word, words: Vec<Word>) -> Result<(), ImportError> {
        let Word { text, position } = first;
        if let Some(name) = text.strip_prefix("</") {
            return self.end_section(name.strip_suffix('>').unwrap_or(name), position);
        }
        if let Some(name) = text.strip_prefix('<') {
            self.open.push((section_line(name, words, position)?, Vec::new()));
            return Ok(());
        }
        self.add(Item::Directive(Line { name: text, words, position }));
        Ok(())
    }

    /// Adds an item to the innermost open section.
    fn add(&mut self, item: Item) {
        match self.open.last_mut() {
            Some((_, items)) => items.push(item),
            None => self.top_level.push(item),
        }
    }

    /// Closes the innermost open section, which must have this name.
    fn end_section(&mut self, name: &str, position: Position) -> Result<(), ImportError> {
        let Some((line, items)) = self.open.pop() else {
            return Err(ImportError {
                position,
                problem: ImportProblem::UnmatchedSectionEnd { name: name.to_string() },
            });
        };
        if !line.has_name(name) {
            let problem = ImportProblem::MismatchedSectionEnd {
                name: name.to_string(),
                open: line.name,
                line: line.position.line,
            };
            return Err(ImportError { position, problem });
        }
        self.add(Item::Section(line, items));
        Ok(())
    }

    /// Returns the items. Fails if a section is still open.
    fn finish(mut self) -> Result<Vec<Item>, ImportError> {
        match self.open.pop() {
            Some((line, _)) => Err(ImportError {
                position: line.position,
                problem: ImportProblem::UnclosedSection { name: line.name },
            }),
            None => Ok(self.top_level),
        }
    }
}

/// Parses the opening line of a section, whose last word ends with `>`.
fn section_line(name: &str, mut words: Vec<Word>, position: Position) -> Result<Line, ImportError> {
    let last = words.last().map_or(name, |word| word.text.as_str());
    let Some(closed) = last.strip_suffix('>').map(str::to_string) else {
        return Err(ImportError { position, problem: ImportProblem::UnclosedTag { name: name.to_string() } });
    };
    let Some(last) = words.last_mut() else {
        return Ok(Line { name: closed, words, position });
    };
    last.text = closed;
    // A `>` after a quoted word is a separate word.
    if last.text.is_empty() && words.len() > 1 {
        words.pop();
    }
    Ok(Line { name: name.to_string(), words, position })
}

/// Formats items as the text of a configuration.
pub fn to_text(items: &[Item]) -> String {
    let mut out = String::new();
    write_items(items, 0, &mut out);
    out
}

/// Appends items to a text, indented by the number of sections that enclose them.
fn write_items(items: &[Item], depth: usize, out: &mut String) {
    let indent = "    ".repeat(depth);
    for item in items {
        match item {
            Item::Directive(line) => {
                *out += &format!("{indent}{}{}\n", line.name, words_to_text(&line.words));
            }
            Item::Section(line, children) => {
                *out += &format!("{indent}<{}{}>\n", line.name, words_to_text(&line.words));
                write_items(children, depth + 1, out);
                *out += &format!("{indent}</{}>\n", line.name);
            }
        }
    }
}

/// Formats words, each after a space and in quotes if necessary.
fn words_to_text(words: &[Word]) -> String {
    let mut out = String::new();
    for Word { text, .. } in words {
        let needs_quotes = |c: char| c.is_whitespace() || "\"'\\#<>".contains(c);
        if text.is_empty() || text.contains(needs_quotes) {
            let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
            out += &format!(" \"{escaped}\"");
        } else {
            out += &format!(" {text}");
        }
    }
    out
}
