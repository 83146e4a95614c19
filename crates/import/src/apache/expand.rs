//! What a configuration comes to: includes read in, variables put in, and sections that depend on modules or defines
//! opened or left out.

use super::syntax::{parse, Item, Line};
use crate::account::{Account, Place, Unreadable};
use crate::files::{folder_of, seen_from, Files};
use crate::text::put_in;
use std::collections::BTreeMap;

/// Includes go no deeper.
const DEEPEST: usize = 64;

/// A configuration in one piece.
pub struct Expanded {
    /// All of it.
    pub items: Vec<Item>,
    /// What became of what is gone by now.
    pub account: Account,
}

struct Expander<'a> {
    files: &'a dyn Files,
    defines: BTreeMap<String, String>,
    /// Where relative paths start; else at the file that names them.
    root: Option<String>,
    /// The files that are being read, the outermost first.
    reading: Vec<String>,
    account: Account,
}

/// Reads files with all that they include.
///
/// # Errors
/// A file cannot be read, or includes itself.
pub fn expand(names: &[String], files: &dyn Files) -> Result<Expanded, Unreadable> {
    let mut e = Expander {
        files,
        defines: BTreeMap::new(),
        root: None,
        reading: Vec::new(),
        account: Account::default(),
    };
    let mut items = Vec::new();
    for name in names {
        let place = Place { file: name.as_str().into(), line: 1, column: 1 };
        items.extend(e.file(name, &place)?);
    }
    Ok(Expanded { items, account: e.account })
}

impl Expander<'_> {
    fn file(&mut self, name: &str, from: &Place) -> Result<Vec<Item>, Unreadable> {
        if let Some(at) = self.reading.iter().position(|r| r == name) {
            let ring: Vec<&str> = self.reading[at..].iter().map(String::as_str).chain([name]).collect();
            return Err(Unreadable {
                place: from.clone(),
                what: format!("includes form a ring: {}", ring.join(" -> ")),
            });
        }
        if self.reading.len() >= DEEPEST {
            return Err(Unreadable {
                place: from.clone(),
                what: format!("includes go deeper than {DEEPEST}"),
            });
        }
        let text = self
            .files
            .read(name)
            .map_err(|e| Unreadable { place: from.clone(), what: format!("{name}: {e}") })?;
        self.reading.push(name.to_string());
        let items = parse(name, &text).and_then(|items| self.items(items));
        self.reading.pop();
        items
    }

    fn items(&mut self, items: Vec<Item>) -> Result<Vec<Item>, Unreadable> {
        let mut out = Vec::new();
        for item in items {
            match item {
                Item::Directive(line) => self.directive(line, &mut out)?,
                Item::Section(line, inside) => self.section(line, inside, &mut out)?,
            }
        }
        Ok(out)
    }

    fn directive(&mut self, mut line: Line, out: &mut Vec<Item>) -> Result<(), Unreadable> {
        if line.is("Define") {
            let name = line.word(0).unwrap_or("").to_string();
            let value = self.substitute(line.word(1).unwrap_or(""), &line.place);
            self.defines.insert(name, value);
            return Ok(());
        }
        if line.is("UnDefine") {
            self.defines.remove(line.word(0).unwrap_or(""));
            return Ok(());
        }
        self.words(&mut line);
        if line.is("ServerRoot") {
            self.root = line.word(0).map(String::from);
        }
        if line.is("Include") || line.is("IncludeOptional") {
            let Some(path) = line.word(0) else {
                return Err(Unreadable { place: line.place, what: format!("{} names no file", line.name) });
            };
            let folder = self.root.clone().unwrap_or_else(|| folder_of(&line.place.file));
            let path = seen_from(&folder, path);
            let pattern = path.contains(['*', '?', '[']);
            let wrong = |what: String| Unreadable { place: line.place.clone(), what };
            let mut names = if pattern { self.files.glob(&path).map_err(wrong)? } else { vec![path.clone()] };
            if line.is("IncludeOptional") && !pattern {
                names.retain(|name| self.files.read(name).is_ok());
            } else if names.is_empty() && line.is("Include") {
                let what = format!("no file matches {path}; IncludeOptional would allow that");
                return Err(Unreadable { place: line.place, what });
            }
            for name in names {
                out.extend(self.file(&name, &line.place)?);
            }
            return Ok(());
        }
        out.push(Item::Directive(line));
        Ok(())
    }

    fn section(&mut self, mut line: Line, inside: Vec<Item>, out: &mut Vec<Item>) -> Result<(), Unreadable> {
        self.words(&mut line);
        let condition = line.word(0).unwrap_or("").to_string();
        let (not, name) =
            condition.strip_prefix('!').map_or((false, condition.as_str()), |name| (true, name));
        let holds = if line.is("IfDefine") {
            self.defines.contains_key(name)
        } else if line.is("IfModule") {
            if !known_module(name) {
                let note = "taken as if the module were there";
                self.account.approximated(&line.place, &format!("<{}>", line.text()), note);
            }
            true
        } else {
            let inside = self.items(inside)?;
            out.push(Item::Section(line, inside));
            return Ok(());
        };
        if holds != not {
            out.extend(self.items(inside)?);
        }
        Ok(())
    }

    fn words(&mut self, line: &mut Line) {
        for word in &mut line.words {
            if word.text.contains("${") {
                word.text = self.substitute(&word.text.clone(), &word.place.clone());
            }
        }
    }

    /// Puts values in the place of `${NAME}`; one that is not defined stays, as with Apache.
    fn substitute(&mut self, text: &str, place: &Place) -> String {
        let Expander { defines, account, .. } = self;
        put_in(text, "${", '}', |name| {
            let value = defines.get(name).cloned();
            if value.is_none() {
                let why = "the variable is not defined in these files; it may come from the environment";
                let by_hand = format!("add Define {name} VALUE and import again");
                account.not_carried(place, &format!("${{{name}}}"), why, &by_hand);
            }
            value
        })
    }
}

/// Whether a module is surely there where balancers are in use.
fn known_module(name: &str) -> bool {
    let name = name.trim_start_matches("mod_").trim_end_matches(".c").trim_end_matches("_module");
    name.starts_with("proxy") || name.starts_with("lbmethod") || name.starts_with("slotmem")
}
