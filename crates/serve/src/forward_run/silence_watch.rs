//! Watches a silent upstream, and gives its request to another one that has room for it.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use amaranth_kernel::attempt_plan::FailureProof;
use amaranth_kernel::hand_over::{RequestKeeper, SilentAttempt, choose_keeper};
use amaranth_wire::id::UpstreamId;
use tokio::time::{Instant, sleep, sleep_until};

use super::successor::FoundSuccessor;
use super::{ForwardRun, PlacedAnswer, RunningAttempt, error_answer};
use crate::attempt::{AttemptEnd, FailedAttempt};

/// Interval at which another upstream is looked for while one is silent.
const SUCCESSOR_SEARCH_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for which a request is at two upstreams. Engines must not work on one request
/// together for more than 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Longest time for which a request is at two upstreams again when it returns to one that has run it:
/// enough for a refusal to arrive, and within 400 ms together with [`MAX_OVERLAP`].
const RETURN_OVERLAP: Duration = Duration::from_millis(60);
/// Time after a refusal in which an upstream isn't asked for the same request again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(1_000);

/// The upstream that a request waits for.
#[derive(Debug, Clone)]
pub struct UpstreamSilence {
    /// Its id.
    pub upstream: UpstreamId,
    /// When it was last heard from, or sent the request.
    pub since: Instant,
    /// Silence after which another upstream is looked for.
    pub limit: Duration,
    /// Whether it has sent a part of the answer.
    pub has_begun: bool,
}

/// How the wait for an upstream ended.
pub enum WatchEnd<T> {
    /// It was heard from, or has failed.
    Heard(std::result::Result<T, FailedAttempt>),
    /// Another upstream has answered, and the silent one is to be left.
    Answered(Box<PlacedAnswer>),
    /// Another upstream works on the request, and the silent one is to be left.
    Left(RunningAttempt),
}

/// What came of asking another upstream.
enum SuccessorStep<T> {
    End(WatchEnd<T>),
    /// The silent upstream keeps the request, and the other one is to be left.
    Kept(UpstreamId),
    /// It doesn't take the request.
    Failed(FailedAttempt),
}

impl ForwardRun {
    /// Waits for a silent upstream, which is heard from when `heard` completes; `judge` tells whether
    /// it has failed. It is left only for another one that takes the request.
    pub(crate) async fn watch<H, T>(
        &mut self,
        silence: &UpstreamSilence,
        heard: impl Future<Output = H>,
        judge: impl Fn(&Self, H) -> std::result::Result<T, FailedAttempt>,
        resume_after: Option<u64>,
    ) -> WatchEnd<T> {
        let mut heard = pin!(heard);
        tokio::select! {
            biased;
            heard = heard.as_mut() => return WatchEnd::Heard(judge(self, heard)),
            () = sleep_until(silence.since + silence.limit) => {}
        }
        self.context
            .placement
            .pool
            .record_failure(&silence.upstream);
        let mut is_logged = false;
        let mut refused = Vec::new();
        loop {
            let found = tokio::select! {
                biased;
                heard = heard.as_mut() => return WatchEnd::Heard(judge(self, heard)),
                found = self.find_successor(silence, &mut refused) => found,
            };
            let mut earliest_search = Instant::now();
            if let Some(found) = found {
                let paid = found.takes_retry;
                let tried =
                    self.try_successor(silence, found, heard.as_mut(), &judge, resume_after);
                match tried.await {
                    SuccessorStep::End(end) => return end,
                    SuccessorStep::Kept(upstream) => {
                        self.count_run(&upstream);
                        // A shorter limit holds for the first attempt only.
                        earliest_search = silence.since + self.silence_limit();
                    }
                    SuccessorStep::Failed(failed) => {
                        if failed.proof == FailureProof::NotRun {
                            let until = Instant::now() + REFUSAL_PAUSE;
                            refused.push((failed.upstream.clone(), until));
                        }
                        self.record_failed_successor(failed, paid).await;
                    }
                }
            } else if !is_logged {
                is_logged = true;
                self.log_silence(silence, "waiting");
            }
            tokio::select! {
                biased;
                heard = heard.as_mut() => return WatchEnd::Heard(judge(self, heard)),
                () = sleep_until(earliest_search.max(Instant::now() + SUCCESSOR_SEARCH_PERIOD)) => {}
            }
        }
    }

