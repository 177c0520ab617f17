//! Online callers of a checked run, which make streamed completions and service calls.

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
use crate::local_promises::{Promise, PromiseRecorder};
use crate::service::{ServiceAnswer, body_hash};

/// Concurrent callers of each tier.
const CALLERS_PER_TIER: usize = 24;
/// Longest random pause of a caller between calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// Team that calls without a key are assigned to.
const ANONYMOUS_TEAM: &str = "default";
/// Minimum and maximum number of tokens per answer.
const TOKEN_RANGE: (u32, u32) = (8, 48);
/// One service call in this many has a deadline that can't be met, so that refusals are checked.
const SHORT_DEADLINE_ONE_IN: u32 = 12;
/// Deadline that can't be met, in milliseconds.
const SHORT_DEADLINE_MS: &str = "2";
/// Timeouts for the head of an answer and between tokens.
const CALL_TIMEOUTS: CallLimits = CallLimits::new(Duration::from_secs(30));

/// A service call that was made, kept to compare with the services' run counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentCall {
    /// Idempotency key that the upstream receives.
    pub key: String,
    /// Whether every answer to it said that nothing ran.
    pub is_not_run: bool,
}

/// Running callers and the service calls that they made.
pub struct OnlineCallers {
    fleet: Arc<LocalFleet>,
    recorder: Arc<PromiseRecorder>,
    stop: CancellationToken,
    tasks: JoinSet<(String, LoadStats)>,
    sent: Arc<Mutex<Vec<SentCall>>>,
}

impl OnlineCallers {
    /// Starts callers for every tier that takes no batches.
    pub fn start(fleet: &Arc<LocalFleet>, recorder: &Arc<PromiseRecorder>) -> Self {
        let mut callers = Self {
            fleet: fleet.clone(),
            recorder: recorder.clone(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            sent: Arc::default(),
        };
        let tiers = fleet.settings.tiers.iter().filter(|tier| !tier.batch);
        for tier in tiers {
            for _ in 0..CALLERS_PER_TIER {
                callers.start_caller(tier);
            }
        }
        callers
    }

    fn start_caller(&mut self, tier: &TierSettings) {
        let (fleet, recorder) = (self.fleet.clone(), self.recorder.clone());
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
                        let report = complete(&fleet, &recorder, &tier, &model).await;
                        stats.add(&report);
                    }
                    _ => {
                        let end = call_service(&fleet, &recorder, &tier, &sent).await;
                        stats.add_unstreamed(&end);
                    }
                }
                let pause = rand::rng().random_range(0..MAX_PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
            }
            (name, stats)
        });
    }

    /// Stops the callers after their current calls, checks the services' run counts, and returns
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

    /// Compares what callers were told with the run counts of the services.
    fn check_runs(&self) {
        for call in self.sent.lock().expect("not poisoned").iter() {
            let runs = count_runs(&self.fleet, &call.key);
            let finding = || format!("{} ran {runs} times", call.key);
            if runs > 0 {
                self.recorder.check(Promise::AtMostOnce, runs == 1, finding);
            }
            if call.is_not_run {
                self.recorder
                    .check(Promise::NotRunAccurate, runs == 0, finding);
            }
        }
    }
}

async fn complete(
    fleet: &LocalFleet,
    recorder: &PromiseRecorder,
    tier: &TierSettings,
    model: &str,
) -> CallReport {
    let instance = fleet.pick_instance();
    let target = LoadTarget::new("local", instance.address, model)
        .with_header("amaranth-tier", tier.name.as_str());
    let call = LoadCall {
        number: 0,
        prompt: format!("roof {:016x}", rand::random::<u64>()),
        tokens: rand::rng().random_range(TOKEN_RANGE.0..=TOKEN_RANGE.1),
        limits: CALL_TIMEOUTS,
    };
    let report = call.run(&fleet.client, &target).await;
    let is_right = report.wrong + report.lost + report.doubled == 0;
    if !report.end.is_not_run() {
        let is_complete = is_right && report.end == CallEnd::Complete;
        recorder.check(Promise::AnswersComplete, is_complete, || {
            format!("{}: {:?} from {}", call.prompt, report.end, instance.name)
        });
    }
    report
}

