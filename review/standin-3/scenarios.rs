//! The cases. Each returns whether its rule was broken, and what was seen.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::runner::{self, Replacement, Runner, SLOTS};
use crate::scene::{FINISH_TIME, HOST, Job, MEMORY_TOKENS, ROUTE_TIMEOUT, Scene, run_jobs};

pub struct Outcome {
    pub is_broken: bool,
    pub seen: String,
}

pub type Result = std::result::Result<Outcome, String>;

const MACHINES: usize = 3;
const RUNNERS: usize = 4;
/// Of this many equal events, one is noted.
const NOTE_PERIOD: usize = 500;

/// Starts the runners; the first one gets the replacement.
fn start_runners(record: &Record, replacement: Replacement) -> Vec<(Arc<Runner>, SocketAddr)> {
    let sound = (2..=RUNNERS)
        .map(|index| Runner::start(&format!("runner-{index}"), record, Box::new(|_, _, _| None)));
    let first = Runner::start("runner-1", record, replacement);
    [first].into_iter().chain(sound).collect()
}

/// One runner answers streams with line breaks without end.
pub fn line_breaks(record: &Record, trouble: bool) -> Result {
    const BYTES_PER_S: u64 = 400_000;
    const CHUNK_BYTES: usize = 16_000;
    const REQUEST_PERIOD: Duration = Duration::from_millis(50);
    const TIME: Duration = Duration::from_secs(25);
    /// Time after the route's timeout at which a final answer is due.
    const SLACK: Duration = Duration::from_millis(500);
    let junk = vec![b'\n'; CHUNK_BYTES];
    let noted = record.clone();
    let runners = start_runners(
        record,
        Box::new(move |request, id, stream| {
            if !request.path.starts_with("/notes/") {
                return None;
            }
            noted.note(format!(
                "line breaks without end runner=runner-1 request={id}"
            ));
            Some(runner::send_without_end(id, &junk, BYTES_PER_S, stream))
        }),
    );
    let scene = Scene::start(record, MACHINES, &runners)?;
    runners[0].0.is_replaced.store(trouble, Ordering::SeqCst);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + TIME;
    let mut clients = Vec::new();
    for index in 0.. {
        if Instant::now() > until {
            break;
        }
        let (record, machine, answers) = (record.clone(), scene.machine(index), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("note{index:05}");
            let part = format!("aa:100,{id}:150");
            let headers = [
                ("host", HOST),
                ("x-request-id", id.as_str()),
                ("x-deadline-ms", "8000"),
                ("x-model", "m"),
                ("x-token-usage", "250,30"),
                ("x-prompt-prefix", part.as_str()),
            ];
            let sent = Instant::now();
            let answer = http::call(
                machine.callers,
                "POST",
                &format!("/notes/{id}"),
                &headers,
                b"prompt",
                Duration::from_secs(8),
            );
            let time = sent.elapsed();
            let (said, is_whole) = match &answer {
                Ok(answer) => (
                    answer.status.to_string(),
                    answer.complete && answer.text() == runner::body(&id),
                ),
                Err(e) => (format!("{:?}", e.kind()), false),
            };
            record.note(format!(
                "request id={id} machine={} answer={said} whole={is_whole} ms={}",
                machine.name,
                time.as_millis()
            ));
            answers.lock().unwrap().push((is_whole, time));
        }));
        thread::sleep(REQUEST_PERIOD);
    }
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let after = |limit: Duration| answers.iter().filter(|(_, time)| *time > limit).count();
    let (lasting, unanswered) = (after(ROUTE_TIMEOUT), after(ROUTE_TIMEOUT + SLACK));
    let whole = answers.iter().filter(|(is_whole, _)| *is_whole).count();
    Ok(Outcome {
        is_broken: unanswered >= 8 && unanswered * 2 > lasting,
        seen: format!(
            "requests={} whole={whole} unanswered_at_timeout={lasting} unanswered_half_a_second_later={unanswered}",
            answers.len()
        ),
    })
}

/// One runner answers items with events that have no id, without end.
pub fn endless_item(record: &Record, trouble: bool) -> Result {
    const BYTES_PER_S: u64 = 5_000_000;
    const TIME: Duration = Duration::from_secs(85);
    let junk = format!("data: {}\n\n", "x".repeat(400)).repeat(20);
    let noted = record.clone();
    let runners = start_runners(
        record,
        Box::new(move |request, id, stream| {
            if !request.path.starts_with("/lots/") {
                return None;
            }
            noted.note(format!("bytes without end runner=runner-1 request={id}"));
            Some(runner::send_without_end(
                id,
                junk.as_bytes(),
                BYTES_PER_S,
                stream,
            ))
        }),
    );
    let scene = Arc::new(Scene::start(record, MACHINES, &runners)?);
    runners[0].0.is_replaced.store(trouble, Ordering::SeqCst);
    let jobs = (0..60)
        .map(|index| Job::new(&format!("job{index:03}"), 10, 250))
        .collect();
    let jobs = run_jobs(
        &scene,
        jobs,
        Duration::from_millis(1_000),
        Instant::now() + TIME,
    );
    let ends: Vec<_> = scene
        .machines
        .iter()
        .map(|machine| machine.ends.lock().unwrap().len())
        .collect();
    let open: usize = jobs.iter().map(|job| job.open_items().len()).sum();
    let items: usize = jobs.iter().map(|job| job.items.len()).sum();
    Ok(Outcome {
        // The rule: three ends of one process, on a tenth of the machines, two at least.
        is_broken: ends.iter().filter(|ends| **ends >= 3).count() >= 2,
        seen: format!("ends={ends:?} items={items} unlisted={open}"),
    })
}

