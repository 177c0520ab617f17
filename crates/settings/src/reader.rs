//! Reader for JSON with comments that collects all errors with their line and column.

use std::cell::RefCell;
use std::fmt;
use std::str::FromStr;

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the settings file.
    pub file: String,
    /// Line, from 1; 0 if the file could not be read.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            message,
        } = self;
        match line {
            0 => write!(f, "{file}: {message}"),
            _ => write!(f, "{file}:{line}:{column}: {message}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Result of reading a file: its content, or all errors in the order of their position.
pub type Result<T> = std::result::Result<T, Vec<SettingsError>>;

/// Collects errors with their position in the text.
pub struct ErrorCollector<'a> {
    file: &'a str,
    text: &'a str,
    errors: RefCell<Vec<(usize, String)>>,
}

impl<'a> ErrorCollector<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            errors: RefCell::new(Vec::new()),
        }
    }

    /// Adds an error at the start of this range.
    pub fn add(&self, range: Range, message: impl Into<String>) {
        self.errors.borrow_mut().push((range.start, message.into()));
    }

    fn into_errors(self) -> Vec<SettingsError> {
        let mut errors = self.errors.take();
        errors.sort();
        let errors = errors.into_iter();
        errors
            .map(|(offset, message)| {
                let (line, column) = line_and_column(self.text, offset);
                SettingsError {
                    file: self.file.to_owned(),
                    line,
                    column,
                    message,
                }
            })
            .collect()
    }
}

/// Converts a byte offset to a line and a column, both from 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}

/// Returns the syntax that is accepted: strict JSON plus comments and trailing commas.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Parses a file and decodes its top-level object. The decoder reports errors through its section;
/// its result is returned only if there are none.
pub fn read<T>(
    file: &str,
    text: &str,
    decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
) -> Result<T> {
    let collector = ErrorCollector::new(file, text);
    let decoded = match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => match &parsed.value {
            Some(Value::Object(object)) => {
                let section = Section::new(object, &collector);
                let decoded = decode(&section);
                section.report_unknown_keys();
                decoded
            }
            other => {
                let range = other.as_ref().map_or(Range::new(0, 0), |v| v.range());
                collector.add(range, "expected an object");
                None
            }
        },
        Err(e) => {
            collector.add(e.range(), e.kind().to_string());
            None
        }
    };
    let errors = collector.into_errors();
    match decoded {
        Some(decoded) if errors.is_empty() => Ok(decoded),
        _ => Err(errors),
    }
}

/// One object of the file, with the keys that were read from it.
pub struct Section<'a, 't> {
    object: &'a Object<'t>,
    collector: &'a ErrorCollector<'a>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a, 't> Section<'a, 't> {
    fn new(object: &'a Object<'t>, collector: &'a ErrorCollector<'a>) -> Self {
        Self {
            object,
            collector,
            known: RefCell::new(Vec::new()),
        }
    }

    /// Reports an error at the start of the object.
    pub fn report(&self, message: impl Into<String>) {
        self.collector.add(self.object.range, message);
    }

    /// Reports an error at the value of a key, or at the object if the key is missing.
    pub fn report_at(&self, key: &'static str, message: impl Into<String>) {
        let value = self.object.get(key).map(|prop| prop.value.range());
        self.collector
            .add(value.unwrap_or(self.object.range), message);
    }

    /// Reports an error if the value is its type's default, which is zero.
    pub fn report_zero<T: Default + PartialEq>(&self, key: &'static str, value: &T) {
        if *value == T::default() {
            self.report_at(key, format!("{key:?} must be above 0"));
        }
    }

    /// Reports an error if the list is empty.
    pub fn report_empty<T>(&self, key: &'static str, list: &[T]) {
        if list.is_empty() {
            self.report_at(key, format!("{key:?} needs at least one entry"));
        }
    }

    /// Returns a key's value and marks the key as known.
    fn look_up(&self, key: &'static str) -> Option<&'a Value<'t>> {
        self.known.borrow_mut().push(key);
        self.object.get(key).map(|prop| &prop.value)
    }

    fn require(&self, key: &'static str) -> Option<&'a Value<'t>> {
        let value = self.look_up(key);
        if value.is_none() {
            self.report(format!("missing key {key:?}"));
        }
        value
    }

    fn report_wrong_type(&self, value: &Value<'t>, key: &str, expected: &str) {
        self.collector
            .add(value.range(), format!("{key:?} must be {expected}"));
    }

