//! Access to XML elements. An [`Element`] records the names of the attributes that are read from it, so that
//! all other attributes can be reported as unknown.

use crate::error::Diagnostic;
use crate::units::ValueError;
use roxmltree::{Document, Node};

/// The maximum edit distance at which a known name is suggested in place of an unknown one.
const MAX_EDIT_DISTANCE: usize = 2;

/// Parses an XML document.
///
/// # Errors
/// The first syntax error in the document.
pub fn parse(text: &str) -> Result<Document<'_>, Diagnostic> {
    Document::parse(text).map_err(|error| {
        let position = error.pos();
        // The position is removed from the message, as the diagnostic has it in fields of its own.
        let message = error.to_string().replace(&format!(" at {}:{}", position.row, position.col), "");
        Diagnostic {
            line: position.row,
            column: position.col,
            message,
            help: "fix this XML syntax error first".into(),
        }
    })
}

/// An XML element.
pub struct Element<'a> {
    node: Node<'a, 'a>,
    /// The names of the attributes that have been read, whether they are present or not.
    known_attributes: Vec<&'static str>,
}

impl<'a> Element<'a> {
    /// Returns the root element and reports an error if it has a namespace.
    pub fn root(document: &'a Document<'a>, diagnostics: &mut Vec<Diagnostic>) -> Element<'a> {
        let root = Element { node: document.root_element(), known_attributes: Vec::new() };
        root.check_no_namespace(diagnostics);
        root
    }

    /// Returns the name without a namespace prefix.
    pub fn name(&self) -> &'a str {
        self.node.tag_name().name()
    }

    pub fn has_name(&self, name: &str) -> bool {
        self.name() == name
    }

    /// Reports an error at a byte offset in the document.
    fn report_at(&self, offset: usize, diagnostics: &mut Vec<Diagnostic>, message: String, help: String) {
        let position = self.node.document().text_pos_at(offset);
        diagnostics.push(Diagnostic { line: position.row, column: position.col, message, help });
    }

    /// Reports an error at the start of the element.
    pub fn report(&self, diagnostics: &mut Vec<Diagnostic>, message: String, help: String) {
        self.report_at(self.node.range().start, diagnostics, message, help);
    }

    /// Reports that the element is not one of the `known` elements that are allowed at its position.
    pub fn report_unknown(&self, diagnostics: &mut Vec<Diagnostic>, known: &[&str]) {
        let suggestion = suggest(self.name(), known);
        let help = format!("expected one of: {}{suggestion}", known.join(", "));
        self.report(diagnostics, format!("unknown element <{}>", self.name()), help);
    }

    fn check_no_namespace(&self, diagnostics: &mut Vec<Diagnostic>) {
        if self.node.tag_name().namespace().is_some() {
            self.report(
                diagnostics,
                format!("element <{}> has a namespace", self.name()),
                "remove xmlns".into(),
            );
        }
    }

    /// Returns the child elements. Reports an error for each text between them that is not only white space,
    /// and for each namespace.
    pub fn children(&self, diagnostics: &mut Vec<Diagnostic>) -> Vec<Element<'a>> {
        let mut children = Vec::new();
        for node in self.node.children() {
            if node.is_element() {
                let child = Element { node, known_attributes: Vec::new() };
                child.check_no_namespace(diagnostics);
                children.push(child);
            } else if node.is_text() {
                self.check_no_text(node, diagnostics);
            }
        }
        children
    }

    /// Reports an error if a text node has characters other than white space.
    fn check_no_text(&self, node: Node, diagnostics: &mut Vec<Diagnostic>) {
        let text = node.text().unwrap_or_default();
        let trimmed = text.trim_start();
        if trimmed.is_empty() {
            return;
        }
        let start = node.range().start + text.len() - trimmed.len();
        let message = format!("unexpected text in <{}>", self.name());
        self.report_at(start, diagnostics, message, "use only elements and attributes".into());
    }

    /// Reports an error for each child element and each text that is not only white space, as the element
    /// must be empty.
    pub fn check_no_children(&self, diagnostics: &mut Vec<Diagnostic>) {
        for child in self.children(diagnostics) {
            let help = format!("<{}> must be empty", self.name());
            child.report(diagnostics, format!("unexpected element <{}>", child.name()), help);
        }
    }

    /// Reads an attribute into `value` and returns whether the attribute is present. If its value is invalid,
    /// reports an error and leaves `value` unchanged.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        diagnostics: &mut Vec<Diagnostic>,
        parse: impl Fn(&str) -> Result<T, ValueError>,
        value: &mut T,
    ) -> bool {
        self.known_attributes.push(name);
        let mut attributes = self.node.attributes();
        let Some(attribute) =
            attributes.find(|attribute| attribute.name() == name && attribute.namespace().is_none())
        else {
            return false;
        };
        match parse(attribute.value()) {
            Ok(parsed) => *value = parsed,
            Err(error) => {
                let message = format!("{name}={:?} cannot be read", attribute.value());
                self.report_at(attribute.range_value().start, diagnostics, message, error.to_string());
            }
        }
        true
    }

    /// Reads a required attribute and reports an error if it is missing.
    pub fn read_required<T>(
        &mut self,
        name: &'static str,
        diagnostics: &mut Vec<Diagnostic>,
        parse: impl Fn(&str) -> Result<T, ValueError>,
        value: &mut T,
    ) {
        if !self.read(name, diagnostics, parse, value) {
            self.report(
                diagnostics,
                format!("missing attribute {name} in <{}>", self.name()),
                format!("add {name}=\"...\""),
            );
        }
    }

    /// Reports each attribute that [`Element::read`] has not been called for. Must follow all these calls.
    pub fn check_no_unknown_attributes(&mut self, diagnostics: &mut Vec<Diagnostic>) {
        for attribute in self.node.attributes() {
            let name = attribute.name();
            if attribute.namespace().is_none() && self.known_attributes.contains(&name) {
                continue;
            }
            let message = format!("unknown attribute {name} in <{}>", self.name());
            let help = if self.known_attributes.is_empty() {
                format!("<{}> has no attributes", self.name())
            } else {
                format!(
                    "known attributes: {}{}",
                    self.known_attributes.join(", "),
                    suggest(name, &self.known_attributes)
                )
            };
            self.report_at(attribute.range().start, diagnostics, message, help);
        }
    }
}

/// Returns a suggestion if `name` is similar to a known name; otherwise an empty string.
fn suggest(name: &str, known: &[&str]) -> String {
    let nearest =
        known.iter().map(|candidate| (strsim::damerau_levenshtein(name, candidate), *candidate)).min();
    match nearest {
        Some((distance, nearest)) if distance <= MAX_EDIT_DISTANCE => format!("; did you mean {nearest}?"),
        _ => String::new(),
    }
}
