//! A checked run: online alone, then online beside batch, a cancel, a setting, a leaving upstream
//! and a planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_settings::tier::TierSettings;
use tokio::time::sleep;

use crate::load_stats::LoadStats;
use crate::local_batch::{BatchJob, BatchRunner, JobSummary};
use crate::local_fleet::LocalFleet;
use crate::local_online::OnlineCallers;
use crate::local_operate::{self, ChangedSetting};
use crate::local_promises::{Promise, PromiseBook};
use crate::local_report::{LocalReport, TierReport};

/// Share of the run in which there is no batch work.
const ALONE_SHARE: f64 = 0.2;
/// Items of a job for each second of the run.
const ITEMS_PER_SECOND: f64 = 60.0;
/// How long after the end of the run jobs may still take.
const BATCH_GRACE: Duration = Duration::from_secs(60);

/// Runs a fleet for about so long and reports.
pub async fn run(fleet: &Arc<LocalFleet>, time: Duration) -> LocalReport {
    let start = Instant::now();
    let book = Arc::new(PromiseBook::default());
    let callers = OnlineCallers::start(fleet, &book);
    sleep(time.mul_f64(ALONE_SHARE)).await;
    let alone = callers.finish().await;

    let callers = OnlineCallers::start(fleet, &book);
    let operate = operate(fleet, &book);
    let batch = run_jobs(fleet, &book, time, start + time + BATCH_GRACE);
    let least = sleep(time.saturating_sub(start.elapsed()));
    let (setting, jobs, ()) = tokio::join!(operate, batch, least);
    let beside = callers.finish().await;
    check_on_time(fleet, &book, &beside);
    local_operate::check_kept(fleet, &book, &setting).await;

    let mut report = LocalReport::new(&fleet.settings);
    report.seconds = start.elapsed().as_secs_f64();
    report.online_alone = tier_reports(&alone);
    report.online_beside_batch = tier_reports(&beside);
    report.jobs = jobs;
    report.setting_in_force_ms = setting.in_force.map(|time| time.as_millis() as u64);
    report.with_promises(book.rows())
}

async fn operate(fleet: &Arc<LocalFleet>, book: &PromiseBook) -> ChangedSetting {
    let setting = local_operate::change_setting(fleet, book).await;
    tokio::join!(
        local_operate::leave_upstream(fleet, book),
        local_operate::stop_instance(fleet, book),
    );
    setting
}

/// Runs two jobs to their end and cancels a third, for each tier that takes batches.
async fn run_jobs(
    fleet: &Arc<LocalFleet>,
    book: &Arc<PromiseBook>,
    time: Duration,
    deadline: Instant,
) -> Vec<JobSummary> {
    let runner = BatchRunner {
        fleet: fleet.clone(),
        book: book.clone(),
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

fn check_on_time(fleet: &LocalFleet, book: &PromiseBook, beside: &[(String, LoadStats)]) {
    for (name, stats) in beside.iter().filter(|(_, stats)| stats.tokens > 0) {
        let tiers = fleet.settings.tiers.iter();
        let Some(tier) = tiers.into_iter().find(|t| t.name.as_str() == name) else {
            continue;
        };
        let first_us = stats.first_token.quantile(0.95);
        let gap_us = stats.gap.quantile(0.95);
        let is_met =
            first_us <= tier.first_token.as_micros() && gap_us <= tier.token_gap.as_micros();
        book.check(Promise::OnlineOnTime, is_met, || {
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