    /// Waits until either upstream is heard from, or both were silent for too long together. If the
    /// silent one fails, the other keeps the request.
    async fn try_successor<H, T>(
        &mut self,
        silence: &UpstreamSilence,
        found: FoundSuccessor,
        heard: impl Future<Output = H>,
        judge: impl Fn(&Self, H) -> std::result::Result<T, FailedAttempt>,
        resume_after: Option<u64>,
    ) -> SuccessorStep<T> {
        let overlap = match found.returns {
            true => RETURN_OVERLAP,
            false => MAX_OVERLAP,
        };
        let mut successor = self.start_successor(found.permit, resume_after);
        let end = tokio::select! {
            biased;
            heard = heard => {
                return SuccessorStep::End(match judge(self, heard) {
                    Ok(heard) => {
                        self.log_silence(silence, "ended");
                        self.count_run(&successor.upstream);
                        WatchEnd::Heard(Ok(heard))
                    }
                    Err(failed) => {
                        self.record_failed_predecessor(failed).await;
                        WatchEnd::Left(successor)
                    }
                });
            }
            end = &mut successor.end => end,
            () = sleep(overlap) => {
                let other = successor.upstream.clone();
                if !found.returns && self.choose(silence, &other) == RequestKeeper::First {
                    return SuccessorStep::Kept(other);
                }
                self.leave(silence, &other);
                return SuccessorStep::End(WatchEnd::Left(successor));
            }
        };
        match end {
            AttemptEnd::Answer(answer, permit) if answer.status().is_success() => {
                self.leave(silence, &successor.upstream);
                SuccessorStep::End(WatchEnd::Answered(Box::new((*answer, permit))))
            }
            AttemptEnd::Answer(answer, permit) => {
                SuccessorStep::Failed(error_answer(&answer, &permit))
            }
            AttemptEnd::Failed(failed) => SuccessorStep::Failed(failed),
        }
    }

    /// Decides which of two silent upstreams keeps the request.
    fn choose(&self, silence: &UpstreamSilence, other: &UpstreamId) -> RequestKeeper {
        let attempt = self.silent_attempt(silence);
        let signs = self.context.placement.pool.signs(other);
        let keeper = choose_keeper(&attempt, &signs);
        if keeper == RequestKeeper::First {
            metrics::counter!("silent_upstreams_kept_total").increment(1);
            self.log_choice(silence, other, "kept other");
        }
        keeper
    }

    /// The silent attempt with what any request heard from its upstream.
    pub(super) fn silent_attempt(&self, silence: &UpstreamSilence) -> SilentAttempt {
        SilentAttempt {
            silent_ms: silence.since.elapsed().as_millis() as u64,
            has_begun: silence.has_begun,
            signs: self.context.placement.pool.signs(&silence.upstream),
        }
    }

    /// Counts the silent upstream as a failed attempt.
    fn leave(&mut self, silence: &UpstreamSilence, successor: &UpstreamId) {
        self.log_choice(silence, successor, "left successor");
        self.count_run(&silence.upstream);
        self.left.push(silence.upstream.clone());
        metrics::counter!("silent_upstreams_left_total").increment(1);
    }

    async fn record_failed_predecessor(&mut self, failed: FailedAttempt) {
        self.report_loss(&failed).await;
        self.count_failure(&failed);
        self.log_failed_attempt(&failed, "Successor");
        self.excluded.push(failed.upstream);
    }

    /// Excludes a successor that failed, unless it only had no room. One that didn't run the request
    /// costs neither an attempt nor a share of the retry budget.
    async fn record_failed_successor(&mut self, failed: FailedAttempt, paid: bool) {
        self.report_loss(&failed).await;
        self.log_failed_attempt(&failed, "Wait");
        if failed.proof == FailureProof::MayHaveRun {
            self.count_run(&failed.upstream);
        } else if paid {
            self.context.budget.lock().return_retry();
        }
        if failed.proof != FailureProof::NotRun {
            self.excluded.push(failed.upstream);
        }
    }

    fn log_silence(&self, silence: &UpstreamSilence, outcome: &str) {
        log::info!(
            "event=upstream_silent request={} upstream={} silent_ms={} begun={} attempts={} remaining_ms={} outcome={outcome}",
            self.id(),
            silence.upstream,
            silence.since.elapsed().as_millis(),
            silence.has_begun,
            self.count.total(),
            self.remaining().as_millis(),
        );
    }

    /// Logs what a decision between two silent upstreams rests on.
    fn log_choice(&self, silence: &UpstreamSilence, other: &UpstreamId, outcome: &str) {
        let pool = &self.context.placement.pool;
        let (own, signs) = (pool.signs(&silence.upstream), pool.signs(other));
        let outcome = format!(
            "{outcome}={other} upstream_silent_ms={} other_silent_ms={} other_heard_ms={} other_resumed_ms={}",
            age_text(own.silent_ms),
            age_text(signs.silent_ms),
            age_text(signs.heard_ms),
            age_text(signs.resumed_ms),
        );
        self.log_silence(silence, &outcome);
    }
}

fn age_text(age_ms: Option<u64>) -> String {
    age_ms.map_or("none".to_owned(), |age_ms| age_ms.to_string())
}
