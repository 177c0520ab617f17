//! A client of batch jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{HOST, Instance, Record};
use crate::http;
use crate::json::{Json, base64};

/// How long a client waits for the acknowledgement of a job.
const SUBMIT_LIMIT: Duration = Duration::from_secs(4);

pub struct Job {
    pub id: String,
    pub route: String,
    pub items: Vec<String>,
    pub events: u64,
    /// First shared part of the items' prompts.
    pub part: String,
}

impl Job {
    pub fn new(route: &str, id: &str, items: usize, events: u64, part: &str) -> Self {
        Self {
            id: id.to_owned(),
            route: route.to_owned(),
            items: (0..items).map(|index| format!("{id}-{index}")).collect(),
            events,
            part: part.to_owned(),
        }
    }

    fn body(&self) -> String {
        let (route, events, part) = (&self.route, self.events, &self.part);
        let items = self.items.iter().enumerate().map(|(index, id)| {
            let body = base64(format!("body of {id}").as_bytes());
            let own = index + 1;
            format!(
                "{{\"id\":\"{id}\",\"path\":\"/{route}/3/{id}\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Usage\":\"350,{events}\",\"X-Prompt-Prefix\":\"{part}:100,{own:x}:250\"}},\
                 \"body\":\"{body}\",\"tokens\":{}}}",
                350 + events
            )
        });
        format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(","))
    }

    /// Sends the job until it is accepted, each time to the next instance. Returns whether it was.
    pub fn submit(&self, record: &Record, instances: &[Arc<Instance>]) -> bool {
        let until = Instant::now() + SUBMIT_LIMIT;
        let target = format!("/{}/{}", self.route, self.id);
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &self.id[..]),
            ("Content-Type", "application/json"),
        ];
        let body = self.body();
        for instance in instances.iter().cycle() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let answer = http::call(
                instance.front,
                "POST",
                &target,
                &headers,
                body.as_bytes(),
                left,
            );
            let (items, name) = (self.items.len(), &instance.name);
            let told = match &answer {
                Ok(answer) => answer.status.to_string(),
                Err(e) => e.clone(),
            };
            record.say(&format!(
                "client: job {} with {items} items sent to {name}: {told}",
                self.id
            ));
            if answer.is_ok_and(|answer| answer.status == 202) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Reads a page of results from a position; the total and the results with their states and texts.
    pub fn read(&self, instance: &Instance, after: usize) -> Result<Page, String> {
        let target = format!("/-/lots/{}?after={after}", self.id);
        let headers = [("Host", HOST), ("X-Wait-Ms", "1000")];
        let limit = Duration::from_millis(2_500);
        let answer = http::call(instance.front, "GET", &target, &headers, b"", limit)?;
        if answer.status != 200 {
            return Err(answer.status.to_string());
        }
        let page = Json::parse(&String::from_utf8_lossy(&answer.body)).ok_or("no JSON")?;
        let field =
            |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let rows = page.get("results").map_or(&[][..], Json::list);
        let results = rows
            .iter()
            .map(|row| (field(row, "id"), field(row, "state"), field(row, "text")));
        Ok(Page {
            total: page.get("total").and_then(Json::number).unwrap_or(0) as usize,
            results: results.collect(),
        })
    }

    /// Reads all results that are listed, from the start, at one instance after the other. Pages are
    /// read as long as they bring results.
    pub fn read_all(&self, record: &Record, instances: &[Arc<Instance>]) -> Listing {
        let mut listing = Listing::default();
        let mut failures = 0;
        let mut turn = 0;
        loop {
            let instance = &instances[turn % instances.len()];
            turn += 1;
            match self.read(instance, listing.results.len()) {
                Ok(page) => {
                    listing.total = page.total;
                    let empty = page.results.is_empty();
                    listing.results.extend(page.results);
                    if empty || listing.results.len() >= listing.total {
                        break;
                    }
                }
                Err(why) => {
                    record.say(&format!(
                        "client: job {} not read at {}: {why}",
                        self.id, instance.name
                    ));
                    failures += 1;
                    if failures > 20 {
                        break;
                    }
                    thread::sleep(Duration::from_millis(300));
                }
            }
        }
        let states = listing.states();
        record.say(&format!(
            "client: job {} read whole: of {} items {states:?}",
            self.id, listing.total
        ));
        listing
    }
}

pub struct Page {
    pub total: usize,
    pub results: Vec<(String, String, String)>,
}

#[derive(Default)]
pub struct Listing {
    pub total: usize,
    pub results: Vec<(String, String, String)>,
}

impl Listing {
    /// Number of results in each state.
    pub fn states(&self) -> BTreeMap<String, usize> {
        let mut states = BTreeMap::new();
        for (_, state, _) in &self.results {
            *states.entry(state.clone()).or_default() += 1;
        }
        states
    }
}