/// Number of runs of a key on all services.
fn count_runs(fleet: &LocalFleet, key: &str) -> u64 {
    let services = fleet.services.iter();
    services
        .map(|(_, state)| state.calls_for_key(key).runs)
        .sum()
}

/// A service call that must run at most once, and how its caller resends it.
struct ServiceCall {
    key: String,
    /// The key that an instance sends to the upstream.
    upstream_key: String,
    path: String,
    body: String,
    has_short_deadline: bool,
    resend: ResendMode,
}

impl ServiceCall {
    fn new(tier: &TierSettings) -> Self {
        let key = format!("call-{:016x}", rand::random::<u64>());
        let team = ANONYMOUS_TEAM.parse().expect("a valid name");
        let mut rng = rand::rng();
        Self {
            path: format!("/v1/services/{}/orders?item=17", tier.name),
            body: json!({"key": key}).to_string(),
            upstream_key: request_id(&team, &key).to_string(),
            key,
            has_short_deadline: rng.random_ratio(1, SHORT_DEADLINE_ONE_IN),
            resend: match rng.random_range(0..4) {
                0 => ResendMode::Sequential,
                1 => ResendMode::Concurrent,
                _ => ResendMode::Never,
            },
        }
    }

    /// Sends the call to a randomly picked instance.
    async fn send(&self, fleet: &LocalFleet) -> CallEnd {
        let call = HttpCall::post(fleet.pick_instance().address, self.path.clone())
            .with_headers(service_headers(&self.key, self.has_short_deadline))
            .with_body(self.body.clone());
        match fleet.client.fetch(call, CALL_TIMEOUTS).await {
            Ok((200, text)) if self.answers_this_call(&text) => CallEnd::Complete,
            Ok((200, _)) => CallEnd::Broken,
            Ok((status, text)) => end_of_refusal(status, &text),
            Err(e) => end_of_failure(&e),
        }
    }

    fn answers_this_call(&self, text: &[u8]) -> bool {
        let answer = serde_json::from_slice::<ServiceAnswer>(text);
        answer.is_ok_and(|answer| {
            answer.key.as_ref() == Some(&self.upstream_key)
                && answer.body_hash == body_hash(self.body.as_bytes())
        })
    }

    /// Sends the call once or twice, as `resend` says. The first outcome is the one that counts
    /// unless another is complete.
    async fn run(&self, fleet: &LocalFleet) -> Vec<CallEnd> {
        match self.resend {
            ResendMode::Never => vec![self.send(fleet).await],
            ResendMode::Sequential => vec![self.send(fleet).await, self.send(fleet).await],
            ResendMode::Concurrent => {
                let (first, second) = tokio::join!(self.send(fleet), self.send(fleet));
                vec![first, second]
            }
        }
    }
}

/// Whether a caller resends a call under its key, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResendMode {
    Never,
    Sequential,
    Concurrent,
}

async fn call_service(
    fleet: &LocalFleet,
    recorder: &PromiseRecorder,
    tier: &TierSettings,
    sent: &Mutex<Vec<SentCall>>,
) -> CallEnd {
    let call = ServiceCall::new(tier);
    let ends = call.run(fleet).await;
    let is_not_run = ends.iter().all(CallEnd::is_not_run);
    let is_complete = ends.contains(&CallEnd::Complete);
    if !is_not_run && !call.has_short_deadline {
        recorder.check(Promise::AnswersComplete, is_complete, || {
            format!("{}: {ends:?}", call.key)
        });
    }
    let mut sent = sent.lock().expect("not poisoned");
    sent.push(SentCall {
        key: call.upstream_key,
        is_not_run,
    });
    match is_complete {
        true => CallEnd::Complete,
        false => ends[0].clone(),
    }
}

fn service_headers(key: &str, has_short_deadline: bool) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let deadline = has_short_deadline.then_some(("amaranth-deadline-ms", SHORT_DEADLINE_MS));
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
