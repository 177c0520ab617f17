//! The `show` query and its evaluation over the rows of a table.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

use amaranth_wire::unit::TimeSpan;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::lexer::QuotedText;

/// A row of a table: values by field name.
pub type QueryRow = Map<String, Value>;

/// A literal in a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueryValue {
    /// An unquoted unsigned integer.
    Number(u64),
    /// Text. Compared with a numeric field, a duration such as `30s` counts in milliseconds.
    Text(String),
}

impl fmt::Display for QueryValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => QuotedText(text).fmt(f),
        }
    }
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareOp {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    Greater,
    /// `>=`
    AtLeast,
    /// `~`: the field contains the text.
    Contains,
}

impl CompareOp {
    /// Every operator with its symbol, longer symbols first for the parser.
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
        f.write_str(found.map_or("", |(symbol, _)| symbol))
    }
}

/// A comparison of a field with a literal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryCondition {
    /// Field name.
    pub field: String,
    /// Comparison operator.
    pub op: CompareOp,
    /// Literal on the right-hand side.
    pub value: QueryValue,
}

impl QueryCondition {
    /// Whether a row satisfies the condition. A missing field is unequal to any value.
    pub fn matches(&self, row: &QueryRow) -> bool {
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

    /// The number, or a duration in milliseconds.
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

/// The `order by` clause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryOrder {
    /// Field name, or [`COUNT_FIELD`].
    pub field: String,
    /// Whether `desc` was given.
    pub descending: bool,
}

/// A `show TABLE …` statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShowQuery {
    /// Table name.
    pub table: String,
    /// Conditions of the `where` clause; all must be satisfied.
    pub conditions: Vec<QueryCondition>,
    /// Field to group by; the result then holds one count per value.
    pub count_by: Option<String>,
    /// Sort order; `None` keeps the order of the rows.
    pub order: Option<QueryOrder>,
    /// Maximum number of result rows.
    pub limit: Option<u64>,
}

impl ShowQuery {
    /// A query for every row of a table.
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
            let keyword = if index == 0 { "where" } else { "and" };
            let QueryCondition { field, op, value } = condition;
            write!(f, " {keyword} {field} {op} {value}")?;
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

/// Name of the column that matches counts.
pub const COUNT_FIELD: &str = "count";

/// The result of a query.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryResult {
    /// Column names in display order.
    pub columns: Vec<String>,
    /// Rows, with one value per column.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows before the limit was applied.
    pub total: usize,
}

/// Evaluates a query over the rows of its table; `fields` are the result columns unless it counts.
pub fn evaluate(query: &ShowQuery, fields: &[&str], rows: Vec<QueryRow>) -> QueryResult {
    let conditions = &query.conditions;
    let matches = |row: &QueryRow| conditions.iter().all(|condition| condition.matches(row));
    let mut rows: Vec<_> = rows.into_iter().filter(matches).collect();
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

/// Orders numbers by value and before anything else, which is compared as text.
fn compare_values(a: &Value, b: &Value) -> Ordering {
    match (a.as_f64(), b.as_f64()) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        (Some(_), None) => Ordering::Less,
        (None, Some(_)) => Ordering::Greater,
        (None, None) => plain_text(a).cmp(&plain_text(b)),
    }
}

/// A value as displayed in a table cell: strings without quotes, null as empty.
pub fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
