//! Fills the settings template as DEPLOY.md describes.

use crate::json::Json;

pub type Result<T> = std::result::Result<T, String>;

/// Fills a template with fields.
pub fn render(template: &str, fields: &Json) -> Result<String> {
    let mut output = String::new();
    fill(
        template,
        &[Scope {
            value: fields,
            key: String::new(),
            is_last: true,
        }],
        &mut output,
    )?;
    Ok(output)
}

#[derive(Clone)]
struct Scope<'a> {
    value: &'a Json,
    key: String,
    is_last: bool,
}

/// Looks a name up in the innermost scope that has its first part.
fn look_up<'a>(scopes: &[Scope<'a>], name: &str) -> &'a Json {
    if name == "." {
        return scopes.last().map_or(&Json::Null, |scope| scope.value);
    }
    let mut parts = name.split('.');
    let first = parts.next().unwrap_or("");
    let found = scopes.iter().rev().map(|scope| member(scope.value, first));
    let found = found
        .filter(|value| **value != Json::Null)
        .next()
        .unwrap_or(&Json::Null);
    parts.fold(found, member)
}

fn member<'a>(value: &'a Json, part: &str) -> &'a Json {
    match value {
        Json::List(list) => part
            .parse()
            .ok()
            .and_then(|index: usize| list.get(index))
            .unwrap_or(&Json::Null),
        value => value.get(part),
    }
}

fn is_present(value: &Json) -> bool {
    !matches!(value, Json::Null | Json::Bool(false))
}

fn plain(value: &Json) -> String {
    match value {
        Json::Null => String::new(),
        Json::Text(text) => text.clone(),
        Json::List(list) => list.iter().map(plain).collect::<Vec<_>>().join(","),
        value => value.to_text(),
    }
}

fn fill(mut rest: &str, scopes: &[Scope<'_>], output: &mut String) -> Result<()> {
    while let Some(start) = rest.find("{{") {
        output.push_str(&rest[..start]);
        let end = rest[start..].find("}}").ok_or("a placeholder has no end")? + start;
        let name = rest[start + 2..end].trim();
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix(['#', '^']) {
            let closing = format!("{{{{/{section}}}}}");
            let at = rest
                .find(&closing)
                .ok_or_else(|| format!("section {section} has no end"))?;
            let (inner, after) = (&rest[..at], &rest[at + closing.len()..]);
            let value = look_up(scopes, section);
            match (name.starts_with('^'), is_present(value)) {
                (true, false) => fill(inner, scopes, output)?,
                (false, true) => fill_entries(inner, value, scopes, output)?,
                _ => {}
            }
            rest = after;
        } else if name == "@" {
            output.push_str(
                &scopes
                    .last()
                    .map_or(String::new(), |scope| scope.key.clone()),
            );
        } else if name == "," {
            if scopes.last().is_some_and(|scope| !scope.is_last) {
                output.push(',');
            }
        } else if let Some(name) = name.strip_suffix("|json") {
            output.push_str(&look_up(scopes, name.trim()).to_text());
        } else {
            output.push_str(&plain(look_up(scopes, name)));
        }
    }
    output.push_str(rest);
    Ok(())
}

/// Fills a section once for each entry of a list or table, else once.
fn fill_entries(
    inner: &str,
    value: &Json,
    scopes: &[Scope<'_>],
    output: &mut String,
) -> Result<()> {
    let entries: Vec<(String, &Json)> = match value {
        Json::List(list) => list
            .iter()
            .enumerate()
            .map(|(index, entry)| (index.to_string(), entry))
            .collect(),
        Json::Table(rows) => rows
            .iter()
            .map(|(key, entry)| (key.clone(), entry))
            .collect(),
        value => vec![(String::new(), value)],
    };
    let last = entries.len().saturating_sub(1);
    for (index, (key, value)) in entries.into_iter().enumerate() {
        let scope = Scope {
            value,
            key,
            is_last: index == last,
        };
        let inside: Vec<_> = scopes.iter().cloned().chain([scope]).collect();
        fill(inner, &inside, output)?;
    }
    Ok(())
}
