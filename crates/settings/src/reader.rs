//! Reads JSON with comments and collects every error with its line and column.

use std::cell::RefCell;
use std::fmt;
use std::str::FromStr;

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 when the file could not be read.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
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

/// Result of reading a file: its content, or all that is wrong with it in the order of the text.
pub type Result<T> = std::result::Result<T, Vec<SettingsError>>;

/// Where errors are collected.
pub struct ErrorLog<'a> {
    file: &'a str,
    text: &'a str,
    errors: RefCell<Vec<(usize, String)>>,
}

impl<'a> ErrorLog<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            errors: RefCell::new(Vec::new()),
        }
    }

    /// Adds an error at a place in the text.
    pub fn add(&self, range: Range, message: impl Into<String>) {
        self.errors.borrow_mut().push((range.start, message.into()));
    }

    fn into_errors(self) -> Vec<SettingsError> {
        let mut errors = self.errors.take();
        errors.sort();
        let errors = errors.into_iter();
        errors
            .map(|(at, message)| {
                let (line, column) = position(self.text, at);
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

fn position(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..at.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}

/// Strict JSON with comments and trailing commas.
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

/// Parses a file and decodes its top object. The decoder reports errors through the section that
/// it is given; what it returns counts only if there are none.
pub fn read<T>(
    file: &str,
    text: &str,
    decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
) -> Result<T> {
    let log = ErrorLog::new(file, text);
    let decoded = match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => match &parsed.value {
            Some(Value::Object(object)) => {
                let section = Section::new(object, &log);
                let decoded = decode(&section);
                section.report_unknown();
                decoded
            }
            other => {
                let range = other.as_ref().map_or(Range::new(0, 0), |v| v.range());
                log.add(range, "expected an object");
                None
            }
        },
        Err(e) => {
            log.add(e.range(), e.kind().to_string());
            None
        }
    };
    let errors = log.into_errors();
    match decoded {
        Some(decoded) if errors.is_empty() => Ok(decoded),
        _ => Err(errors),
    }
}

/// One object of the file.
pub struct Section<'a, 't> {
    object: &'a Object<'t>,
    log: &'a ErrorLog<'a>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a, 't> Section<'a, 't> {
    fn new(object: &'a Object<'t>, log: &'a ErrorLog<'a>) -> Self {
        Self {
            object,
            log,
            known: RefCell::new(Vec::new()),
        }
    }

    /// Reports an error about the whole object.
    pub fn report(&self, message: impl Into<String>) {
        self.log.add(self.object.range, message);
    }

    /// Reports an error about the value of a key, or about the object when the key is missing.
    pub fn report_at(&self, key: &'static str, message: impl Into<String>) {
        let value = self.object.get(key).map(|prop| prop.value.range());
        self.log.add(value.unwrap_or(self.object.range), message);
    }

    /// Reports a value that must not be its type's zero.
    pub fn report_zero<T: Default + PartialEq>(&self, key: &'static str, value: &T) {
        if *value == T::default() {
            self.report_at(key, format!("{key:?} must be above 0"));
        }
    }

    /// Reports a list that must not be empty.
    pub fn report_empty<T>(&self, key: &'static str, list: &[T]) {
        if list.is_empty() {
            self.report_at(key, format!("{key:?} needs at least one entry"));
        }
    }

    fn find(&self, key: &'static str) -> Option<&'a Value<'t>> {
        self.known.borrow_mut().push(key);
        self.object.get(key).map(|prop| &prop.value)
    }

    fn require(&self, key: &'static str) -> Option<&'a Value<'t>> {
        let value = self.find(key);
        if value.is_none() {
            self.report(format!("missing key {key:?}"));
        }
        value
    }

    fn wrong_type(&self, value: &Value<'t>, key: &str, expected: &str) {
        self.log
            .add(value.range(), format!("{key:?} must be {expected}"));
    }

    fn parse_text<T>(&self, value: &Value<'t>, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(text) = value.as_string_lit() else {
            self.wrong_type(value, key, "a string");
            return None;
        };
        match text.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.log.add(value.range(), format!("{key:?}: {e}"));
                None
            }
        }
    }

    fn parse_number<T: FromStr>(&self, value: &Value<'t>, key: &str) -> Option<T> {
        let parsed = value.as_number_lit().and_then(|n| n.value.parse().ok());
        if parsed.is_none() {
            self.wrong_type(value, key, "a number in range");
        }
        parsed
    }

    /// A text that must be there.
    pub fn text<T>(&self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.require(key)?;
        self.parse_text(value, key)
    }

    /// A text with a default.
    pub fn text_or<T>(&self, key: &'static str, default: T) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match self.find(key) {
            Some(value) => self.parse_text(value, key),
            None => Some(default),
        }
    }

    /// A number that must be there.
    pub fn number<T: FromStr>(&self, key: &'static str) -> Option<T> {
        let value = self.require(key)?;
        self.parse_number(value, key)
    }

    /// A number with a default.
    pub fn number_or<T: FromStr>(&self, key: &'static str, default: T) -> Option<T> {
        match self.find(key) {
            Some(value) => self.parse_number(value, key),
            None => Some(default),
        }
    }

    /// A truth value with a default.
    pub fn flag_or(&self, key: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.find(key) else {
            return Some(default);
        };
        let flag = value.as_boolean_lit().map(|b| b.value);
        if flag.is_none() {
            self.wrong_type(value, key, "true or false");
        }
        flag
    }

    /// An object, decoded by a function; `None` without an error when the key is missing.
    pub fn section<T>(
        &self,
        key: &'static str,
        decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.find(key)?;
        self.decode_object(value, key, decode)
    }

    /// An object that must be there.
    pub fn require_section<T>(
        &self,
        key: &'static str,
        decode: impl FnOnce(&Section<'_, '_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.require(key)?;
        self.decode_object(value, key, decode)
    }

    /// A list of texts; empty when the key is missing.
    pub fn texts<T>(&self, key: &'static str) -> Option<Vec<T>>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let elements = self.elements(key)?;
        all(elements.map(|value| self.parse_text(value, key)))
    }

    /// A list of numbers; empty when the key is missing.
    pub fn numbers<T: FromStr>(&self, key: &'static str) -> Option<Vec<T>> {
        let elements = self.elements(key)?;
        all(elements.map(|value| self.parse_number(value, key)))
    }

    /// A list of objects, each decoded by a function; empty when the key is missing.
    pub fn sections<T>(
        &self,
        key: &'static str,
        decode: impl Fn(&Section<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let elements = self.elements(key)?;
        all(elements.map(|value| self.decode_object(value, key, &decode)))
    }

    fn elements(&self, key: &'static str) -> Option<impl Iterator<Item = &'a Value<'t>>> {
        let value = self.find(key);
        let elements = match value {
            None => &[],
            Some(Value::Array(Array { elements, .. })) => elements.as_slice(),
            Some(other) => {
                self.wrong_type(other, key, "a list");
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
            self.log.add(value.range(), message);
            return None;
        };
        let section = Section::new(object, self.log);
        let decoded = decode(&section);
        section.report_unknown();
        decoded
    }

    /// Reports keys that nobody asked for, and keys that stand twice.
    fn report_unknown(&self) {
        let known = self.known.borrow();
        let mut seen: Vec<&str> = Vec::new();
        for prop in &self.object.properties {
            self.check_name(prop, &known, &seen);
            seen.push(prop.name.as_str());
        }
    }

    fn check_name(&self, prop: &ObjectProp<'_>, known: &[&str], seen: &[&str]) {
        let name = prop.name.as_str();
        if !known.contains(&name) {
            self.log.add(prop.range, format!("unknown key {name:?}"));
        } else if seen.contains(&name) {
            self.log
                .add(prop.range, format!("key {name:?} stands twice"));
        }
    }
}

/// The values if all are there. Unlike collecting into an option, it visits every element, so
/// that each reports its errors.
fn all<T>(values: impl Iterator<Item = Option<T>>) -> Option<Vec<T>> {
    let values: Vec<Option<T>> = values.collect();
    values.into_iter().collect()
}
