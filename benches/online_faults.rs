//! Measures how long faults are felt, over separate processes on loopback. Run with
//! `cargo bench --bench online_faults`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpCall};
use serde_json::{Value, json};
use support::{TestFleet, chat};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CHAT: &str = "/v1/chat/completions";
const LIMITS: CallLimits = CallLimits::new(Duration::from_secs(5));
const STREAMS: usize = 40;
const TOKENS: u32 = 150;
const STEP: [&str; 4] = ["--step", "20ms", "--slots", "64"];

#[tokio::main]
async fn main() {
    let silence = json!({"silence_existing": true});
    print_gaps("silent connections, resumed", 1, Fault::Call(silence)).await;
    print_gaps("dead engine, generated again", 3, Fault::Signal("KILL")).await;
    print_gaps("silent engine, generated again", 3, Fault::Signal("STOP")).await;
    print_leaving().await;
}

enum Fault {
    Call(Value),
    Signal(&'static str),
}

/// Longest wait between two pieces of each stream that a fault at the first engine meets.
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
            while let Ok(Some(piece)) = answer.next_chunk().await {
                longest = longest.max(last.elapsed());
                last = Instant::now();
                whole = piece.ends_with(b"data: [DONE]\n\n");
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
    let mut met: Vec<_> = gaps
        .filter(|gap| *gap > Duration::from_millis(150))
        .collect();
    met.sort_unstable();
    let at = |share: f64| met.get(((met.len().max(1) - 1) as f64 * share) as usize);
    println!(
        "{name}: {whole} of {STREAMS} whole, {} met, longest wait p50 {:?} p95 {:?} max {:?}",
        met.len(),
        at(0.5),
        at(0.95),
        met.last()
    );
}

/// From the order to leave to the last new request that reached the engine.
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
        let came =
            counts["requests"].as_u64().unwrap_or(0) + counts["refused"].as_u64().unwrap_or(0);
        if came != seen {
            seen = came;
            last = start.elapsed();
        }
    }
    println!(
        "leaving engine: last new request {last:?} after the order, watched for {:?}",
        start.elapsed()
    );
}
