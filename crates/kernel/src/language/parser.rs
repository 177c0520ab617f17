//! The statement parser, built on `winnow`. Each verb is registered as a [`CommandPlugin`].

use amaranth_wire::id::ConfigRevision;
use winnow::Parser;
use winnow::stream::Stream;

use super::lexer::{
    LanguageError, PartResult, Result, expected, keyword, one_of, parsed, peek_word, symbol,
    take_keyword, text, value, word,
};
use super::plugin::{CommandPlugin, commands, find_command};
use super::query::{COUNT_FIELD, CompareOp, QueryCondition, QueryOrder, QueryValue, ShowQuery};
use super::statement::{DrainTarget, Statement};
use super::table::{find_table, tables};
use crate::setting_table::{SETTING_TABLE, find_setting};

/// Maximum characters of the unexpected word that an error shows.
const FOUND_CHARS: usize = 20;

/// Parses one statement.
pub fn parse(text: &str) -> Result<Statement> {
    let trimmed = text.trim_start();
    let indent = text.chars().count() - trimmed.chars().count();
    let parsed = statement.parse(trimmed);
    parsed.map_err(|e| {
        let at = e.offset();
        let inner = e.into_inner();
        let contexts: Vec<_> = inner.context().cloned().collect();
        let expected = match contexts.is_empty() {
            true => "the end".to_owned(),
            false => contexts.join(", "),
        };
        let rest = trimmed[at..].trim();
        let found = rest.split_whitespace().next().unwrap_or("");
        LanguageError {
            column: indent + trimmed[..at].chars().count() + 1,
            expected,
            found: found.chars().take(FOUND_CHARS).collect(),
        }
    })
}

fn statement(input: &mut &str) -> PartResult<Statement> {
    let plugin = peek_word(input).and_then(find_command);
    let Some(plugin) = plugin else {
        let verbs: Vec<_> = commands().iter().map(|command| command.verb).collect();
        return expected(verbs.join(", "));
    };
    word(input, plugin.verb)?;
    (plugin.parse)(input)
}

inventory::submit! { CommandPlugin {
    verb: "show",
    usage: "show TABLE [where FIELD OP VALUE [and …]] [count by FIELD] [order by FIELD [desc]] [limit N]",
    parse: show,
} }
inventory::submit! { CommandPlugin { verb: "explain", usage: "explain ID", parse: explain } }
inventory::submit! { CommandPlugin {
    verb: "start", usage: "start batch FILE [on tier TIER]", parse: start,
} }
inventory::submit! { CommandPlugin { verb: "cancel", usage: "cancel batch ID", parse: cancel } }
inventory::submit! { CommandPlugin {
    verb: "drain", usage: "drain upstream|instance ID",
    parse: |input| drain_target(input).map(Statement::Drain),
} }
inventory::submit! { CommandPlugin {
    verb: "undrain", usage: "undrain upstream|instance ID",
    parse: |input| drain_target(input).map(Statement::Undrain),
} }
inventory::submit! { CommandPlugin {
    verb: "set",
    usage: "set tier|team NAME SETTING = VALUE [if revision N], set plan SETTING = VALUE [if revision N]",
    parse: set,
} }
inventory::submit! { CommandPlugin {
    verb: "roll", usage: "roll model MODEL to version VERSION on tier TIER", parse: roll,
} }
inventory::submit! { CommandPlugin {
    verb: "swap", usage: "swap UPSTREAM with UPSTREAM", parse: swap,
} }
inventory::submit! { CommandPlugin { verb: "undo", usage: "undo PLAN", parse: undo } }

fn show(input: &mut &str) -> PartResult<Statement> {
    let known = peek_word(input).and_then(find_table);
    let Some(table) = known else {
        let names: Vec<_> = tables().iter().map(|table| table.name).collect();
        return expected(names.join(", "));
    };
    word(input, "a table")?;
    let mut query = ShowQuery::new(table.name);
    if take_keyword(input, "where") {
        query.conditions.push(condition(input, table.fields)?);
        while take_keyword(input, "and") {
            query.conditions.push(condition(input, table.fields)?);
        }
    }
    if take_keyword(input, "count") {
        keyword(input, "by")?;
        query.count_by = Some(one_of(input, table.fields)?.to_owned());
    }
    if take_keyword(input, "order") {
        keyword(input, "by")?;
        query.order = Some(order(input, table.fields, query.count_by.as_deref())?);
    }
    if take_keyword(input, "limit") {
        query.limit = Some(parsed(input, "a whole number")?);
    }
    match peek_word(input) {
        None if input.is_empty() => Ok(Statement::Show(query)),
        _ => expected(next_clauses(&query)),
    }
}

