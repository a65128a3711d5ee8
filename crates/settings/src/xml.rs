//! Reads elements and attributes, and records every error with its position.

use roxmltree::{Document, Node, TextPos};
use std::collections::BTreeSet;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {message}")]
pub struct SettingsError {
    /// Line, from 1.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
    /// What is wrong, and what is expected.
    pub message: String,
}

/// The value of an attribute that is not of its type: what is expected instead.
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

/// Collects errors, so that one check reports all of them.
#[derive(Debug, Default)]
pub struct Errors(pub Vec<SettingsError>);

/// An element, and which of its attributes were read.
pub struct Element<'a, 'i> {
    node: Node<'a, 'i>,
    read: BTreeSet<&'static str>,
}

/// A type of attribute values.
pub trait Value: Sized {
    /// Parses a value.
    ///
    /// # Errors
    /// What is expected instead.
    fn parse(text: &str) -> Result<Self, ValueError>;
}

impl<'a, 'i> Element<'a, 'i> {
    /// An element none of whose attributes was read yet.
    pub fn new(node: Node<'a, 'i>) -> Self {
        Self { node, read: BTreeSet::new() }
    }

    /// The position of an attribute, or of the element.
    fn position(&self, attribute: Option<&str>) -> TextPos {
        let attribute = attribute.and_then(|name| self.node.attribute_node(name));
        let offset = attribute.map_or(self.node.range().start, |attribute| attribute.range().start);
        self.node.document().text_pos_at(offset)
    }

    /// Records an error at an attribute, or at the element.
    pub fn report(&self, attribute: Option<&str>, message: impl Into<String>, errors: &mut Errors) {
        let position = self.position(attribute);
        let error = SettingsError { line: position.row, column: position.col, message: message.into() };
        errors.0.push(error);
    }

    /// An attribute that may be missing.
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

    /// An attribute with a default.
    pub fn with_default<T: Value>(&mut self, name: &'static str, default: T, errors: &mut Errors) -> T {
        self.optional(name, errors).unwrap_or(default)
    }

    /// An attribute that must be present; the placeholder only serves to find further errors.
    pub fn required<T: Value>(&mut self, name: &'static str, placeholder: T, errors: &mut Errors) -> T {
        if self.node.attribute(name).is_none() {
            let tag = self.tag();
            self.report(None, format!("<{tag}> needs the attribute `{name}`"), errors);
        }
        self.with_default(name, placeholder, errors)
    }

    /// The child elements, each of which must have one of these tags.
    pub fn children(&self, tags: &[&str], errors: &mut Errors) -> Vec<Element<'a, 'i>> {
        let mut children = Vec::new();
        for child in self.node.children().filter(|c| c.is_element()) {
            let element = Element::new(child);
            let tag = element.tag();
            if tags.contains(&tag) {
                children.push(element);
            } else {
                let known = if tags.is_empty() { "no elements".into() } else { tags.join(", ") };
                let parent = self.tag();
                element.report(
                    None,
                    format!("<{tag}> is not known in <{parent}>, which takes {known}"),
                    errors,
                );
            }
        }
        children
    }

    /// The tag.
    pub fn tag(&self) -> &'a str {
        self.node.tag_name().name()
    }

    /// Reports attributes that were not read: the element does not have them.
    pub fn finish(&self, errors: &mut Errors) {
        let unknown = self.node.attributes().filter(|attribute| !self.read.contains(attribute.name()));
        for attribute in unknown {
            let name = attribute.name();
            let known: Vec<&str> = self.read.iter().copied().collect();
            let message =
                format!("<{}> has no attribute `{name}`; it takes {}", self.tag(), known.join(", "));
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
