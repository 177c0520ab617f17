//! Queries and their evaluation over rows.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

use amaranth_wire::unit::TimeSpan;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::lexer::WrittenText;

/// A row of a table, by field.
pub type QueryRow = Map<String, Value>;

/// A value in a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryValue {
    /// A whole number.
    Number(u64),
    /// Text; a length of time such as `30s` where the field ends in `_ms`.
    Text(String),
}

impl fmt::Display for QueryValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => WrittenText(text).fmt(f),
        }
    }
}

/// How a field is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareOp {
    /// The same.
    Equal,
    /// Not the same.
    NotEqual,
    /// Less.
    Less,
    /// Less or the same.
    AtMost,
    /// Greater.
    Greater,
    /// Greater or the same.
    AtLeast,
    /// Contains the text.
    Contains,
}

impl CompareOp {
    /// The operators and how they are written, longer ones first.
    pub const ALL: [(&'static str, Self); 7] = [
        ("!=", Self::NotEqual),
        ("<=", Self::AtMost),
        (">=", Self::AtLeast),
        ("=", Self::Equal),
        ("<", Self::Less),
        (">", Self::Greater),
        ("~", Self::Contains),
    ];
}

impl fmt::Display for CompareOp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = Self::ALL.iter().find(|(_, op)| op == self);
        f.write_str(found.map_or("", |(sign, _)| sign))
    }
}

/// One condition on a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryCondition {
    /// The field.
    pub field: String,
    /// How it is compared.
    pub op: CompareOp,
    /// What it is compared with.
    pub value: QueryValue,
}

impl QueryCondition {
    /// Whether a row fulfils it. A field that the row lacks is unlike any value.
    pub fn holds(&self, row: &QueryRow) -> bool {
        let field = row.get(&self.field).unwrap_or(&Value::Null);
        if self.op == CompareOp::Contains {
            return plain_text(field).contains(&self.value.plain_text());
        }
        let Some(order) = self.compare(field) else {
            return self.op == CompareOp::NotEqual;
        };
        match self.op {
            CompareOp::Equal => order.is_eq(),
            CompareOp::NotEqual => order.is_ne(),
            CompareOp::Less => order.is_lt(),
            CompareOp::AtMost => order.is_le(),
            CompareOp::Greater => order.is_gt(),
            CompareOp::AtLeast => order.is_ge(),
            CompareOp::Contains => false,
        }
    }

    fn compare(&self, field: &Value) -> Option<Ordering> {
        match field {
            Value::Null => None,
            Value::Number(number) => {
                let wanted = self.value.as_number()?;
                number.as_f64()?.partial_cmp(&wanted)
            }
            other => Some(plain_text(other).cmp(&self.value.plain_text())),
        }
    }
}

impl QueryValue {
    fn plain_text(&self) -> String {
        match self {
            Self::Number(number) => number.to_string(),
            Self::Text(text) => text.clone(),
        }
    }

    /// The number, or the milliseconds of a length of time.
    fn as_number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number as f64),
            Self::Text(text) => match text.parse::<TimeSpan>() {
                Ok(span) => Some(span.as_micros() as f64 / 1_000.0),
                Err(_) => text.parse().ok(),
            },
        }
    }
}

/// A field to order by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryOrder {
    /// The field.
    pub field: String,
    /// Whether the greatest come first.
    pub descending: bool,
}

/// `show TABLE …`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShowQuery {
    /// The table.
    pub table: String,
    /// Conditions, all of which must hold.
    pub conditions: Vec<QueryCondition>,
    /// Counts rows by this field.
    pub count_by: Option<String>,
    /// Order of the result.
    pub order: Option<QueryOrder>,
    /// Most rows of the result.
    pub limit: Option<u64>,
}

impl ShowQuery {
    /// Every row of a table.
    pub fn new(table: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            conditions: Vec::new(),
            count_by: None,
            order: None,
            limit: None,
        }
    }
}

impl fmt::Display for ShowQuery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.table)?;
        for (index, condition) in self.conditions.iter().enumerate() {
            let joint = if index == 0 { "where" } else { "and" };
            let QueryCondition { field, op, value } = condition;
            write!(f, " {joint} {field} {op} {value}")?;
        }
        if let Some(field) = &self.count_by {
            write!(f, " count by {field}")?;
        }
        if let Some(order) = &self.order {
            let direction = if order.descending { " desc" } else { "" };
            write!(f, " order by {}{direction}", order.field)?;
        }
        match self.limit {
            Some(limit) => write!(f, " limit {limit}"),
            None => Ok(()),
        }
    }
}

/// Name of the column that holds counts.
pub const COUNT_FIELD: &str = "count";

/// The rows that a query asks for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryResult {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Values by column.
    pub rows: Vec<Vec<Value>>,
    /// How many rows there were before the limit.
    pub total: usize,
}

/// Evaluates a query over the rows of its table, whose fields are given in order.
pub fn evaluate(query: &ShowQuery, fields: &[&str], rows: Vec<QueryRow>) -> QueryResult {
    let conditions = &query.conditions;
    let holds = |row: &QueryRow| conditions.iter().all(|condition| condition.holds(row));
    let mut rows: Vec<_> = rows.into_iter().filter(holds).collect();
    let columns = match &query.count_by {
        Some(field) => {
            rows = count_rows(&rows, field);
            vec![field.clone(), COUNT_FIELD.to_owned()]
        }
        None => fields.iter().map(|field| (*field).to_owned()).collect(),
    };
    if let Some(order) = &query.order {
        rows.sort_by(|a, b| compare_rows(a, b, order));
    }
    let total = rows.len();
    let limit = query.limit.map_or(total, |limit| limit as usize);
    rows.truncate(limit);
    let cells = |row: QueryRow| {
        let cell = |column: &String| row.get(column).cloned().unwrap_or(Value::Null);
        columns.iter().map(cell).collect()
    };
    let rows = rows.into_iter().map(cells).collect();
    QueryResult {
        columns,
        rows,
        total,
    }
}

fn count_rows(rows: &[QueryRow], field: &str) -> Vec<QueryRow> {
    let mut counts: BTreeMap<String, (Value, u64)> = BTreeMap::new();
    for row in rows {
        let value = row.get(field).cloned().unwrap_or(Value::Null);
        let counted = counts.entry(value.to_string()).or_insert((value, 0));
        counted.1 += 1;
    }
    let counted = counts.into_values();
    counted
        .map(|(value, count)| {
            let cells = [
                (field.to_owned(), value),
                (COUNT_FIELD.to_owned(), count.into()),
            ];
            cells.into_iter().collect()
        })
        .collect()
}

fn compare_rows(a: &QueryRow, b: &QueryRow, order: &QueryOrder) -> Ordering {
    let field = |row: &QueryRow| row.get(&order.field).cloned().unwrap_or(Value::Null);
    let compared = compare_values(&field(a), &field(b));
    match order.descending {
        true => compared.reverse(),
        false => compared,
    }
}

/// Numbers by size and before text; all else as text.
fn compare_values(a: &Value, b: &Value) -> Ordering {
    match (a.as_f64(), b.as_f64()) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        (Some(_), None) => Ordering::Less,
        (None, Some(_)) => Ordering::Greater,
        (None, None) => plain_text(a).cmp(&plain_text(b)),
    }
}

/// A value as tables show it.
pub fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
