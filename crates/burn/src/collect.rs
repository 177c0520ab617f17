//! Gets reports from instances and from files.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use amaranth_net::answer::MESSAGE_PACK;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_wire::platform::{LIST_PATH, ListedInstance};
use amaranth_wire::service_level::{LevelReport, SERVICE_LEVELS_PATH};
use http::header::ACCEPT;
use http::{HeaderMap, HeaderValue};
use serde::Serialize;
use tokio::task::JoinSet;

/// Longest wait for one instance or the list.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// A source that gave no report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingSource {
    /// The source.
    pub source: String,
    /// Why there is no report.
    pub reason: String,
}

/// Reports, and the sources that gave none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectedReports {
    /// The reports.
    pub reports: Vec<LevelReport>,
    /// The others.
    pub missing: Vec<MissingSource>,
}

/// Why nothing can be collected.
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

/// Result of collecting.
pub type Result<T> = std::result::Result<T, CollectError>;

/// The instances on the platform's list, by name and address.
pub async fn listed(platform: SocketAddr) -> Result<Vec<(String, String)>> {
    let client = HttpClient::new(CALL_LIMIT);
    let call = HttpCall::get(platform, LIST_PATH);
    let listed = client.fetch_json(call, CallLimits::new(CALL_LIMIT)).await;
    let listed: Vec<ListedInstance> = listed.map_err(CollectError::List)?;
    let rows = listed.into_iter();
    Ok(rows
        .map(|row| (row.instance.to_string(), row.address))
        .collect())
}

/// Asks instances for their reports, all at once.
pub async fn ask(instances: Vec<(String, String)>) -> CollectedReports {
    let client = HttpClient::new(CALL_LIMIT);
    let mut asked = JoinSet::new();
    for (name, address) in instances {
        let client = client.clone();
        asked.spawn(async move {
            let answer = ask_one(&client, &address).await;
            (format!("{name} at {address}"), answer)
        });
    }
    let mut collected = CollectedReports::default();
    for (source, answer) in asked.join_all().await {
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

async fn ask_one(client: &HttpClient, address: &str) -> std::result::Result<LevelReport, String> {
    let address = address.parse().map_err(|_| "not an address".to_owned())?;
    let mut headers = HeaderMap::new();
    headers.insert(ACCEPT, HeaderValue::from_static(MESSAGE_PACK));
    let call = HttpCall::get(address, SERVICE_LEVELS_PATH).with_headers(headers);
    let answer = client.fetch_message(call, CallLimits::new(CALL_LIMIT));
    answer.await.map_err(|e| e.to_string())
}

/// Reads saved reports.
pub fn load(path: &Path) -> Result<Vec<LevelReport>> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| CollectError::File(file.clone(), e))?;
    serde_json::from_slice(&bytes).map_err(|e| CollectError::Format(file, e))
}

/// Saves reports, so that they can be read after their instances are gone.
pub fn save(path: &Path, reports: &[LevelReport]) -> Result<()> {
    let bytes = serde_json::to_vec(reports).expect("reports always encode");
    let file = path.display().to_string();
    std::fs::write(path, bytes).map_err(|e| CollectError::File(file, e))
}
