//! The syntax of Apache's configuration files: directives and sections, with the place of every word.

use crate::account::{Place, Unreadable};
use crate::text::{unmarked, Places};
use std::fmt::Write;
use winnow::ascii::{line_ending, till_line_ending};
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, one_of, take_while};

/// A word of a line.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// What it says, without its quotes.
    pub text: String,
    /// Where it begins.
    pub place: Place,
}

/// A directive or a section.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// `Name word word`.
    Directive(Line),
    /// `<Name word> ... </Name>`.
    Section(Line, Vec<Item>),
}

/// The words of a directive, or of a section's beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its name as it is written; case means nothing.
    pub name: String,
    /// The other words.
    pub words: Vec<Word>,
    /// Where the name begins.
    pub place: Place,
}

impl Line {
    /// Whether it is called so.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }

    /// A word, by number.
    pub fn word(&self, n: usize) -> Option<&str> {
        self.words.get(n).map(|w| w.text.as_str())
    }

    /// It as a text.
    pub fn text(&self) -> String {
        let words = self.words.iter().map(|w| w.text.as_str());
        std::iter::once(self.name.as_str()).chain(words).collect::<Vec<_>>().join(" ")
    }
}

type Input<'a> = LocatingSlice<&'a str>;
type Read<T> = winnow::Result<T, ContextError>;

/// A backslash at the end of a line goes on with the next.
fn continued(input: &mut Input) -> Read<()> {
    ("\\", line_ending).void().parse_next(input)
}

fn blank(input: &mut Input) -> Read<()> {
    repeat(0.., alt((one_of([' ', '\t', '\x0b', '\x0c']).void(), continued))).parse_next(input)
}

fn quoted(quote: char) -> impl FnMut(&mut Input) -> Read<String> {
    move |input| {
        let inside = repeat(
            0..,
            alt((
                continued.value(None),
                preceded('\\', one_of([quote, '\\'])).map(Some),
                none_of([quote, '\n', '\r']).map(Some),
            )),
        )
        .fold(String::new, |mut text, c: Option<char>| {
            text.extend(c);
            text
        });
        delimited(quote, inside, quote).parse_next(input)
    }
}

fn bare(input: &mut Input) -> Read<String> {
    let part = alt((
        take_while(1.., |c: char| !c.is_whitespace() && c != '\\').map(str::to_string),
        // A backslash that does not end the line stands for itself.
        ('\\', winnow::combinator::not(line_ending)).value("\\".to_string()),
    ));
    // What begins with a quote is a quotation or a mistake.
    winnow::combinator::not(one_of(['"', '\''])).parse_next(input)?;
    repeat(1.., part).fold(String::new, |text, part: String| text + &part).parse_next(input)
}

fn word(input: &mut Input) -> Read<(String, usize)> {
    let at = input.current_token_start();
    let text = alt((quoted('"'), quoted('\''), bare)).parse_next(input)?;
    Ok((text, at))
}

type Words = Vec<(String, usize)>;

/// A line that says something; `None` for a comment or an empty one.
fn line(input: &mut Input) -> Read<Option<Words>> {
    blank.parse_next(input)?;
    if opt('#').parse_next(input)?.is_some() {
        // A comment goes on over a continued line, too.
        let _: () = repeat(
            0..,
            alt((
                continued,
                none_of(['\n', '\r', '\\']).void(),
                ('\\', winnow::combinator::not(line_ending)).void(),
            )),
        )
        .parse_next(input)?;
        let _ = till_line_ending.parse_next(input)?;
        return Ok(None);
    }
    let words: Words = repeat(0.., delimited(blank, word, blank)).parse_next(input)?;
    Ok(Some(words).filter(|w| !w.is_empty()))
}

fn lines(input: &mut Input) -> Read<Vec<Words>> {
    let mut all = Vec::new();
    loop {
        all.extend(line.parse_next(input)?);
        if opt(line_ending).parse_next(input)?.is_none() {
            return Ok(all);
        }
    }
}

/// Reads a file's text.
///
/// # Errors
/// The first place at which it is no configuration.
pub fn parse(file: &str, text: &str) -> Result<Vec<Item>, Unreadable> {
    let text = unmarked(text);
    let places = Places::new(file, text);
    let mut input = LocatingSlice::new(text);
    let wrong = |offset: usize, what: &str| Unreadable { place: places.at(offset), what: what.into() };
    let lines = lines.parse_next(&mut input).map_err(|_| wrong(0, "this is no configuration"))?;
    if opt(any::<_, ContextError>).parse_next(&mut input).ok().flatten().is_some() {
        let at = input.current_token_start() - 1;
        let quote = matches!(text.as_bytes().get(at), Some(b'"' | b'\''));
        return Err(wrong(
            at,
            if quote { "a quotation that does not end in its line" } else { "this cannot be read" },
        ));
    }
    // Sections that are open: their first lines and what stands in them so far.
    let mut open: Vec<(Line, Vec<Item>)> = Vec::new();
    let mut top = Vec::new();
    for mut words in lines {
        let (first, at) = words.remove(0);
        let place = places.at(at);
        let words: Vec<Word> =
            words.into_iter().map(|(text, at)| Word { text, place: places.at(at) }).collect();
        if let Some(name) = first.strip_prefix("</") {
            let name = name.strip_suffix('>').unwrap_or(name);
            let Some((line, items)) = open.pop() else {
                return Err(Unreadable { place, what: format!("</{name}> ends nothing") });
            };
            if !line.is(name) {
                let what = format!("</{name}> stands where <{}> of line {} ends", line.name, line.place.line);
                return Err(Unreadable { place, what });
            }
            open.last_mut().map_or(&mut top, |(_, items)| items).push(Item::Section(line, items));
        } else if let Some(name) = first.strip_prefix('<') {
            open.push((section(name, words, place)?, Vec::new()));
        } else {
            let line = Line { name: first, words, place };
            open.last_mut().map_or(&mut top, |(_, items)| items).push(Item::Directive(line));
        }
    }
    match open.pop() {
        Some((line, _)) => {
            let what = format!("<{}> does not end; add </{}>", line.name, line.name);
            Err(Unreadable { place: line.place, what })
        }
        None => Ok(top),
    }
}

