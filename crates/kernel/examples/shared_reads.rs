//! Simulates how many reads of stored sketches could reuse an identical read on the same instance:
//! by joining one in progress (request coalescing), or by a cached copy of a recent one. Usage:
//! `shared_reads`.

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 4;
const INSTANCES: usize = 12;
const READS: usize = 400_000;
const READ_MS: f64 = 20.0;
const STALE_MS: f64 = 5_000.0;

/// Rate and key distribution of simulated reads.
struct ReadPattern {
    name: &'static str,
    per_second: f64,
    sketches: f64,
    /// Exponent applied to a uniform draw from 0 to 1: 1 gives equal popularity.
    skew: i32,
}

fn main() {
    let patterns = [
        ReadPattern {
            name: "uniform reads",
            per_second: 60.0,
            sketches: 50_000.0,
            skew: 1,
        },
        ReadPattern {
            name: "skewed reads",
            per_second: 60.0,
            sketches: 50_000.0,
            skew: 4,
        },
        ReadPattern {
            name: "burst, skewed",
            per_second: 600.0,
            sketches: 50_000.0,
            skew: 4,
        },
        ReadPattern {
            name: "burst, few sketches",
            per_second: 600.0,
            sketches: 20.0,
            skew: 1,
        },
    ];
    println!("pattern               reads/s  joined %  stale copy used %");
    for pattern in patterns {
        let mut rng = StdRng::seed_from_u64(SEED);
        let mut last: HashMap<(usize, u64), f64> = HashMap::new();
        let (mut now_ms, mut joined, mut stale) = (0.0, 0, 0);
        for _ in 0..READS {
            now_ms -= rng.random::<f64>().max(1e-12).ln() * 1_000.0 / pattern.per_second;
            let draw = rng.random::<f64>().powi(pattern.skew);
            let key = (
                rng.random_range(0..INSTANCES),
                (draw * pattern.sketches) as u64,
            );
            let age_ms = last.get(&key).map(|at| now_ms - at);
            joined += usize::from(age_ms.is_some_and(|age| age < READ_MS));
            stale += usize::from(age_ms.is_some_and(|age| age < STALE_MS));
            if age_ms.is_none_or(|age| age >= READ_MS) {
                last.insert(key, now_ms);
            }
        }
        let percent = |count: usize| 100.0 * count as f64 / READS as f64;
        println!(
            "{:<20} {:>8} {:>9.2} {:>18.2}",
            pattern.name,
            pattern.per_second,
            percent(joined),
            percent(stale)
        );
    }
}
