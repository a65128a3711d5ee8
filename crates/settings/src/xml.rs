//! Typed access to elements and attributes; every error is recorded with its position.

use roxmltree::{Document, Node, TextPos};
use std::collections::BTreeSet;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {message}")]
pub struct SettingsError {
    /// Line, counted from 1.
    pub line: u32,
    /// Column, counted from 1.
    pub column: u32,
    /// The fault and the expected content.
    pub message: String,
}

/// An invalid attribute value; the text describes the expected form.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ValueError(String);

impl From<&str> for ValueError {
    fn from(expected: &str) -> Self {
        Self(expected.into())
    }
}

impl From<String> for ValueError {
    fn from(expected: String) -> Self {
        Self(expected)
    }
}

/// Collects the errors of a file, so that one run reports all of them.
#[derive(Debug, Default)]
pub struct Errors(pub Vec<SettingsError>);

/// An element and the names of the attributes that were read from it.
pub struct Element<'a, 'i> {
    node: Node<'a, 'i>,
    read: BTreeSet<&'static str>,
}

/// A type of attribute value.
pub trait Value: Sized {
    /// Parses a value.
    ///
    /// # Errors
    /// The text is not of this type; the error describes the expected form.
    fn parse(text: &str) -> Result<Self, ValueError>;
}

impl<'a, 'i> Element<'a, 'i> {
    /// Wraps a node; none of its attributes counts as read.
    pub fn new(node: Node<'a, 'i>) -> Self {
        Self { node, read: BTreeSet::new() }
    }

    /// Returns the position of an attribute, or of the element.
    fn position(&self, attribute: Option<&str>) -> TextPos {
        let attribute = attribute.and_then(|name| self.node.attribute_node(name));
        let offset = attribute.map_or(self.node.range().start, |attribute| attribute.range().start);
        self.node.document().text_pos_at(offset)
    }

    /// Records an error at the position of an attribute, or of the element.
    pub fn report(&self, attribute: Option<&str>, message: impl Into<String>, errors: &mut Errors) {
        let position = self.position(attribute);
        let error = SettingsError { line: position.row, column: position.col, message: message.into() };
        errors.0.push(error);
    }

    /// Reads an optional attribute; an invalid value is reported and yields `None`.
    pub fn optional<T: Value>(&mut self, name: &'static str, errors: &mut Errors) -> Option<T> {
        self.read.insert(name);
        let text = self.node.attribute(name)?;
        match T::parse(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                let tag = self.tag();
                self.report(Some(name), format!("<{tag}> {name}=\"{text}\": {expected}"), errors);
                None
            }
        }
    }

    /// Reads an attribute with a default.
    pub fn with_default<T: Value>(&mut self, name: &'static str, default: T, errors: &mut Errors) -> T {
        self.optional(name, errors).unwrap_or(default)
    }

    /// Reads a required attribute. A missing one is reported, and the placeholder lets validation continue.
    pub fn required<T: Value>(&mut self, name: &'static str, placeholder: T, errors: &mut Errors) -> T {
        if self.node.attribute(name).is_none() {
            let tag = self.tag();
            self.report(None, format!("<{tag}> requires the attribute `{name}`"), errors);
        }
        self.with_default(name, placeholder, errors)
    }

    /// Returns the child elements with these tags; reports all others.
    pub fn children(&self, tags: &[&str], errors: &mut Errors) -> Vec<Element<'a, 'i>> {
        let mut children = Vec::new();
        for child in self.node.children().filter(|c| c.is_element()) {
            let element = Element::new(child);
            let tag = element.tag();
            if tags.contains(&tag) {
                children.push(element);
            } else {
                let allowed = if tags.is_empty() { "no elements".into() } else { tags.join(", ") };
                let parent = self.tag();
                element.report(
                    None,
                    format!("unknown element <{tag}> in <{parent}>; allowed: {allowed}"),
                    errors,
                );
            }
        }
        children
    }

    /// Returns the tag without its namespace.
    pub fn tag(&self) -> &'a str {
        self.node.tag_name().name()
    }

    /// Reports attributes that were not read, as unknown.
    pub fn finish(&self, errors: &mut Errors) {
        let unknown = self.node.attributes().filter(|attribute| !self.read.contains(attribute.name()));
        for attribute in unknown {
            let name = attribute.name();
            let allowed: Vec<&str> = self.read.iter().copied().collect();
            let message =
                format!("unknown attribute `{name}` of <{}>; allowed: {}", self.tag(), allowed.join(", "));
            self.report(Some(name), message, errors);
        }
    }
}

/// Parses a document.
///
/// # Errors
/// The document is not well-formed XML.
pub fn parse(text: &str) -> Result<Document<'_>, SettingsError> {
    Document::parse(text).map_err(|e| {
        let position = e.pos();
        SettingsError { line: position.row, column: position.col, message: e.to_string() }
    })
}
