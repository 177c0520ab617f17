//! Tests whether a quarantined part still crashes upstreams: the half-open state of a circuit breaker,
//! shared by all instances.
//!
//! The load: items of batch jobs wait behind a rule, or callers come again and again. The part may be
//! deadly for good, or the rule may be wrong. Each test of a deadly part costs an upstream.
//!
//! The member that judges grants a test by a record on the log. Records of one number exclude each
//! other by their order on the log, so a lost message, a restart or a second judge can waste a test, but
//! not add one.

use amaranth_wire::quarantine_message::{QuarantineRule, RuleTest};

use crate::prompt_quarantine::RULE_LIFETIME_MS;

/// Most tests of a rule, and so most upstreams that its part crashes after all instances know the rule.
pub const MAX_RULE_TESTS: u32 = 3;
/// Delay from a rule to its first test, in milliseconds: several times the restart of an upstream.
pub const FIRST_TEST_DELAY_MS: u64 = 30_000;
/// Growth of the delay with each test.
const TEST_DELAY_GROWTH: u64 = 10;
/// Time after its grant in which a test must begin, in milliseconds. It is short against the delays, so
/// that there is one test at a time.
pub const TEST_PERMIT_MS: u64 = 10_000;

/// Returns the delay before the next test, in milliseconds; `None` if no test is left.
pub fn test_delay_ms(spent: u32) -> Option<u64> {
    (spent < MAX_RULE_TESTS).then(|| FIRST_TEST_DELAY_MS * TEST_DELAY_GROWTH.pow(spent))
}

/// Returns when the next test of a rule is due, in milliseconds of Unix time; `None` if none is left.
pub fn test_due_ms(rule: &QuarantineRule) -> Option<u64> {
    let made_ms = rule.until_ms.saturating_sub(RULE_LIFETIME_MS);
    let (spent, since_ms) = match &rule.test {
        Some(test) => (test.spent, test.at_ms),
        None => (0, made_ms),
    };
    test_delay_ms(spent).map(|delay_ms| since_ms.saturating_add(delay_ms))
}

/// Returns the test that the judge grants to a member, if one is due.
pub fn grant_test(rule: &QuarantineRule, member: &str, now_ms: u64) -> Option<RuleTest> {
    if test_due_ms(rule)? > now_ms {
        return None;
    }
    let (number, spent) = match &rule.test {
        Some(test) => (test.number, test.spent),
        None => (0, 0),
    };
    Some(RuleTest {
        number: number.checked_add(1)?,
        spent: spent + 1,
        at_ms: now_ms,
        member: member.to_owned(),
        returned: false,
    })
}

/// Returns the test as its member gives it back.
pub fn return_test(test: &RuleTest) -> RuleTest {
    RuleTest {
        spent: test.spent.saturating_sub(1),
        returned: true,
        ..test.clone()
    }
}

/// Whether a test on the log replaces the one known before.
pub fn replaces(known: Option<&RuleTest>, next: &RuleTest) -> bool {
    known.is_none_or(|known| {
        let is_return = next.returned && !known.returned && next.member == known.member;
        next.number > known.number || next.number == known.number && is_return
    })
}
