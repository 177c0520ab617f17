//! The operators' language: round trip, syntax errors, documented examples, query evaluation.

use amaranth_kernel::language::parse;
use amaranth_kernel::language::query::{
    CompareOp, QueryCondition, QueryOrder, QueryRow, QueryValue, ShowQuery, evaluate,
};
use amaranth_kernel::language::statement::{DrainTarget, Statement};
use amaranth_kernel::language::table::tables;
use amaranth_wire::id::ConfigRevision;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

const SEED: u64 = 0x1a46;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    "[A-Za-z0-9._:-]{1,12}"
}

fn value() -> impl Strategy<Value = QueryValue> {
    prop_oneof![
        any::<u64>().prop_map(QueryValue::Number),
        any::<String>().prop_map(QueryValue::Text),
        name().prop_map(QueryValue::Text),
    ]
}

fn show() -> impl Strategy<Value = Statement> {
    let table = (0..tables().len()).prop_map(|index| tables()[index]);
    let parts = (
        table,
        prop::collection::vec((any::<usize>(), 0..CompareOp::ALL.len(), value()), 0..4),
        any::<Option<usize>>(),
        any::<Option<(usize, bool)>>(),
        any::<Option<u64>>(),
    );
    parts.prop_map(|(table, conditions, count, order, limit)| {
        let field = |index: usize| table.fields[index % table.fields.len()].to_owned();
        let condition = |(index, op, value): (usize, usize, QueryValue)| QueryCondition {
            field: field(index),
            op: CompareOp::ALL[op].1,
            value,
        };
        let count_by = count.map(field);
        let order = order.map(|(index, descending)| QueryOrder {
            field: match &count_by {
                Some(counted) if index % 2 == 0 => counted.clone(),
                Some(_) => "count".to_owned(),
                None => field(index),
            },
            descending,
        });
        Statement::Show(ShowQuery {
            table: table.name.to_owned(),
            conditions: conditions.into_iter().map(condition).collect(),
            count_by,
            order,
            limit,
        })
    })
}

fn drain_target() -> impl Strategy<Value = DrainTarget> {
    prop_oneof![
        name().prop_map(|name| DrainTarget::Upstream(name.parse().expect("an id"))),
        name().prop_map(|name| DrainTarget::Instance(name.parse().expect("an id"))),
    ]
}

fn set() -> impl Strategy<Value = Statement> {
    let setting = prop_oneof![
        name().prop_map(|tier| (format!("tier.{tier}.queue_limit"), "40".to_owned())),
        name().prop_map(|tier| (format!("tier.{tier}.batch_paused"), "true".to_owned())),
        name().prop_map(|team| (format!("team.{team}.queue_share"), "3".to_owned())),
        Just(("plan.load_width".to_owned(), "2".to_owned())),
    ];
    let revision = any::<Option<u64>>();
    (setting, revision).prop_map(|((name, value), revision)| Statement::Set {
        name,
        value,
        revision: revision.map(ConfigRevision),
    })
}

fn statement() -> impl Strategy<Value = Statement> {
    let id = || name().prop_map(|name| name.parse().expect("an id"));
    prop_oneof![
        4 => show(),
        1 => any::<String>().prop_map(Statement::Explain),
        1 => (any::<String>(), prop::option::of(name())).prop_map(|(file, tier)| Statement::Start {
            file,
            tier: tier.map(|tier| tier.parse().expect("an id")),
        }),
        1 => name().prop_map(|job| Statement::Cancel(job.parse().expect("an id"))),
        1 => drain_target().prop_map(Statement::Drain),
        1 => drain_target().prop_map(Statement::Undrain),
        2 => set(),
        1 => (name(), any::<String>(), name()).prop_map(|(model, version, tier)| Statement::Roll {
            model: model.parse().expect("an id"),
            version,
            tier: tier.parse().expect("an id"),
        }),
        1 => (name(), name()).prop_map(|(first, second)| Statement::Swap {
            first: first.parse().expect("an id"),
            second: second.parse().expect("an id"),
        }),
        1 => id().prop_map(Statement::Undo),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parsing_a_formatted_statement_gives_the_same_statement(statement in statement()) {
        let text = statement.to_string();
        prop_assert_eq!(parse(&text), Ok(statement), "{}", text);
    }

    #[test]
    fn any_text_parses_or_fails_at_a_column_within_it(text in any::<String>()) {
        if let Err(e) = parse(&text) {
            prop_assert!(e.column >= 1 && e.column <= text.chars().count() + 1);
        }
    }
}

#[test]
fn documented_examples_parse() {
    let page = include_str!("../../../docs/operators/language.md");
    let (_, block) = page.split_once("```statements\n").expect("a block");
    let (block, _) = block.split_once("```").expect("its end");
    assert!(block.lines().count() >= 25);
    for line in block.lines() {
        let parsed = parse(line);
        assert!(parsed.is_ok(), "{line}: {}", parsed.unwrap_err());
    }
}

#[test]
fn errors_report_column_and_expected_words() {
    let table = [
        ("", 1, "cancel, drain, explain", ""),
        ("shwo requests", 1, "show, start", "shwo"),
        ("show reqests", 6, "requests", "reqests"),
        (
            "show requests where colour = 1",
            21,
            "tier, team, state",
            "colour",
        ),
        ("  show requests where tier is x", 28, "= < > ~", "is"),
        ("show requests where tier =", 27, "a value", ""),
        ("show requests limit many", 21, "a whole number", "many"),
        (
            "show requests limit 3 order by tier",
            23,
            "the end",
            "order",
        ),
        ("show requests order tier", 21, "by", "tier"),
        ("set tier shading colour = 3", 18, "queue_limit", "colour"),
        (
            "set tier shading limit = many",
            26,
            "a whole number from 0 to 100000",
            "many",
        ),
        (
            "set tier shading limit = 3 if version 2",
            31,
            "revision",
            "version",
        ),
        ("drain engine e-1", 7, "upstream, instance", "engine"),
        ("roll model m to version", 24, "a version", ""),
        ("undo plan-1 now", 13, "the end", "now"),
        ("cancel batch \"open", 14, "a closing quote", "\"open"),
    ];
    for (text, column, expected, found) in table {
        let error = parse(text).expect_err(text);
        assert_eq!(
            (error.column, error.found.as_str()),
            (column, found),
            "{text}: {error}"
        );
        assert!(error.expected.contains(expected), "{text}: {error}");
    }
}

fn row(tier: &str, age_ms: u64) -> QueryRow {
    let row = json!({"tier": tier, "age_ms": age_ms});
    row.as_object().expect("an object").clone()
}

#[test]
fn queries_filter_count_order_and_limit() {
    let fields = ["tier", "age_ms"];
    let rows = vec![
        row("a", 10),
        row("b", 40_000),
        row("a", 31_000),
        row("c", 5),
    ];
    let run = |text: &str| {
        let Ok(Statement::Show(query)) = parse(text) else {
            panic!("{text} is a query");
        };
        evaluate(&query, &fields, rows.clone())
    };
    let result = run("show requests where age_ms > 30s order by age_ms desc");
    assert_eq!(
        result.rows,
        [[json!("b"), json!(40_000)], [json!("a"), json!(31_000)]]
    );
    let result = run("show requests count by tier order by count desc limit 1");
    assert_eq!(
        (result.rows, result.total),
        (vec![vec![json!("a"), json!(2)]], 3)
    );
    let result = run("show requests where tier ~ b and age_ms != 3");
    assert_eq!(result.total, 1);
    let result = run("show requests where team = x");
    assert_eq!(result.total, 0, "a missing field is unequal to any value");
}