    fn parse_text<T>(&self, value: &Value<'t>, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(text) = value.as_string_lit() else {
            self.report_wrong_type(value, key, "a string");
            return None;
        };
        match text.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.collector.add(value.range(), format!("{key:?}: {e}"));
                None
            }
        }
    }

    fn parse_number<T: FromStr>(&self, value: &Value<'t>, key: &str) -> Option<T> {
        let parsed = value.as_number_lit().and_then(|n| n.value.parse().ok());
        if parsed.is_none() {
            self.report_wrong_type(value, key, "a number in range");
        }
        parsed
    }

    /// Parses a required string.
    pub fn text<T>(&self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.require(key)?;
        self.parse_text(value, key)
    }

    /// Parses an optional string.
    pub fn text_or<T>(&self, key: &'static str, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.look_up(key) {
            Some(value) => self.parse_text(value, key),
            None => Some(default),
        }
    }

    /// Parses a required number.
    pub fn number<T: FromStr>(&self, key: &'static str) -> Option<T> {
        let value = self.require(key)?;
        self.parse_number(value, key)
    }

    /// Parses an optional number.
    pub fn number_or<T: FromStr>(&self, key: &'static str, default: T) -> Option<T> {
        match self.look_up(key) {
            Some(value) => self.parse_number(value, key),
            None => Some(default),
        }
    }

    /// Reads an optional boolean.
    pub fn flag_or(&self, key: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.look_up(key) else {
            return Some(default);
        };
        let flag = value.as_boolean_lit().map(|b| b.value);
        if flag.is_none() {
            self.report_wrong_type(value, key, "true or false");
        }
        flag
    }

    /// Decodes an optional object; `None` without an error if the key is missing.
    pub fn section<T>(
        &self,
        key: &'static str,
        decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.look_up(key)?;
        self.decode_object(value, key, decode)
    }

    /// Decodes a required object.
    pub fn require_section<T>(
        &self,
        key: &'static str,
        decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.require(key)?;
        self.decode_object(value, key, decode)
    }

    /// Parses a list of strings; empty if the key is missing.
    pub fn texts<T>(&self, key: &'static str) -> Option<Vec<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let elements = self.elements(key)?;
        collect_all(elements.map(|value| self.parse_text(value, key)))
    }

    /// Parses a list of numbers; empty if the key is missing.
    pub fn numbers<T: FromStr>(&self, key: &'static str) -> Option<Vec<T>> {
        let elements = self.elements(key)?;
        collect_all(elements.map(|value| self.parse_number(value, key)))
    }

    /// Decodes a list of objects; empty if the key is missing.
    pub fn sections<T>(
        &self,
        key: &'static str,
        decode: impl Fn(&Section<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let elements = self.elements(key)?;
        collect_all(elements.map(|value| self.decode_object(value, key, &decode)))
    }

    fn elements(&self, key: &'static str) -> Option<impl Iterator<Item = &'a Value<'t>>> {
        let value = self.look_up(key);
        let elements = match value {
            None => &[],
            Some(Value::Array(Array { elements, .. })) => elements.as_slice(),
            Some(other) => {
                self.report_wrong_type(other, key, "a list");
                return None;
            }
        };
        Some(elements.iter())
    }

    fn decode_object<T>(
        &self,
        value: &Value<'_>,
        key: &str,
        decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let Some(object) = value.as_object() else {
            let message = format!("{key:?} must be an object");
            self.collector.add(value.range(), message);
            return None;
        };
        let section = Section::new(object, self.collector);
        let decoded = decode(&section);
        section.report_unknown_keys();
        decoded
    }

    /// Reports keys that the decoder did not read, and duplicate keys.
    fn report_unknown_keys(&self) {
        let known = self.known.borrow();
        let mut seen: Vec<&str> = Vec::new();
        for prop in &self.object.properties {
            self.check_key(prop, &known, &seen);
            seen.push(prop.name.as_str());
        }
    }

    fn check_key(&self, prop: &ObjectProp<'_>, known: &[&str], seen: &[&str]) {
        let name = prop.name.as_str();
        if !known.contains(&name) {
            self.collector
                .add(prop.range, format!("unknown key {name:?}"));
        } else if seen.contains(&name) {
            self.collector
                .add(prop.range, format!("duplicate key {name:?}"));
        }
    }
}

/// Returns the values if none is missing. Unlike collecting into an `Option`, it visits every
/// element, so that all errors are reported.
fn collect_all<T>(values: impl Iterator<Item = Option<T>>) -> Option<Vec<T>> {
    let values: Vec<Option<T>> = values.collect();
    values.into_iter().collect()
}
