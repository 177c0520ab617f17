//! Online callers of a checked run: streamed completions and service calls.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_entry::accept::request_id;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_settings::tier::TierSettings;
use amaranth_settings::upstream::UpstreamKind;
use http::{HeaderMap, HeaderName, HeaderValue};
use rand::RngExt;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::load_call::{CallEnd, CallReport, LoadCall, LoadTarget, end_of_failure, end_of_refusal};
use crate::load_stats::LoadStats;
use crate::local_fleet::LocalFleet;
use crate::local_promises::{Promise, PromiseBook};
use crate::service::{ServiceAnswer, body_hash};

/// Callers of each tier.
const CALLERS: usize = 24;
/// Longest pause of a caller between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// Team of callers without a key.
const TEAM: &str = "default";
/// Tokens of an answer, at least and at most.
const TOKENS: (u32, u32) = (8, 48);
/// One service call in so many has a deadline that can't be met, so that refusals are checked.
const HURRIED_EVERY: u32 = 12;
/// That deadline, in milliseconds.
const HURRIED_DEADLINE_MS: &str = "2";
/// Longest wait for the head of an answer and between two tokens.
const CALL_LIMITS: CallLimits = CallLimits::new(Duration::from_secs(30));

/// A call of a service that was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentCall {
    /// Its key at the upstream.
    pub key: String,
    /// Whether every answer to it said that nothing ran.
    pub is_not_run: bool,
}

/// The callers and what they measured.
pub struct OnlineCallers {
    fleet: Arc<LocalFleet>,
    book: Arc<PromiseBook>,
    stop: CancellationToken,
    tasks: JoinSet<(String, LoadStats)>,
    sent: Arc<Mutex<Vec<SentCall>>>,
}

