//! Reading settings with the place of each error.

use std::collections::BTreeSet;
use std::fmt;

use roxmltree::{Document, Node, TextPos};

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// Line, from 1.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
    /// What is wrong, and what is wanted.
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Collects errors, so that one check tells of all.
#[derive(Debug, Default)]
pub struct Errors(pub Vec<Wrong>);

/// An element and which of its attributes were read.
pub struct Element<'a, 'i> {
    node: Node<'a, 'i>,
    read: BTreeSet<&'static str>,
}

/// A value that an attribute can hold.
pub trait Value: Sized {
    /// Reads it, or says what is wanted.
    fn read(text: &str) -> Result<Self, String>;
}

impl<'a, 'i> Element<'a, 'i> {
    /// Around a node, with nothing read.
    pub fn new(node: Node<'a, 'i>) -> Self {
        Self { node, read: BTreeSet::new() }
    }

    fn at(&self, name: Option<&str>) -> TextPos {
        let attribute = name.and_then(|n| self.node.attribute_node(n));
        let offset = attribute.map_or(self.node.range().start, |a| a.range().start);
        self.node.document().text_pos_at(offset)
    }

    /// Notes an error at an attribute, or at the element.
    pub fn wrong(&self, attribute: Option<&str>, what: impl Into<String>, errors: &mut Errors) {
        let pos = self.at(attribute);
        errors.0.push(Wrong { line: pos.row, column: pos.col, what: what.into() });
    }

    /// An attribute that may be left out.
    pub fn maybe<T: Value>(&mut self, name: &'static str, errors: &mut Errors) -> Option<T> {
        self.read.insert(name);
        let text = self.node.attribute(name)?;
        match T::read(text) {
            Ok(value) => Some(value),
            Err(wanted) => {
                let tag = self.node.tag_name().name();
                self.wrong(Some(name), format!("<{tag}> {name}=\"{text}\": {wanted}"), errors);
                None
            }
        }
    }

    /// An attribute with a default.
    pub fn or<T: Value>(&mut self, name: &'static str, default: T, errors: &mut Errors) -> T {
        self.maybe(name, errors).unwrap_or(default)
    }

    /// An attribute that must be there; the stand-in is used only to find further errors.
    pub fn must<T: Value>(&mut self, name: &'static str, stand_in: T, errors: &mut Errors) -> T {
        if self.node.attribute(name).is_none() {
            let tag = self.node.tag_name().name();
            self.wrong(None, format!("<{tag}> needs the attribute `{name}`"), errors);
        }
        self.or(name, stand_in, errors)
    }

    /// The children, each of which must have one of these names.
    pub fn children(&self, names: &[&str], errors: &mut Errors) -> Vec<Element<'a, 'i>> {
        let mut out = Vec::new();
        for child in self.node.children().filter(|c| c.is_element()) {
            let (tag, element) = (child.tag_name().name(), Element::new(child));
            if names.contains(&tag) {
                out.push(element);
            } else {
                let known = if names.is_empty() { "no elements".into() } else { names.join(", ") };
                let inside = self.node.tag_name().name();
                element.wrong(
                    None,
                    format!("<{tag}> is not known in <{inside}>, which takes {known}"),
                    errors,
                );
            }
        }
        out
    }

    /// Its tag.
    pub fn tag(&self) -> &'a str {
        self.node.tag_name().name()
    }

    /// Tells of attributes that nobody read.
    pub fn done(&self, errors: &mut Errors) {
        for a in self.node.attributes().filter(|a| !self.read.contains(a.name())) {
            let known: Vec<&str> = self.read.iter().copied().collect();
            let tag = self.tag();
            let what = format!("<{tag}> has no attribute `{}`; it takes {}", a.name(), known.join(", "));
            self.wrong(Some(a.name()), what, errors);
        }
    }
}

/// Parses a document; the error has its place.
pub fn parse(text: &str) -> Result<Document<'_>, Wrong> {
    Document::parse(text).map_err(|e| {
        let pos = e.pos();
        Wrong { line: pos.row, column: pos.col, what: e.to_string() }
    })
}
