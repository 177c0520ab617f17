//! Sequence of a checked run: online load alone, then online load beside batch jobs, a cancelled
//! job, a setting change, a leaving upstream and a planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_settings::tier::TierSettings;
use tokio::time::sleep;

use crate::load_stats::LoadStats;
use crate::local_batch::{BatchJob, BatchRunner, JobSummary};
use crate::local_fleet::LocalFleet;
use crate::local_online::OnlineCallers;
use crate::local_operate::{self, ChangedSetting};
use crate::local_promises::{Promise, PromiseRecorder};
use crate::local_report::{LocalReport, TierReport};

/// Fraction of the run with online load only.
const ONLINE_ONLY_SHARE: f64 = 0.2;
/// Job size, in items per second of the run.
const ITEMS_PER_SECOND: f64 = 60.0;
/// Time after the planned end of the run within which jobs must finish.
const BATCH_GRACE: Duration = Duration::from_secs(60);

/// Runs the checks on a fleet for about `time`. Unfinished jobs may extend the run.
pub async fn run(fleet: &Arc<LocalFleet>, time: Duration) -> LocalReport {
    let start = Instant::now();
    let recorder = Arc::new(PromiseRecorder::default());
    let callers = OnlineCallers::start(fleet, &recorder);
    sleep(time.mul_f64(ONLINE_ONLY_SHARE)).await;
    let alone = callers.finish().await;

    let callers = OnlineCallers::start(fleet, &recorder);
    let run_operator_steps = run_operator_steps(fleet, &recorder);
    let batch = run_jobs(fleet, &recorder, time, start + time + BATCH_GRACE);
    let planned_end = sleep(time.saturating_sub(start.elapsed()));
    let (setting, jobs, ()) = tokio::join!(run_operator_steps, batch, planned_end);
    let beside = callers.finish().await;
    check_objectives(fleet, &recorder, &beside);
    local_operate::check_still_in_force(fleet, &recorder, &setting).await;

    let mut report = LocalReport::new(&fleet.settings);
    report.seconds = start.elapsed().as_secs_f64();
    report.online_alone = tier_reports(&alone);
    report.online_beside_batch = tier_reports(&beside);
    report.jobs = jobs;
    report.setting_in_force_ms = setting.in_force.map(|time| time.as_millis() as u64);
    report.with_promises(recorder.rows())
}

async fn run_operator_steps(fleet: &Arc<LocalFleet>, recorder: &PromiseRecorder) -> ChangedSetting {
    let setting = local_operate::change_setting(fleet, recorder).await;
    tokio::join!(
        local_operate::check_leaving_upstream(fleet, recorder),
        local_operate::stop_instance(fleet, recorder),
    );
    setting
}

/// For each batch tier, runs two jobs to their end and cancels a third one.
async fn run_jobs(
    fleet: &Arc<LocalFleet>,
    recorder: &Arc<PromiseRecorder>,
    time: Duration,
    deadline: Instant,
) -> Vec<JobSummary> {
    let runner = BatchRunner {
        fleet: fleet.clone(),
        recorder: recorder.clone(),
        deadline,
    };
    let items = (time.as_secs_f64() * ITEMS_PER_SECOND) as usize;
    let mut jobs = Vec::new();
    for tier in fleet.settings.tiers.iter().filter(|tier| tier.batch) {
        let first = new_job(fleet, tier, items);
        let second = new_job(fleet, tier, items / 2);
        let cancelled = new_job(fleet, tier, items * 4);
        let (first, second, cancelled) = tokio::join!(
            runner.run(&first),
            runner.run(&second),
            runner.run_cancelled(&cancelled),
        );
        jobs.extend([first, second, cancelled].into_iter().flatten());
    }
    jobs
}

fn new_job(fleet: &LocalFleet, tier: &TierSettings, items: usize) -> BatchJob {
    let group = fleet.settings.group(&tier.upstreams);
    let model = group.and_then(|group| group.model.as_ref());
    BatchJob {
        prefix: format!("lot-{:08x}", rand::random::<u32>()),
        items: items.max(1),
        tier: tier.name.to_string(),
        model: model.map_or_else(String::new, |model| model.to_string()),
    }
}

fn check_objectives(
    fleet: &LocalFleet,
    recorder: &PromiseRecorder,
    beside: &[(String, LoadStats)],
) {
    for (name, stats) in beside.iter().filter(|(_, stats)| stats.tokens > 0) {
        let tiers = fleet.settings.tiers.iter();
        let Some(tier) = tiers.into_iter().find(|t| t.name.as_str() == name) else {
            continue;
        };
        let first_us = stats.first_token.quantile(0.95);
        let gap_us = stats.gap.quantile(0.95);
        let is_met =
            first_us <= tier.first_token.as_micros() && gap_us <= tier.token_gap.as_micros();
        recorder.check(Promise::OnlineWithinObjective, is_met, || {
            format!(
                "{name}: first token {first_us} us and gap {gap_us} us at p95; aims are {} and {}",
                tier.first_token, tier.token_gap
            )
        });
    }
}

fn tier_reports(tiers: &[(String, LoadStats)]) -> Vec<TierReport> {
    let reports = tiers.iter();
    reports
        .map(|(name, stats)| TierReport::new(name, stats))
        .collect()
}