/// One runner answers items with bytes that are no events.
pub fn junk_item(record: &Record, trouble: bool) -> Result {
    const JUNK: &[u8] = b"<html><body>502 upstream connect error</body></html>\n\n";
    const TIME: Duration = Duration::from_secs(30);
    let noted = record.clone();
    let runners = start_runners(
        record,
        Box::new(move |request, id, stream| {
            if !request.path.starts_with("/lots/") {
                return None;
            }
            noted.note(format!("junk runner=runner-1 request={id}"));
            let headers = [
                ("x-request-id", id),
                ("x-server-signature", "signed"),
                ("content-type", "text/html"),
            ];
            Some(http::write_answer(stream, 200, &headers, JUNK))
        }),
    );
    let scene = Arc::new(Scene::start(record, MACHINES, &runners)?);
    runners[0].0.is_replaced.store(trouble, Ordering::SeqCst);
    let jobs = (0..10)
        .map(|index| Job::new(&format!("job{index:03}"), 10, 250))
        .collect();
    let jobs = run_jobs(
        &scene,
        jobs,
        Duration::from_millis(500),
        Instant::now() + TIME,
    );
    let results: Vec<_> = jobs
        .iter()
        .flat_map(|job| &job.results)
        .map(|(_, result)| result)
        .collect();
    let succeeded: Vec<_> = results
        .iter()
        .filter(|result| result.state == "succeeded")
        .collect();
    let wrong = succeeded
        .iter()
        .filter(|result| result.text != runner::output(&result.item));
    let wrong: Vec<_> = wrong.collect();
    for result in &wrong {
        record.note(format!("wrong item={} text={:?}", result.item, result.text));
    }
    Ok(Outcome {
        is_broken: !wrong.is_empty(),
        seen: format!(
            "listed={} succeeded={} succeeded_with_other_text={}",
            results.len(),
            succeeded.len(),
            wrong.len()
        ),
    })
}