/// The clauses that may follow the ones already parsed, for the error message.
fn next_clauses(query: &ShowQuery) -> String {
    let clauses = [
        (query.conditions.is_empty(), "where"),
        (!query.conditions.is_empty(), "and"),
        (query.count_by.is_none(), "count by"),
        (query.order.is_none(), "order by"),
        (query.limit.is_none(), "limit"),
    ];
    let skipped = match query {
        ShowQuery { limit: Some(_), .. } => 5,
        ShowQuery { order: Some(_), .. } => 4,
        ShowQuery {
            count_by: Some(_), ..
        } => 3,
        _ => 0,
    };
    let open = clauses.iter().skip(skipped).filter(|(open, _)| *open);
    let mut names: Vec<_> = open.map(|(_, name)| *name).collect();
    names.push("the end");
    names.join(", ")
}

fn condition(input: &mut &str, fields: &[&str]) -> PartResult<QueryCondition> {
    let field = one_of(input, fields)?.to_owned();
    let symbols = CompareOp::ALL.map(|(symbol, _)| symbol);
    let found = symbol(input, &symbols)?;
    let op = CompareOp::ALL.iter().find(|(symbol, _)| *symbol == found);
    let (_, op) = op.expect("the symbol is one of them");
    let value = value(input, "a value")?;
    Ok(QueryCondition {
        field,
        op: *op,
        value,
    })
}

fn order(input: &mut &str, fields: &[&str], counted: Option<&str>) -> PartResult<QueryOrder> {
    let field = match counted {
        Some(counted) => one_of(input, &[counted, COUNT_FIELD])?,
        None => one_of(input, fields)?,
    };
    Ok(QueryOrder {
        field: field.to_owned(),
        descending: take_keyword(input, "desc"),
    })
}

fn explain(input: &mut &str) -> PartResult<Statement> {
    text(input, "an id").map(Statement::Explain)
}

fn start(input: &mut &str) -> PartResult<Statement> {
    keyword(input, "batch")?;
    let file = text(input, "a file")?;
    let tier = match take_keyword(input, "on") {
        true => {
            keyword(input, "tier")?;
            Some(parsed(input, "a tier")?)
        }
        false => None,
    };
    Ok(Statement::Start { file, tier })
}

fn cancel(input: &mut &str) -> PartResult<Statement> {
    keyword(input, "batch")?;
    parsed(input, "the id of a batch").map(Statement::Cancel)
}

fn drain_target(input: &mut &str) -> PartResult<DrainTarget> {
    match one_of(input, &["upstream", "instance"])? {
        "upstream" => parsed(input, "an upstream").map(DrainTarget::Upstream),
        _ => parsed(input, "an instance").map(DrainTarget::Instance),
    }
}

fn set(input: &mut &str) -> PartResult<Statement> {
    let scope = one_of(input, &["tier", "team", "plan"])?.to_owned();
    let owner = match scope.as_str() {
        "plan" => None,
        "tier" => Some(word(input, "a tier")?.to_owned()),
        _ => Some(word(input, "a team")?.to_owned()),
    };
    let start = input.checkpoint();
    let known = || {
        let rows = SETTING_TABLE.iter().filter(|spec| spec.scope == scope);
        let names: Vec<_> = rows.map(|spec| spec.name).collect();
        names.join(", ")
    };
    let setting = word(input, &known())?;
    let name = match &owner {
        Some(owner) => format!("{scope}.{owner}.{setting}"),
        None => format!("{scope}.{setting}"),
    };
    let Ok((name, spec)) = find_setting(&name) else {
        input.reset(&start);
        return expected(known());
    };
    symbol(input, &["="])?;
    let start = input.checkpoint();
    let what = spec.kind.to_string();
    let value = match value(input, &what)? {
        QueryValue::Number(number) => number.to_string(),
        QueryValue::Text(text) if text == "true" || text == "false" => text,
        QueryValue::Text(_) => {
            input.reset(&start);
            return expected(what);
        }
    };
    let revision = match take_keyword(input, "if") {
        true => {
            keyword(input, "revision")?;
            Some(ConfigRevision(parsed(input, "a revision")?))
        }
        false => None,
    };
    Ok(Statement::Set {
        name,
        value,
        revision,
    })
}

fn roll(input: &mut &str) -> PartResult<Statement> {
    keyword(input, "model")?;
    let model = parsed(input, "a model")?;
    keyword(input, "to")?;
    keyword(input, "version")?;
    let version = text(input, "a version")?;
    keyword(input, "on")?;
    keyword(input, "tier")?;
    let tier = parsed(input, "a tier")?;
    Ok(Statement::Roll {
        model,
        version,
        tier,
    })
}

fn swap(input: &mut &str) -> PartResult<Statement> {
    let first = parsed(input, "an upstream")?;
    keyword(input, "with")?;
    let second = parsed(input, "an upstream")?;
    Ok(Statement::Swap { first, second })
}

fn undo(input: &mut &str) -> PartResult<Statement> {
    parsed(input, "a plan").map(Statement::Undo)
}
