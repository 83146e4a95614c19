//! The syntax of `workers.properties` and `uriworkermap.properties`: lines of `key=value`, each with its place.

use crate::account::{Place, Unreadable};
use crate::text::{put_in, unmarked, Places};
use winnow::ascii::{line_ending, space0, till_line_ending};
use winnow::combinator::{opt, preceded};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::take_while;

/// `key=value`.
#[derive(Clone, Debug, PartialEq)]
pub struct Property {
    /// What stands before the first `=`.
    pub key: String,
    /// What stands behind it.
    pub value: String,
    /// Where the key begins.
    pub place: Place,
}

type Input<'a> = LocatingSlice<&'a str>;
type Read<T> = winnow::Result<T, ContextError>;

/// What a line brings.
enum Found<'a> {
    Nothing,
    /// Key, value and where the key begins.
    Pair(&'a str, &'a str, usize),
    /// A line that is none, and where it begins.
    Bad(usize),
}

fn line<'a>(input: &mut Input<'a>) -> Read<Found<'a>> {
    space0.parse_next(input)?;
    if opt('#').parse_next(input)?.is_some() {
        return till_line_ending.map(|_| Found::Nothing).parse_next(input);
    }
    let at = input.current_token_start();
    let key: &str = take_while(0.., |c: char| c != '=' && c != '\n' && c != '\r').parse_next(input)?;
    let value = opt(preceded('=', till_line_ending)).parse_next(input)?;
    Ok(match value {
        Some(value) if !key.trim().is_empty() => Found::Pair(key.trim(), value.trim(), at),
        None if key.trim().is_empty() => Found::Nothing,
        _ => Found::Bad(at),
    })
}

fn lines(file: &str, text: &str) -> Result<Vec<Property>, Unreadable> {
    let text = unmarked(text);
    let places = Places::new(file, text);
    let mut input = LocatingSlice::new(text);
    let mut all = Vec::new();
    loop {
        let at = input.current_token_start();
        match line.parse_next(&mut input) {
            Ok(Found::Nothing) => {}
            Ok(Found::Pair(key, value, at)) => {
                all.push(Property { key: key.into(), value: value.into(), place: places.at(at) });
            }
            Ok(Found::Bad(at)) => {
                return Err(Unreadable {
                    place: places.at(at),
                    what: "write KEY=VALUE, or # before a comment".into(),
                })
            }
            Err(_) => {
                return Err(Unreadable { place: places.at(at), what: "this line cannot be read".into() })
            }
        }
        let ended: Read<_> = opt(line_ending).parse_next(&mut input);
        match ended {
            Ok(Some(_)) => {}
            // A carriage return by itself is white space.
            _ if input.starts_with('\r') => {
                let _: Read<_> = take_while(1.., '\r').parse_next(&mut input);
            }
            _ => return Ok(all),
        }
    }
}

/// Reads a worker file; the values of earlier properties are put in for `$(NAME)`.
///
/// # Errors
/// The first line that is none.
pub fn properties(file: &str, text: &str) -> Result<Vec<Property>, Unreadable> {
    let mut all = lines(file, text)?;
    for n in 0..all.len() {
        let (before, rest) = all.split_at_mut(n);
        let earlier = |name: &str| before.iter().rfind(|p| p.key == name).map(|p| p.value.clone());
        rest[0].value = put_in(&rest[0].value, "$(", ')', earlier);
    }
    Ok(all)
}

/// Writes properties as text again.
pub fn print(properties: &[Property]) -> String {
    properties.iter().map(|p| format!("{}={}\n", p.key, p.value)).collect()
}

/// A line of a URI map.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The paths that it speaks of: `/app|/*` is two.
    pub patterns: Vec<String>,
    /// It takes requests out again.
    pub except: bool,
    /// It is switched off.
    pub off: bool,
    /// The worker, or `*` for all.
    pub worker: String,
    /// What stands behind semicolons.
    pub extensions: Vec<String>,
    /// The line as it stands.
    pub text: String,
    /// Where it begins.
    pub place: Place,
}

/// Reads a URI map.
///
/// # Errors
/// The first line that is none.
pub fn map(file: &str, text: &str) -> Result<Vec<Rule>, Unreadable> {
    let rule = |p: Property| {
        let text = format!("{}={}", p.key, p.value);
        let (mut key, mut except, mut off) = (p.key.as_str(), false, false);
        loop {
            if let Some(rest) = key.strip_prefix('!') {
                (key, except) = (rest, true);
            } else if let Some(rest) = key.strip_prefix('-') {
                (key, off) = (rest, true);
            } else {
                break;
            }
        }
        let patterns = match key.split_once('|') {
            Some((path, more)) => vec![path.to_string(), format!("{path}{more}")],
            None => vec![key.to_string()],
        };
        let mut parts = p.value.split(';').map(|t| t.trim().to_string());
        let worker = parts.next().unwrap_or_default();
        let extensions = parts.filter(|t| !t.is_empty()).collect();
        Rule { patterns, except, off, worker, extensions, text, place: p.place }
    };
    Ok(lines(file, text)?.into_iter().map(rule).collect())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn lines_comments_variables_and_places_are_read() {
        let text = "\u{feff}# c\r\n host = h1\r\n\r\nworker.a.host=$(host).$(none)\r\n";
        let all = properties("w", text).unwrap();
        let shown: Vec<String> = all.iter().map(|p| format!("{} {}={}", p.place, p.key, p.value)).collect();
        assert_eq!(shown, ["w:2:2 host=h1", "w:4:1 worker.a.host=h1.$(none)"]);
        let e = properties("w", "a=b\n  nothing\n").unwrap_err();
        assert_eq!(e.to_string(), "w:2:3: write KEY=VALUE, or # before a comment");
        let rules = map("m", "/a|/*=w;use_server_errors=500\n!/a/*.gif=*\n-/b=w\n").unwrap();
        assert_eq!((rules[0].patterns.join(" "), rules[0].extensions.len()), ("/a /a/*".to_string(), 1));
        assert!(rules[1].except && rules[1].worker == "*" && rules[2].off && !rules[2].except);
    }

    proptest! {
        #[test]
        fn what_is_printed_reads_as_the_same(pairs in prop::collection::vec(("[a-z][a-z.]{0,9}", "[a-z0-9/:,*]{0,9}"), 0..9)) {
            let place = || Place { file: "f".into(), line: 1, column: 1 };
            let all: Vec<Property> =
                pairs.into_iter().map(|(key, value)| Property { key, value, place: place() }).collect();
            let again = properties("f", &print(&all)).unwrap();
            let bare: Vec<Property> = again.into_iter().map(|p| Property { place: place(), ..p }).collect();
            prop_assert_eq!(bare, all);
        }

        #[test]
        fn any_text_is_read_or_refused_with_a_place(text in "([ -~\n\r\t]|worker\\.|\\$\\(|\\)|é){0,60}") {
            for read in [properties("f", &text).err(), map("f", &text).err()].into_iter().flatten() {
                prop_assert!(read.place.line >= 1 && read.place.column >= 1);
            }
        }
    }
}