/// The first line of a section: its last word ends with `>`.
fn section(name: &str, mut words: Vec<Word>, place: Place) -> Result<Line, Unreadable> {
    let unended = || Unreadable { place: place.clone(), what: format!("<{name} lacks its >") };
    if words.is_empty() {
        let name = name.strip_suffix('>').ok_or_else(unended)?.to_string();
        return Ok(Line { name, words, place });
    }
    if let Some(last) = words.last_mut() {
        last.text = last.text.strip_suffix('>').ok_or_else(unended)?.to_string();
        // What stood in quotes before it is a word of its own.
        if last.text.is_empty() && words.len() > 1 {
            words.pop();
        }
    }
    Ok(Line { name: name.to_string(), words, place })
}

/// Writes items as text again.
pub fn print(items: &[Item]) -> String {
    fn words(line: &Line) -> String {
        let quote = |w: &Word| {
            let plain =
                !w.text.is_empty() && w.text.chars().all(|c| !c.is_whitespace() && !"\"'\\#<>".contains(c));
            match plain {
                true => w.text.clone(),
                false => format!("\"{}\"", w.text.replace('\\', "\\\\").replace('"', "\\\"")),
            }
        };
        line.words.iter().map(|w| format!(" {}", quote(w))).collect()
    }
    fn all(items: &[Item], depth: usize, out: &mut String) {
        let indent = "    ".repeat(depth);
        for item in items {
            // A string takes all that is written to it.
            match item {
                Item::Directive(line) => drop(writeln!(out, "{indent}{}{}", line.name, words(line))),
                Item::Section(line, inside) => {
                    let _ = writeln!(out, "{indent}<{}{}>", line.name, words(line));
                    all(inside, depth + 1, out);
                    let _ = writeln!(out, "{indent}</{}>", line.name);
                }
            }
        }
    }
    let mut out = String::new();
    all(items, 0, &mut out);
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn words_quotes_continuations_and_sections_are_read_with_their_places() {
        let text = "\u{feff}# a comment \\\r\n that goes on\r\nProxyPass \"/a b\" \\\r\n  'http://h/' k=\"v\"\r\n<Location \"/x\">\r\nA\r\n</location>\r\n";
        let items = parse("f", text).unwrap();
        let Item::Directive(pass) = &items[0] else { panic!() };
        assert_eq!(pass.text(), "ProxyPass /a b http://h/ k=\"v\"");
        assert_eq!((pass.place.line, pass.words[1].place.line, pass.words[1].place.column), (3, 4, 3));
        let Item::Section(location, inside) = &items[1] else { panic!() };
        assert!(location.word(0) == Some("/x") && inside.len() == 1);
        for (bad, place, part) in [
            ("<A>\n", "f:1:1", "does not end"),
            ("</A>\n", "f:1:1", "ends nothing"),
            ("<A>\n<B>\n</A>\n", "f:3:1", "<B> of line 2"),
            ("<A b\n</A>", "f:1:1", "lacks its >"),
            ("A\n  B \"open\n", "f:2:5", "quotation"),
        ] {
            let e = parse("f", bad).unwrap_err();
            assert!(e.place.to_string() == place && e.what.contains(part), "{bad:?}: {e}");
        }
    }

    fn item() -> impl Strategy<Value = Item> {
        let place = || Place { file: "f".into(), line: 1, column: 1 };
        let word = "[a-zA-Z0-9/:.$ {}=|!^*\"\\\\-]{0,12}".prop_map(move |text| Word { text, place: place() });
        let line = ("[A-Za-z]{1,9}", prop::collection::vec(word, 0..4));
        let line = line.prop_map(move |(name, words)| Line { name, words, place: place() });
        line.clone().prop_map(Item::Directive).prop_recursive(3, 24, 4, move |inner| {
            (line.clone(), prop::collection::vec(inner, 0..4)).prop_map(|(l, items)| Item::Section(l, items))
        })
    }

    /// Without the places.
    fn bare(items: &[Item]) -> Vec<Item> {
        let place = Place { file: "f".into(), line: 1, column: 1 };
        let line = |l: &Line| Line {
            name: l.name.clone(),
            words: l.words.iter().map(|w| Word { text: w.text.clone(), place: place.clone() }).collect(),
            place: place.clone(),
        };
        let one = |item: &Item| match item {
            Item::Directive(l) => Item::Directive(line(l)),
            Item::Section(l, items) => Item::Section(line(l), bare(items)),
        };
        items.iter().map(one).collect()
    }

    proptest! {
        #[test]
        fn what_is_printed_reads_as_the_same(items in prop::collection::vec(item(), 0..6)) {
            let text = print(&items);
            prop_assert_eq!(bare(&parse("f", &text).unwrap()), bare(&items), "{}", text);
        }

        #[test]
        fn any_text_is_read_or_refused_with_a_place(text in "([ -~\n\r\t\\\\\"'<>#]|Proxy|</?[A-Z]>|balancer://a|\\$\\{X\\}|é){0,60}") {
            if let Err(e) = parse("f", &text) {
                prop_assert!(e.place.line >= 1 && e.place.column >= 1 && !e.what.is_empty());
            }
        }
    }
}
