//! Collects service-level reports from instances and from saved files.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use amaranth_net::answer::MESSAGE_PACK;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_wire::platform::{LIST_PATH, ListedInstance};
use amaranth_wire::service_level::{LevelReport, SERVICE_LEVELS_PATH};
use http::header::{ACCEPT, AUTHORIZATION};
use http::{HeaderMap, HeaderValue};
use serde::Serialize;
use tokio::task::JoinSet;

/// Timeout of a call to an instance or to the platform's list.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Source whose report could not be collected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingSource {
    /// Name and address of the instance.
    pub source: String,
    /// Error of the call.
    pub reason: String,
}

/// Collected reports and the sources that are missing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectedReports {
    /// Reports of instances, by instance name, then reports from files.
    pub reports: Vec<LevelReport>,
    /// Sources without a report, by name.
    pub missing: Vec<MissingSource>,
}

/// Error that stops the collection.
#[derive(Debug)]
pub enum CollectError {
    /// The platform's list of instances cannot be read.
    List(HttpError),
    /// A file cannot be read or written.
    File(String, std::io::Error),
    /// A file does not hold saved reports.
    Format(String, serde_json::Error),
}

impl fmt::Display for CollectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::List(e) => write!(f, "the list of instances cannot be read: {e}"),
            Self::File(file, e) => write!(f, "{file}: {e}"),
            Self::Format(file, e) => write!(f, "{file}: not saved reports: {e}"),
        }
    }
}

impl std::error::Error for CollectError {}

/// Result of a collection step.
pub type Result<T> = std::result::Result<T, CollectError>;

/// Fetches the name and address of each instance on the platform's list.
pub async fn list_instances(platform: SocketAddr) -> Result<Vec<(String, String)>> {
    let client = HttpClient::new(CALL_LIMIT);
    let call = HttpCall::get(platform, LIST_PATH);
    let listed = client.fetch_json(call, CallLimits::new(CALL_LIMIT)).await;
    let listed: Vec<ListedInstance> = listed.map_err(CollectError::List)?;
    let rows = listed.into_iter();
    Ok(rows
        .map(|row| (row.instance.to_string(), row.address))
        .collect())
}

/// Fetches the reports of instances concurrently. Instances that fail are listed as missing.
pub async fn fetch_reports(
    instances: Vec<(String, String)>,
    key: Option<&str>,
) -> CollectedReports {
    let headers = headers(key);
    let client = HttpClient::new(CALL_LIMIT);
    let mut calls = JoinSet::new();
    for (name, address) in instances {
        let (client, headers) = (client.clone(), headers.clone());
        calls.spawn(async move {
            let answer = fetch_report(&client, &address, headers).await;
            (format!("{name} at {address}"), answer)
        });
    }
    let mut collected = CollectedReports::default();
    for (source, answer) in calls.join_all().await {
        match answer {
            Ok(report) => collected.reports.push(report),
            Err(reason) => collected.missing.push(MissingSource { source, reason }),
        }
    }
    collected
        .reports
        .sort_by(|a, b| a.instance.cmp(&b.instance));
    collected.missing.sort_by(|a, b| a.source.cmp(&b.source));
    collected
}

/// Headers of each report call. A key that no header can hold is left out, so that the instance
/// refuses the call.
fn headers(key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(ACCEPT, HeaderValue::from_static(MESSAGE_PACK));
    let key = key.and_then(|key| HeaderValue::from_str(&format!("Bearer {key}")).ok());
    if let Some(key) = key {
        headers.insert(AUTHORIZATION, key);
    }
    headers
}

async fn fetch_report(
    client: &HttpClient,
    address: &str,
    headers: HeaderMap,
) -> std::result::Result<LevelReport, String> {
    let address = address.parse().map_err(|_| "not an address".to_owned())?;
    let call = HttpCall::get(address, SERVICE_LEVELS_PATH).with_headers(headers);
    let answer = client.fetch_message(call, CallLimits::new(CALL_LIMIT));
    answer.await.map_err(|e| e.to_string())
}

/// Reads reports from a JSON file written by [`save_reports`].
pub fn load_reports(path: &Path) -> Result<Vec<LevelReport>> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| CollectError::File(file.clone(), e))?;
    serde_json::from_slice(&bytes).map_err(|e| CollectError::Format(file, e))
}

/// Saves reports as JSON, so that they can be read after their instances are gone.
pub fn save_reports(path: &Path, reports: &[LevelReport]) -> Result<()> {
    let bytes = serde_json::to_vec(reports).expect("reports always encode");
    let file = path.display().to_string();
    std::fs::write(path, bytes).map_err(|e| CollectError::File(file, e))
}
