//! An element of the file with what was read of it, so that what nobody asked for is a mistake.

use crate::Mistake;
use roxmltree::{Document, Node};

/// The file as a tree.
///
/// # Errors
/// The first place at which it is no XML.
pub fn parse(text: &str) -> Result<Document<'_>, Mistake> {
    Document::parse(text).map_err(|e| {
        let at = e.pos();
        // The place is said already.
        let what = e.to_string().replace(&format!(" at {}:{}", at.row, at.col), "");
        Mistake {
            line: at.row,
            column: at.col,
            what,
            instead: "the file must be XML; mend this first".into(),
        }
    })
}

/// An element.
pub struct Element<'a> {
    node: Node<'a, 'a>,
    read: Vec<&'static str>,
}

impl<'a> Element<'a> {
    /// The outermost one.
    pub fn root(document: &'a Document<'a>, mistakes: &mut Vec<Mistake>) -> Element<'a> {
        let root = Element { node: document.root_element(), read: Vec::new() };
        root.no_namespace(mistakes);
        root
    }

    /// Its name.
    pub fn name(&self) -> &'a str {
        self.node.tag_name().name()
    }

    /// Whether it is called so.
    pub fn is(&self, name: &str) -> bool {
        self.name() == name
    }

    fn at(&self, offset: usize) -> (u32, u32) {
        let at = self.node.document().text_pos_at(offset);
        (at.row, at.col)
    }

    fn mistake(&self, offset: usize, mistakes: &mut Vec<Mistake>, what: String, instead: String) {
        let (line, column) = self.at(offset);
        mistakes.push(Mistake { line, column, what, instead });
    }

    /// Something is wrong with it as a whole.
    pub fn wrong(&self, mistakes: &mut Vec<Mistake>, what: String, instead: String) {
        self.mistake(self.node.range().start, mistakes, what, instead);
    }

    /// It is none of those that may stand here.
    pub fn unknown(&self, mistakes: &mut Vec<Mistake>, known: &[&str]) {
        let instead = format!("what may stand here: {}{}", list(known), nearest(self.name(), known));
        self.wrong(mistakes, format!("there is no <{}>", self.name()), instead);
    }

    fn no_namespace(&self, mistakes: &mut Vec<Mistake>) {
        if self.node.tag_name().namespace().is_some() {
            self.wrong(mistakes, format!("<{}> is in a namespace", self.name()), "leave xmlns out".into());
        }
    }

    /// The elements in it; text between them is a mistake.
    pub fn children(&self, mistakes: &mut Vec<Mistake>) -> Vec<Element<'a>> {
        let mut children = Vec::new();
        for node in self.node.children() {
            if node.is_element() {
                let child = Element { node, read: Vec::new() };
                child.no_namespace(mistakes);
                children.push(child);
            } else if let Some(text) = node.text().filter(|t| node.is_text() && !t.trim().is_empty()) {
                let start = node.range().start + text.len() - text.trim_start().len();
                let what = format!("text in <{}>", self.name());
                self.mistake(start, mistakes, what, "say it by elements and attributes".into());
            }
        }
        children
    }

    /// Nothing may be in it.
    pub fn no_children(&self, mistakes: &mut Vec<Mistake>) {
        for child in self.children(mistakes) {
            let instead = format!("<{}/> holds nothing", self.name());
            child.wrong(mistakes, format!("there is no <{}> here", child.name()), instead);
        }
    }

    /// Reads an attribute, if it is there.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        mistakes: &mut Vec<Mistake>,
        read: impl Fn(&str) -> Result<T, String>,
        value: &mut T,
    ) -> bool {
        self.read.push(name);
        let Some(attribute) = self.node.attributes().find(|a| a.name() == name && a.namespace().is_none())
        else {
            return false;
        };
        match read(attribute.value()) {
            Ok(new) => *value = new,
            Err(instead) => {
                let what = format!("{name}={:?} cannot be read", attribute.value());
                self.mistake(attribute.range_value().start, mistakes, what, instead);
            }
        }
        true
    }

    /// Reads an attribute that must be there.
    pub fn need<T>(
        &mut self,
        name: &'static str,
        mistakes: &mut Vec<Mistake>,
        read: impl Fn(&str) -> Result<T, String>,
        value: &mut T,
    ) {
        if !self.read(name, mistakes, read, value) {
            self.wrong(mistakes, format!("<{}> lacks {name}", self.name()), format!("add {name}=\"...\""));
        }
    }

    /// All attributes have been read; others are mistakes.
    pub fn no_more_attributes(&mut self, mistakes: &mut Vec<Mistake>) {
        for attribute in self.node.attributes() {
            if attribute.namespace().is_some() || !self.read.contains(&attribute.name()) {
                let what = format!("<{}> has no attribute {}", self.name(), attribute.name());
                let known = match self.read.is_empty() {
                    true => "it has none".to_string(),
                    false => format!("it has {}{}", list(&self.read), nearest(attribute.name(), &self.read)),
                };
                self.mistake(attribute.range().start, mistakes, what, known);
            }
        }
    }
}

fn list(names: &[&str]) -> String {
    names.join(", ")
}

/// What may have been meant, if a name is nearly one that is known.
fn nearest(name: &str, known: &[&str]) -> String {
    let close = known.iter().map(|k| (strsim::damerau_levenshtein(name, k), *k)).min();
    match close {
        Some((distance, k)) if distance <= 2 => format!("; is {k} meant?"),
        _ => String::new(),
    }
}