impl OnlineCallers {
    /// Starts the callers of every tier that takes no batches.
    pub fn start(fleet: &Arc<LocalFleet>, book: &Arc<PromiseBook>) -> Self {
        let mut callers = Self {
            fleet: fleet.clone(),
            book: book.clone(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            sent: Arc::default(),
        };
        let tiers = fleet.settings.tiers.iter().filter(|tier| !tier.batch);
        for tier in tiers {
            for _ in 0..CALLERS {
                callers.start_caller(tier);
            }
        }
        callers
    }

    fn start_caller(&mut self, tier: &TierSettings) {
        let (fleet, book) = (self.fleet.clone(), self.book.clone());
        let (stop, sent) = (self.stop.clone(), self.sent.clone());
        let (name, tier) = (tier.name.to_string(), tier.clone());
        let group = fleet.settings.group(&tier.upstreams);
        let kind = group.map(|group| group.kind);
        let model = group.and_then(|group| group.model.as_ref());
        let model = model.map_or_else(String::new, |model| model.to_string());
        self.tasks.spawn(async move {
            let mut stats = LoadStats::default();
            while !stop.is_cancelled() {
                match kind {
                    Some(UpstreamKind::Engine) => {
                        let report = complete(&fleet, &book, &tier, &model).await;
                        stats.add(&report);
                    }
                    _ => {
                        let end = call_service(&fleet, &book, &tier, &sent).await;
                        stats.add_unstreamed(&end);
                    }
                }
                let pause = rand::rng().random_range(0..MAX_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
            }
            (name, stats)
        });
    }

    /// Ends the callers after their current calls, checks what only shows at the end, and returns
    /// the measurements by tier.
    pub async fn finish(mut self) -> Vec<(String, LoadStats)> {
        self.stop.cancel();
        let mut tiers: Vec<(String, LoadStats)> = Vec::new();
        while let Some(Ok((name, stats))) = self.tasks.join_next().await {
            match tiers.iter_mut().find(|(known, _)| *known == name) {
                Some((_, all)) => all.merge(&stats),
                None => tiers.push((name, stats)),
            }
        }
        self.check_runs();
        tiers.retain(|(_, stats)| stats.calls > 0);
        tiers.sort_by(|(a, _), (b, _)| a.cmp(b));
        tiers
    }

    /// Compares what callers were told with the services' own counts.
    fn check_runs(&self) {
        for call in self.sent.lock().expect("not poisoned").iter() {
            let runs = runs_of(&self.fleet, &call.key);
            let finding = || format!("{} ran {runs} times", call.key);
            if runs > 0 {
                self.book.check(Promise::AtMostOnce, runs == 1, finding);
            }
            if call.is_not_run {
                self.book.check(Promise::NotRunTrue, runs == 0, finding);
            }
        }
    }
}

async fn complete(
    fleet: &LocalFleet,
    book: &PromiseBook,
    tier: &TierSettings,
    model: &str,
) -> CallReport {
    let instance = fleet.pick();
    let target = LoadTarget::new("local", instance.address, model)
        .with_header("amaranth-tier", tier.name.as_str());
    let call = LoadCall {
        number: 0,
        prompt: format!("roof {:016x}", rand::random::<u64>()),
        tokens: rand::rng().random_range(TOKENS.0..=TOKENS.1),
        limits: CALL_LIMITS,
    };
    let report = call.run(&fleet.client, &target).await;
    let is_right = report.wrong + report.lost + report.doubled == 0;
    if !report.end.is_not_run() {
        let is_whole = is_right && report.end == CallEnd::Complete;
        book.check(Promise::OnlineWhole, is_whole, || {
            format!("{}: {:?} from {}", call.prompt, report.end, instance.name)
        });
    }
    report
}

/// How often the services ran calls with a key.
fn runs_of(fleet: &LocalFleet, key: &str) -> u64 {
    let services = fleet.services.iter();
    services
        .map(|(_, state)| state.calls_for_key(key).runs)
        .sum()
}

/// One call that may not be repeated, and how its caller sends it again.
struct ServiceCall {
    key: String,
    /// The key as an instance passes it on.
    upstream_key: String,
    path: String,
    body: String,
    is_hurried: bool,
    resend: ResendTime,
}

impl ServiceCall {
    fn new(tier: &TierSettings) -> Self {
        let key = format!("call-{:016x}", rand::random::<u64>());
        let team = TEAM.parse().expect("a valid name");
        let mut rng = rand::rng();
        Self {
            path: format!("/v1/services/{}/orders?item=17", tier.name),
            body: json!({"key": key}).to_string(),
            upstream_key: request_id(&team, &key).to_string(),
            key,
            is_hurried: rng.random_ratio(1, HURRIED_EVERY),
            resend: match rng.random_range(0..4) {
                0 => ResendTime::After,
                1 => ResendTime::Beside,
                _ => ResendTime::Never,
            },
        }
    }

    /// Sends the call to any instance.
    async fn send(&self, fleet: &LocalFleet) -> CallEnd {
        let call = HttpCall::post(fleet.pick().address, self.path.clone())
            .with_headers(service_headers(&self.key, self.is_hurried))
            .with_body(self.body.clone());
        match fleet.client.fetch(call, CALL_LIMITS).await {
            Ok((200, text)) if self.is_own(&text) => CallEnd::Complete,
            Ok((200, _)) => CallEnd::Broken,
            Ok((status, text)) => end_of_refusal(status, &text),
            Err(e) => end_of_failure(&e),
        }
    }

    fn is_own(&self, text: &[u8]) -> bool {
        let answer = serde_json::from_slice::<ServiceAnswer>(text);
        answer.is_ok_and(|answer| {
            answer.key.as_ref() == Some(&self.upstream_key)
                && answer.body_hash == body_hash(self.body.as_bytes())
        })
    }

    /// Sends the call as often as its caller does. The first end is the one that counts unless
    /// another is whole.
    async fn run(&self, fleet: &LocalFleet) -> Vec<CallEnd> {
        match self.resend {
            ResendTime::Never => vec![self.send(fleet).await],
            ResendTime::After => vec![self.send(fleet).await, self.send(fleet).await],
            ResendTime::Beside => {
                let (first, second) = tokio::join!(self.send(fleet), self.send(fleet));
                vec![first, second]
            }
        }
    }
}

/// When a caller sends a call again under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResendTime {
    Never,
    After,
    Beside,
}

async fn call_service(
    fleet: &LocalFleet,
    book: &PromiseBook,
    tier: &TierSettings,
    sent: &Mutex<Vec<SentCall>>,
) -> CallEnd {
    let call = ServiceCall::new(tier);
    let ends = call.run(fleet).await;
    let is_not_run = ends.iter().all(CallEnd::is_not_run);
    let is_whole = ends.contains(&CallEnd::Complete);
    if !is_not_run && !call.is_hurried {
        book.check(Promise::OnlineWhole, is_whole, || {
            format!("{}: {ends:?}", call.key)
        });
    }
    let mut sent = sent.lock().expect("not poisoned");
    sent.push(SentCall {
        key: call.upstream_key,
        is_not_run,
    });
    match is_whole {
        true => CallEnd::Complete,
        false => ends[0].clone(),
    }
}

fn service_headers(key: &str, is_hurried: bool) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let deadline = is_hurried.then_some(("amaranth-deadline-ms", HURRIED_DEADLINE_MS));
    let others = [
        ("content-type", "application/json"),
        ("idempotency-key", key),
        ("amaranth-repeatable", "false"),
    ];
    for (name, value) in others.into_iter().chain(deadline) {
        let value = HeaderValue::from_str(value).expect("keys are hexadecimal");
        headers.insert(HeaderName::from_static(name), value);
    }
    headers
}
