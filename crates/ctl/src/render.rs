//! Formats answers as text.

use amaranth_entry::operator_command::CommandOutcome;
use amaranth_entry::operator_peers::SilentInstance;
use amaranth_entry::operator_query::ShowAnswer;
use amaranth_kernel::language::query::plain_text;
use amaranth_wire::id::InstanceId;
use serde_json::Value;

/// Formats an answer to `show`: a table, followed by its offset, its age and the instances that
/// did and did not answer.
pub fn show(answer: &ShowAnswer, now_ms: u64) -> String {
    let result = &answer.result;
    let mut lines = vec![result.columns.clone()];
    for row in &result.rows {
        lines.push(row.iter().map(plain_text).collect());
    }
    let mut text = align_columns(&lines);
    let shown = result.rows.len();
    text += &format!("-- {shown} of {} rows", result.total);
    text += &format!(", as of offset {}", answer.offset);
    text += &match answer.log_age_ms {
        Some(age_ms) => format!(", log read {age_ms} ms ago"),
        None => ", the log was never read to its head".to_owned(),
    };
    text += &format!(
        "\n-- answered: {}\n",
        join(answer.answered.iter().map(|a| &a.instance))
    );
    text += &silent_lines(&answer.silent, now_ms);
    text
}

/// Formats the outcome of a command.
pub fn outcome(outcome: &CommandOutcome, now_ms: u64) -> String {
    match outcome {
        CommandOutcome::Accepted {
            command,
            offset,
            revision,
            in_force,
            lagging,
            silent,
        } => {
            let mut text = format!("accepted {command} at offset {offset}");
            if let Some(revision) = revision {
                text += &format!(", revision {revision}");
            }
            text += &format!("\n-- in force: {}\n", join(in_force.iter()));
            if !lagging.is_empty() {
                text += &format!("-- not yet: {}\n", join(lagging.iter()));
            }
            text + &silent_lines(silent, now_ms)
        }
        CommandOutcome::Rejected {
            command,
            reason,
            offset,
        } => match offset {
            Some(offset) => format!("rejected {command} at offset {offset}: {reason}\n"),
            None => format!("rejected {command}: {reason}\n"),
        },
        CommandOutcome::Unknown {
            command, reason, ..
        } => format!("unknown {command}: {reason}; ask again: explain {command}\n"),
    }
}

/// Formats any other answer, one line for each field.
pub fn fields(value: &Value) -> String {
    let Some(fields) = value.as_object() else {
        return format!("{value}\n");
    };
    let lines: Vec<_> = fields
        .iter()
        .map(|(name, value)| vec![name.clone(), plain_text(value)])
        .collect();
    align_columns(&lines)
}

fn silent_lines(silent: &[SilentInstance], now_ms: u64) -> String {
    let line = |row: &SilentInstance| {
        let since = match row.last_heard_ms {
            Some(heard_ms) => format!("last heard {} ms ago", now_ms.saturating_sub(heard_ms)),
            None => "never heard".to_owned(),
        };
        format!("-- no answer: {} ({since}; {})\n", row.instance, row.reason)
    };
    silent.iter().map(line).collect()
}

fn join<'a>(names: impl Iterator<Item = &'a InstanceId>) -> String {
    let names: Vec<_> = names.map(InstanceId::as_str).collect();
    names.join(", ")
}

/// Pads cells so that their columns align.
fn align_columns(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let line = |cells: &Vec<String>| {
        let padded = cells.iter().zip(&widths);
        let padded: Vec<_> = padded
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    lines.iter().map(line).collect()
}
