//! Fills the platform's fields into a template, as DEPLOY.md describes: values, lists and sections.

/// A field of the settings.
#[derive(Debug, Clone)]
pub enum Field {
    /// A text.
    Text(String),
    /// A number, as it is written.
    Number(String),
    /// True or false.
    Flag(bool),
    /// Several fields.
    List(Vec<Field>),
    /// Fields by name.
    Table(Vec<(String, Field)>),
    /// No value.
    Empty,
}

/// Creates a text.
pub fn text(text: impl ToString) -> Field {
    Field::Text(text.to_string())
}

/// Creates a number.
pub fn number(number: impl ToString) -> Field {
    Field::Number(number.to_string())
}

/// Creates a table.
pub fn table<const N: usize>(rows: [(&str, Field); N]) -> Field {
    Field::Table(rows.map(|(name, field)| (name.to_owned(), field)).to_vec())
}

impl Field {
    fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, field)| field),
            Self::List(rows) => name.parse::<usize>().ok().and_then(|index| rows.get(index)),
            _ => None,
        }
    }

    fn is_present(&self) -> bool {
        !matches!(self, Self::Empty | Self::Flag(false))
    }

    fn json(&self) -> String {
        match self {
            Self::Text(text) => format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            Self::Number(number) => number.clone(),
            Self::Flag(flag) => flag.to_string(),
            Self::Empty => "null".to_owned(),
            Self::List(rows) => {
                let rows: Vec<_> = rows.iter().map(Self::json).collect();
                format!("[{}]", rows.join(","))
            }
            Self::Table(rows) => {
                let rows = rows
                    .iter()
                    .map(|(key, field)| format!("\"{key}\":{}", field.json()));
                format!("{{{}}}", rows.collect::<Vec<_>>().join(","))
            }
        }
    }

    fn plain(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Empty => String::new(),
            Self::List(rows) => rows.iter().map(Self::plain).collect::<Vec<_>>().join(","),
            other => other.json(),
        }
    }
}

/// What names are resolved in.
#[derive(Clone, Copy)]
struct Scope<'a> {
    outer: Option<&'a Scope<'a>>,
    entry: &'a Field,
    key: &'a str,
    is_last: bool,
}

impl Scope<'_> {
    fn find(&self, name: &str) -> Field {
        if name == "." {
            return self.entry.clone();
        }
        let mut names = name.split('.');
        let first = names.next().unwrap_or("");
        match (self.entry.get(first), self.outer) {
            (Some(field), _) => {
                let found = names.try_fold(field, |field, name| field.get(name));
                found.cloned().unwrap_or(Field::Empty)
            }
            (None, Some(outer)) => outer.find(name),
            (None, None) => Field::Empty,
        }
    }
}

/// Renders a template with the fields of a table.
pub fn render(template: &str, fields: &Field) -> String {
    let scope = Scope {
        outer: None,
        entry: fields,
        key: "",
        is_last: true,
    };
    render_in(template, &scope)
}

fn render_in(mut template: &str, scope: &Scope<'_>) -> String {
    let mut out = String::new();
    while let Some((before, rest)) = template.split_once("{{") {
        out.push_str(before);
        let (tag, after) = rest.split_once("}}").expect("a placeholder ends");
        template = after;
        match tag.chars().next() {
            Some(sign @ ('#' | '^')) => {
                let name = &tag[1..];
                let (inner, after) = split_section(after, name);
                template = after;
                let field = scope.find(name);
                match sign {
                    '^' if field.is_present() => {}
                    '^' => out.push_str(&render_in(inner, scope)),
                    _ => render_section(inner, &field, scope, &mut out),
                }
            }
            Some('@') => out.push_str(scope.key),
            Some(',') if scope.is_last => {}
            Some(',') => out.push(','),
            _ => out.push_str(&match tag.strip_suffix("|json") {
                Some(name) => scope.find(name).json(),
                None => scope.find(tag).plain(),
            }),
        }
    }
    out.push_str(template);
    out
}

/// Splits the rest of a template at the end of a section; sections of the same name may be nested.
fn split_section<'a>(rest: &'a str, name: &str) -> (&'a str, &'a str) {
    let end = format!("{{{{/{name}}}}}");
    let starts = [format!("{{{{#{name}}}}}"), format!("{{{{^{name}}}}}")];
    let mut from = 0;
    loop {
        let at = from + rest[from..].find(&end).expect("a section ends");
        let opened: usize = starts
            .iter()
            .map(|start| rest[..at].matches(start.as_str()).count())
            .sum();
        let closed = rest[..at].matches(&end).count();
        from = at + end.len();
        if opened == closed {
            return (&rest[..at], &rest[from..]);
        }
    }
}

fn render_section(inner: &str, field: &Field, scope: &Scope<'_>, out: &mut String) {
    let rows: Vec<(String, &Field)> = match field {
        Field::List(rows) => rows
            .iter()
            .enumerate()
            .map(|(index, row)| (index.to_string(), row))
            .collect(),
        Field::Table(rows) => rows.iter().map(|(key, row)| (key.clone(), row)).collect(),
        _ if field.is_present() => vec![(scope.key.to_owned(), field)],
        _ => Vec::new(),
    };
    let last = rows.len().saturating_sub(1);
    for (index, (key, entry)) in rows.iter().enumerate() {
        let inside = Scope {
            outer: Some(scope),
            entry,
            key,
            is_last: index == last,
        };
        out.push_str(&render_in(inner, &inside));
    }
}
