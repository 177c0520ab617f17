//! Measures the effect of faults on streams, with separate processes on loopback. Run with
//! `cargo bench --bench online_faults`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall, HttpError};
use amaranth_standin::token_text::complete_answer;
use serde_json::{Value, json};
use support::{TestFleet, chat, streamed_text};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const STREAMS: usize = 40;
const TOKENS: u32 = 150;
const FAULTED_STREAMS: usize = 10_000;
const FAULTED_WORKERS: usize = 100;
const FAULTED_TOKENS: u32 = 30;
const STEP: [&str; 4] = ["--step", "20ms", "--slots", "64"];

#[tokio::main]
async fn main() {
    let silence = json!({"silence_existing": true});
    print_gaps("silent connections, resumed", 1, Fault::Call(silence)).await;
    print_gaps("dead engine, generated again", 3, Fault::Signal("KILL")).await;
    print_gaps("silent engine, generated again", 3, Fault::Signal("STOP")).await;
    print_leaving().await;
    print_faulted().await;
}

enum Fault {
    Call(Value),
    Signal(&'static str),
}

/// Prints the longest gap between chunks of each stream that a fault of the first engine affects.
async fn print_gaps(name: &str, engines: usize, fault: Fault) {
    let fleet = TestFleet::start_with(engines, 1, &STEP, &[]).await;
    let mut streams = JoinSet::new();
    for index in 0..STREAMS {
        let body = chat(&format!("roof {index}"), TOKENS, true);
        let answer = fleet.open("entry-1", CHAT, &[], body).await;
        let mut answer = answer.expect("an answer begins");
        streams.spawn(async move {
            let (mut last, mut longest) = (Instant::now(), Duration::ZERO);
            let mut whole = false;
            while let Ok(Some(chunk)) = answer.next_chunk().await {
                longest = longest.max(last.elapsed());
                last = Instant::now();
                whole = chunk.ends_with(b"data: [DONE]\n\n");
            }
            (longest, whole)
        });
    }
    sleep(Duration::from_millis(300)).await;
    match fault {
        Fault::Call(faults) => {
            let call = HttpCall::post(fleet.engines[0].address, "/faults");
            let call = call.with_body(faults.to_string());
            fleet.client.fetch(call, LIMITS).await.expect("an answer");
        }
        Fault::Signal(signal) => fleet.engines[0].signal(signal),
    }
    let ended = streams.join_all().await;
    let whole = ended.iter().filter(|(_, whole)| *whole).count();
    let gaps = ended.iter().map(|(gap, _)| *gap);
    let mut affected: Vec<_> = gaps
        .filter(|gap| *gap > Duration::from_millis(150))
        .collect();
    affected.sort_unstable();
    let percentile =
        |share: f64| affected.get(((affected.len().max(1) - 1) as f64 * share) as usize);
    println!(
        "{name}: {whole} of {STREAMS} whole, {} met, longest wait p50 {:?} p95 {:?} max {:?}",
        affected.len(),
        percentile(0.5),
        percentile(0.95),
        affected.last()
    );
}

/// Prints the time from the order to leave to the last new request that reached the engine.
async fn print_leaving() {
    let fleet = TestFleet::start_with(3, 3, &STEP, &[]).await;
    let engine = fleet.engines[0].address;
    let order = json!({"id": "leave-1", "fence": 1, "action": {"set_leaving": {"leaving": true}}});
    let mut last = Duration::ZERO;
    let mut seen = 0;
    let mut start = Instant::now();
    for round in 0..500 {
        if round == 100 {
            let call = HttpCall::post(engine, "/engine/orders").with_body(order.to_string());
            fleet.client.fetch(call, LIMITS).await.expect("an answer");
            start = Instant::now();
        }
        let entry = format!("entry-{}", round % 3 + 1);
        let body = chat(&format!("roof {round}"), 2, false);
        let _ = fleet.post(&entry, CHAT, &[], body).await;
        let call = HttpCall::get(engine, "/engine/counts");
        let counts: Result<Value, _> = fleet.client.fetch_json(call, LIMITS).await;
        let counts = counts.expect("the engine's counts");
        let received =
            counts["requests"].as_u64().unwrap_or(0) + counts["refused"].as_u64().unwrap_or(0);
        if received != seen {
            seen = received;
            last = start.elapsed();
        }
    }
    println!(
        "leaving engine: last new request {last:?} after the order, watched for {:?}",
        start.elapsed()
    );
}

/// Checks every token of many streams while connections break, streams are lost, connections go
/// silent and an engine is ejected for its errors.
async fn print_faulted() {
    let fleet = TestFleet::start_with(4, 3, &["--step", "2ms", "--slots", "64"], &[]).await;
    let faults = [
        json!({"break_after_tokens": 9}),
        json!({"break_after_tokens": 21, "lose_broken": true}),
        json!({"error_percent": 10}),
    ];
    for (engine, faults) in fleet.engines.iter().zip(faults) {
        let call = HttpCall::post(engine.address, "/faults").with_body(faults.to_string());
        fleet.client.fetch(call, LIMITS).await.expect("an answer");
    }
    let entries: Vec<_> = fleet.entries.values().map(|entry| entry.address).collect();
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for worker in 0..FAULTED_WORKERS {
        let (client, entry) = (fleet.client.clone(), entries[worker % entries.len()]);
        workers.spawn(async move {
            let mut counts = FaultedCounts::default();
            for index in 0..FAULTED_STREAMS / FAULTED_WORKERS {
                let prompt = format!("roof {worker} {index}");
                let body = chat(&prompt, FAULTED_TOKENS, true);
                let call = HttpCall::post(entry, CHAT).with_body(body);
                let answer = client.fetch(call, CallLimits::new(Duration::from_secs(40)));
                counts.add(&prompt, answer.await);
            }
            counts
        });
    }
    let silent = fleet.engines[3].address;
    for _ in 0..10 {
        sleep(Duration::from_secs(1)).await;
        let faults = json!({"silence_existing": true}).to_string();
        let call = HttpCall::post(silent, "/faults").with_body(faults);
        let _ = fleet.client.fetch(call, LIMITS).await;
    }
    let mut total = FaultedCounts::default();
    for counts in workers.join_all().await {
        total.whole += counts.whole;
        total.refused += counts.refused;
        total.ended_early += counts.ended_early;
        total.wrong += counts.wrong;
    }
    println!("faulted streams: {total:?} in {:?}", start.elapsed());
    for engine in &fleet.engines {
        let call = HttpCall::get(engine.address, "/engine/counts");
        let counts: Result<Value, _> = fleet.client.fetch_json(call, LIMITS).await;
        let counts = counts.expect("the engine's counts");
        let (requests, resumes) = (&counts["requests"], &counts["resumes"]);
        println!(
            "  engine: {requests} requests, {} refused, {resumes} resumes",
            counts["refused"]
        );
    }
}

/// Outcomes of streams under faults.
#[derive(Debug, Default)]
struct FaultedCounts {
    whole: usize,
    refused: usize,
    ended_early: usize,
    wrong: usize,
}

impl FaultedCounts {
    fn add(&mut self, prompt: &str, answer: Result<(u16, bytes::Bytes), HttpError>) {
        let Ok((200, body)) = answer else {
            self.refused += 1;
            return;
        };
        let body = String::from_utf8(body.to_vec()).expect("text");
        // Error events have no content, so they are left out of the text.
        let events = body.split_inclusive("\n\n");
        let tokens: String = events
            .filter(|event| !event.contains("\"error\":"))
            .collect();
        let (text, ended) = streamed_text(&tokens);
        let expected = complete_answer(prompt, FAULTED_TOKENS);
        match (text == expected, ended) {
            (true, true) => self.whole += 1,
            (_, false) if expected.starts_with(&text) => self.ended_early += 1,
            _ => self.wrong += 1,
        }
    }
}
