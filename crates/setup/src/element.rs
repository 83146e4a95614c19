//! An XML element that keeps account of the attributes that were read, so that all others are mistakes.

use crate::error::Mistake;
use crate::units::ValueError;
use roxmltree::{Document, Node};

/// A name this many edits away from a known one is taken for a typing error.
const MAX_EDIT_DISTANCE: usize = 2;

/// Parses the file.
///
/// # Errors
/// The first place at which it is no XML.
pub fn parse(text: &str) -> Result<Document<'_>, Mistake> {
    Document::parse(text).map_err(|error| {
        let position = error.pos();
        // The position has fields of its own.
        let problem = error.to_string().replace(&format!(" at {}:{}", position.row, position.col), "");
        Mistake {
            line: position.row,
            column: position.col,
            problem,
            advice: "the file must be XML; mend this first".into(),
        }
    })
}

/// An element.
pub struct Element<'a> {
    node: Node<'a, 'a>,
    /// Names of attributes that the element may have.
    known: Vec<&'static str>,
}

impl<'a> Element<'a> {
    /// The outermost one.
    pub fn root(document: &'a Document<'a>, mistakes: &mut Vec<Mistake>) -> Element<'a> {
        let root = Element { node: document.root_element(), known: Vec::new() };
        root.no_namespace(mistakes);
        root
    }

    /// Its name.
    pub fn name(&self) -> &'a str {
        self.node.tag_name().name()
    }

    /// Whether this is its name.
    pub fn is(&self, name: &str) -> bool {
        self.name() == name
    }

    fn mistake(&self, offset: usize, mistakes: &mut Vec<Mistake>, problem: String, advice: String) {
        let position = self.node.document().text_pos_at(offset);
        mistakes.push(Mistake { line: position.row, column: position.col, problem, advice });
    }

    /// Reports a mistake at the element's start.
    pub fn wrong(&self, mistakes: &mut Vec<Mistake>, problem: String, advice: String) {
        self.mistake(self.node.range().start, mistakes, problem, advice);
    }

    /// Reports that the element is none of the known ones.
    pub fn unknown(&self, mistakes: &mut Vec<Mistake>, known: &[&str]) {
        let suggestion = suggest(self.name(), known);
        let advice = format!("what may stand here: {}{suggestion}", known.join(", "));
        self.wrong(mistakes, format!("there is no <{}>", self.name()), advice);
    }

    fn no_namespace(&self, mistakes: &mut Vec<Mistake>) {
        if self.node.tag_name().namespace().is_some() {
            self.wrong(mistakes, format!("<{}> is in a namespace", self.name()), "leave xmlns out".into());
        }
    }

    /// The elements inside it; text between them is a mistake.
    pub fn children(&self, mistakes: &mut Vec<Mistake>) -> Vec<Element<'a>> {
        let mut children = Vec::new();
        for node in self.node.children() {
            if node.is_element() {
                let child = Element { node, known: Vec::new() };
                child.no_namespace(mistakes);
                children.push(child);
            } else if node.is_text() {
                self.no_text(node, mistakes);
            }
        }
        children
    }

    /// Reports text that is more than white space.
    fn no_text(&self, node: Node, mistakes: &mut Vec<Mistake>) {
        let text = node.text().unwrap_or_default();
        let trimmed = text.trim_start();
        if trimmed.is_empty() {
            return;
        }
        let start = node.range().start + text.len() - trimmed.len();
        let problem = format!("text in <{}>", self.name());
        self.mistake(start, mistakes, problem, "say it by elements and attributes".into());
    }

    /// Reports all elements inside it.
    pub fn no_children(&self, mistakes: &mut Vec<Mistake>) {
        for child in self.children(mistakes) {
            let advice = format!("<{}/> holds nothing", self.name());
            child.wrong(mistakes, format!("there is no <{}> here", child.name()), advice);
        }
    }

    /// Reads an attribute into `value` and says whether the attribute is there. A value that cannot be read is a
    /// mistake and leaves `value` as it is.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        mistakes: &mut Vec<Mistake>,
        parse: impl Fn(&str) -> Result<T, ValueError>,
        value: &mut T,
    ) -> bool {
        self.known.push(name);
        let mut attributes = self.node.attributes();
        let Some(attribute) = attributes.find(|a| a.name() == name && a.namespace().is_none()) else {
            return false;
        };
        match parse(attribute.value()) {
            Ok(parsed) => *value = parsed,
            Err(error) => {
                let problem = format!("{name}={:?} cannot be read", attribute.value());
                self.mistake(attribute.range_value().start, mistakes, problem, error.to_string());
            }
        }
        true
    }

    /// Reads an attribute that must be there.
    pub fn need<T>(
        &mut self,
        name: &'static str,
        mistakes: &mut Vec<Mistake>,
        parse: impl Fn(&str) -> Result<T, ValueError>,
        value: &mut T,
    ) {
        if !self.read(name, mistakes, parse, value) {
            self.wrong(mistakes, format!("<{}> lacks {name}", self.name()), format!("add {name}=\"...\""));
        }
    }

    /// Reports all attributes that have not been read.
    pub fn no_more_attributes(&mut self, mistakes: &mut Vec<Mistake>) {
        for attribute in self.node.attributes() {
            let name = attribute.name();
            if attribute.namespace().is_none() && self.known.contains(&name) {
                continue;
            }
            let problem = format!("<{}> has no attribute {name}", self.name());
            let advice = if self.known.is_empty() {
                "it has none".to_string()
            } else {
                format!("it has {}{}", self.known.join(", "), suggest(name, &self.known))
            };
            self.mistake(attribute.range().start, mistakes, problem, advice);
        }
    }
}

/// What may have been meant, if a name is nearly a known one; else nothing.
fn suggest(name: &str, known: &[&str]) -> String {
    let nearest = known.iter().map(|known| (strsim::damerau_levenshtein(name, known), *known)).min();
    match nearest {
        Some((distance, known)) if distance <= MAX_EDIT_DISTANCE => format!("; is {known} meant?"),
        _ => String::new(),
    }
}