/// Two jobs hold items that are larger than the memory of any runner.
pub fn large_items(record: &Record, trouble: bool) -> Result {
    const ITEMS_PER_JOB: usize = 200;
    /// Time before the end in which, by the rule, no runner had an item and none was finished.
    const IDLE: Duration = Duration::from_secs(5);
    const UNFINISHED: Duration = Duration::from_secs(3);
    let refused = Arc::new(AtomicUsize::new(0));
    let refusing = || -> Replacement {
        let (refused, noted) = (refused.clone(), record.clone());
        Box::new(move |request, id, stream| {
            let usage = request.header("x-token-usage").unwrap_or("0,0");
            let tokens = usage
                .split(',')
                .filter_map(|part| part.trim().parse::<u64>().ok());
            let is_refused = tokens.sum::<u64>() > MEMORY_TOKENS;
            if !is_refused {
                return None;
            }
            let before = refused.fetch_add(1, Ordering::Relaxed);
            if before % NOTE_PERIOD == 0 {
                noted.note(format!("refused request={id} refused_before={before}"));
            }
            Some(runner::refuse(id, stream))
        })
    };
    let runners =
        (1..=RUNNERS).map(|index| Runner::start(&format!("runner-{index}"), record, refusing()));
    let runners: Vec<_> = runners.collect();
    for (runner, _) in &runners {
        runner.is_replaced.store(true, Ordering::SeqCst);
    }
    let scene = Arc::new(Scene::start(record, MACHINES, &runners)?);
    let tokens = match trouble {
        true => MEMORY_TOKENS + 10_000,
        false => 250,
    };
    for index in 0..2 {
        let mut large = Job::new(&format!("large{index}"), ITEMS_PER_JOB, tokens);
        large.submit(&scene, index, Instant::now());
        if large.accepted.is_none() {
            return Err("a job is not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    let jobs = (0..4)
        .map(|index| Job::new(&format!("job{index}"), 10, 250))
        .collect();
    let until = Instant::now() + Duration::from_secs(2) + FINISH_TIME;
    let jobs = run_jobs(&scene, jobs, Duration::from_millis(500), until);
    let now = Instant::now();
    let runs: Vec<_> = runners
        .iter()
        .flat_map(|(runner, _)| runner.runs.lock().unwrap().clone())
        .collect();
    let is_recent =
        |until: Option<Instant>, limit| until.is_none_or(|until| now.duration_since(until) < limit);
    let recent = runs.iter().filter(|run| is_recent(run.until, IDLE));
    let mut busy: HashMap<&str, usize> = HashMap::new();
    recent.for_each(|run| *busy.entry(&run.request).or_default() += 1);
    let finished = jobs
        .iter()
        .flat_map(|job| &job.results)
        .filter(|(at, _)| now.duration_since(*at) < UNFINISHED)
        .count();
    let is_idle = busy.len() * 2 < SLOTS * RUNNERS && finished == 0;
    let open: Vec<_> = jobs.iter().flat_map(Job::open_items).collect();
    let left: Vec<_> = open
        .iter()
        .filter(|item| !busy.contains_key(item.as_str()))
        .collect();
    let items: usize = jobs.iter().map(|job| job.items.len()).sum();
    Ok(Outcome {
        is_broken: is_idle && !left.is_empty(),
        seen: format!(
            "items={items} unlisted={} of_these_at_a_runner_lately={} requests_at_runners_lately={} large_items_refused={}",
            open.len(),
            open.len() - left.len(),
            busy.len(),
            refused.load(Ordering::Relaxed)
        ),
    })
}

/// Clients send batch jobs ahead on a few connections and leave the answers unread.
pub fn jobs_ahead(record: &Record, trouble: bool) -> Result {
    /// Connections that send ahead at once.
    const CONNECTIONS: usize = 12;
    const ITEMS_PER_JOB: usize = 200;
    const SENDING_TIME: Duration = Duration::from_secs(45);
    const CALM_TIME: Duration = Duration::from_secs(25);
    /// Time in which an ordinary client tries to read its job at the end.
    const READING_TIME: Duration = Duration::from_secs(15);
    let runners = start_runners(record, Box::new(|_, _, _| None));
    let scene = Arc::new(Scene::start(record, MACHINES, &runners)?);
    let ordinary = vec![Job::new("ordinary", 10, 250)];
    let mut ordinary = run_jobs(
        &scene,
        ordinary,
        Duration::ZERO,
        Instant::now() + FINISH_TIME,
    );
    let job = ordinary.pop().filter(|job| job.open_items().is_empty());
    let job = job.ok_or("the ordinary job isn't done")?;
    let sent = Arc::new(AtomicUsize::new(0));
    let senders = (0..if trouble { CONNECTIONS } else { 0 }).map(|number| {
        let (scene, sent) = (scene.clone(), sent.clone());
        thread::spawn(move || {
            let until = Instant::now() + SENDING_TIME;
            while Instant::now() < until {
                let _ = send_ahead(
                    &scene.record,
                    scene.machine(number).callers,
                    number,
                    ITEMS_PER_JOB,
                    until,
                    &sent,
                );
                thread::sleep(Duration::from_millis(200));
            }
        })
    });
    for sender in senders.collect::<Vec<_>>() {
        let _ = sender.join();
    }
    record.note(format!("jobs sent ahead={}", sent.load(Ordering::Relaxed)));
    let ends = |scene: &Scene| -> Vec<usize> {
        scene
            .machines
            .iter()
            .map(|machine| machine.ends.lock().unwrap().len())
            .collect()
    };
    let before = ends(&scene);
    thread::sleep(CALM_TIME);
    let after = ends(&scene);
    let until = Instant::now() + READING_TIME;
    let mut again = Job {
        results: Vec::new(),
        ..job.clone()
    };
    let mut reads = 0;
    while again.results.len() < job.results.len() && Instant::now() < until {
        again.read(&scene, reads);
        reads += 1;
        thread::sleep(Duration::from_millis(200));
    }
    let ended: Vec<_> = after
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    Ok(Outcome {
        is_broken: again.results.len() < job.results.len(),
        seen: format!(
            "jobs_sent_ahead={} ends_in_calm={ended:?} reads_at_the_end={reads} results_that_come_again={} of {}",
            sent.load(Ordering::Relaxed),
            again.results.len(),
            job.results.len()
        ),
    })
}

/// Sends jobs on one connection, without reading the answers, until it fails or the time is up.
fn send_ahead(
    record: &Record,
    address: SocketAddr,
    number: usize,
    items: usize,
    until: Instant,
    sent: &AtomicUsize,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    while Instant::now() < until {
        let index = sent.fetch_add(1, Ordering::Relaxed);
        if index % NOTE_PERIOD == 0 {
            record.note(format!(
                "sent ahead connection={number} jobs_before={index}"
            ));
        }
        let job = Job::new(&format!("{number:02x}{index:06x}"), items, 250);
        let (body, id) = (job.body(), &job.id);
        let head = format!(
            "POST /lots/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
    }
    Ok(())
}
