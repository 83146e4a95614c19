//! Expands a configuration: reads included files, substitutes variables, and evaluates the conditional
//! sections `<IfDefine>` and `<IfModule>`.

use super::syntax::{parse, Item, Line};
use crate::account::{ImportReport, Outcome, Position};
use crate::error::{ImportError, ImportProblem};
use crate::files::{directory_of, resolve, FileSource};
use crate::text::substitute;
use std::collections::BTreeMap;

/// The maximum nesting depth of included files.
const MAX_INCLUDE_DEPTH: usize = 64;

/// A configuration in which includes, defined variables and conditional sections have been expanded.
pub struct ExpandedConfig {
    /// The directives and sections.
    pub items: Vec<Item>,
    /// The outcomes of conditional sections and of undefined variables.
    pub report: ImportReport,
}

struct Expander<'a> {
    files: &'a dyn FileSource,
    /// The values of the variables that are set by `Define`.
    defines: BTreeMap<String, String>,
    /// The directory for relative paths, as set by `ServerRoot`; if `None`, the directory of the including
    /// file.
    server_root: Option<String>,
    /// The names of the files that are being read, the outermost first.
    include_stack: Vec<String>,
    report: ImportReport,
}

/// Reads files in order, with all files that they include, and expands them as one configuration.
///
/// # Errors
/// A file cannot be read or parsed, an `Include` directive names or matches no file or has a malformed
/// pattern, files include each other in a cycle, or includes are nested too deeply.
pub fn expand(names: &[String], files: &dyn FileSource) -> Result<ExpandedConfig, ImportError> {
    let mut expander = Expander {
        files,
        defines: BTreeMap::new(),
        server_root: None,
        include_stack: Vec::new(),
        report: ImportReport::default(),
    };
    let mut items = Vec::new();
    for name in names {
        items.extend(expander.read_file(name, &Position::start_of(name))?);
    }
    Ok(ExpandedConfig { items, report: expander.report })
}

impl Expander<'_> {
    /// Reads and expands a file that the directive at `referenced_at` includes.
    fn read_file(&mut self, name: &str, referenced_at: &Position) -> Result<Vec<Item>, ImportError> {
        let error = |problem| ImportError { position: referenced_at.clone(), problem };
        if let Some(first) = self.include_stack.iter().position(|file| file == name) {
            let mut files = self.include_stack[first..].to_vec();
            files.push(name.to_string());
            return Err(error(ImportProblem::CircularInclude { files }));
        }
        if self.include_stack.len() >= MAX_INCLUDE_DEPTH {
            return Err(error(ImportProblem::IncludeDepth { limit: MAX_INCLUDE_DEPTH }));
        }
        let text = self
            .files
            .read(name)
            .map_err(|cause| error(ImportProblem::IncludedFile { name: name.to_string(), cause }))?;
        self.include_stack.push(name.to_string());
        let items = parse(name, &text).and_then(|items| self.expand_items(items));
        self.include_stack.pop();
        items
    }

    fn expand_items(&mut self, items: Vec<Item>) -> Result<Vec<Item>, ImportError> {
        let mut out = Vec::new();
        for item in items {
            match item {
                Item::Directive(line) => self.expand_directive(line, &mut out)?,
                Item::Section(line, children) => self.expand_section(line, children, &mut out)?,
            }
        }
        Ok(out)
    }

    fn expand_directive(&mut self, mut line: Line, out: &mut Vec<Item>) -> Result<(), ImportError> {
        if line.has_name("Define") {
            let name = line.word(0).unwrap_or_default().to_string();
            let value = self.substitute(line.word(1).unwrap_or_default(), &line.position);
            self.defines.insert(name, value);
            return Ok(());
        }
        if line.has_name("UnDefine") {
            self.defines.remove(line.word(0).unwrap_or_default());
            return Ok(());
        }
        self.substitute_words(&mut line);
        if line.has_name("ServerRoot") {
            self.server_root = line.word(0).map(String::from);
        }
        if line.has_name("Include") || line.has_name("IncludeOptional") {
            return self.include(&line, out);
        }
        out.push(Item::Directive(line));
        Ok(())
    }

    fn include(&mut self, line: &Line, out: &mut Vec<Item>) -> Result<(), ImportError> {
        let is_optional = line.has_name("IncludeOptional");
        let error = |problem| ImportError { position: line.position.clone(), problem };
        let Some(path) = line.word(0) else {
            return Err(error(ImportProblem::MissingFileName { directive: line.name.clone() }));
        };
        let directory = match &self.server_root {
            Some(root) => root.clone(),
            None => directory_of(&line.position.file),
        };
        let path = resolve(&directory, path);
        let names = if path.contains(['*', '?', '[']) {
            self.files.glob(&path).map_err(|cause| error(cause.into()))?
        } else if is_optional && self.files.read(&path).is_err() {
            Vec::new()
        } else {
            vec![path.clone()]
        };
        if names.is_empty() && !is_optional {
            return Err(error(ImportProblem::NoMatchingFile { pattern: path }));
        }
        for name in names {
            out.extend(self.read_file(&name, &line.position)?);
        }
        Ok(())
    }

    fn expand_section(
        &mut self,
        mut line: Line,
        children: Vec<Item>,
        out: &mut Vec<Item>,
    ) -> Result<(), ImportError> {
        self.substitute_words(&mut line);
        let condition = line.word(0).unwrap_or_default();
        let (is_negated, name) = match condition.strip_prefix('!') {
            Some(name) => (true, name),
            None => (false, condition),
        };
        let is_true = if line.has_name("IfDefine") {
            self.defines.contains_key(name)
        } else if line.has_name("IfModule") {
            if !is_balancer_module(name) {
                let outcome = Outcome::approximated("the module is assumed to be loaded");
                self.report.add(&line.position, format!("<{}>", line.text()), outcome);
            }
            true
        } else {
            let children = self.expand_items(children)?;
            out.push(Item::Section(line, children));
            return Ok(());
        };
        if is_true != is_negated {
            out.extend(self.expand_items(children)?);
        }
        Ok(())
    }

    /// Substitutes the variables in all words of a line.
    fn substitute_words(&mut self, line: &mut Line) {
        for word in &mut line.words {
            if word.text.contains("${") {
                word.text = self.substitute(&word.text.clone(), &word.position.clone());
            }
        }
    }

    /// Replaces each `${NAME}` by its value. As in Apache, an undefined variable is kept as it is; it is
    /// reported.
    fn substitute(&mut self, text: &str, position: &Position) -> String {
        let Expander { defines, report, .. } = self;
        substitute(text, "${", '}', |name| {
            let value = defines.get(name).cloned();
            if value.is_none() {
                let reason = "the variable is not defined in these files; it may come from the environment";
                let by_hand = format!("add Define {name} VALUE, then import again");
                report.add(position, format!("${{{name}}}"), Outcome::not_carried(reason, by_hand));
            }
            value
        })
    }
}

/// Returns whether a module belongs to Apache's balancers, so that it can be assumed to be loaded without a
/// note in the report.
fn is_balancer_module(name: &str) -> bool {
    let name = name.trim_start_matches("mod_").trim_end_matches(".c").trim_end_matches("_module");
    name.starts_with("proxy") || name.starts_with("lbmethod") || name.starts_with("slotmem")
}
