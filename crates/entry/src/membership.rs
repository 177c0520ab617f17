//! Reports this instance to the platform's list of instances and reads the list.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_net::telemetry::quote;
use amaranth_wire::id::InstanceId;
use amaranth_wire::platform::{LIST_PATH, ListedInstance, ListedState};
use tokio::time::sleep;

use crate::context::InstanceContext;

/// Interval between two reports, each followed by a read of the list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Timeout for connecting to the platform, and for one call.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Instances on the platform's list as of the last successful read.
#[derive(Debug, Default)]
pub struct MemberTable {
    listed: RwLock<Vec<ListedInstance>>,
}

impl MemberTable {
    /// All listed instances, including those that are leaving.
    pub fn all(&self) -> Vec<ListedInstance> {
        self.listed.read().expect("not poisoned").clone()
    }

    /// Names of the instances in state `Live`.
    pub fn live(&self) -> Vec<InstanceId> {
        let listed = self.listed.read().expect("not poisoned");
        let live = listed.iter().filter(|row| row.state == ListedState::Live);
        live.map(|row| row.instance.clone()).collect()
    }

    /// Address of an instance; `None` if it is not listed or its address does not parse.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let listed = self.listed.read().expect("not poisoned");
        let row = listed.iter().find(|row| row.instance == *instance)?;
        row.address.parse().ok()
    }

    fn replace(&self, listed: Vec<ListedInstance>) {
        *self.listed.write().expect("not poisoned") = listed;
    }
}

/// Reports this instance and reads the list periodically until the instance stops.
pub async fn run(context: Arc<InstanceContext>, address: SocketAddr) {
    let client = HttpClient::new(LIST_TIMEOUT);
    loop {
        tokio::select! {
            () = sync_list(&context, &client, address) => {}
            () = context.stop.cancelled() => return,
        }
        tokio::select! {
            () = sleep(LIST_PERIOD) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

/// Reports this instance, then replaces the member table with the list. Failures are only logged.
async fn sync_list(context: &InstanceContext, client: &HttpClient, address: SocketAddr) {
    let platform = context.config.fleet.platform.address;
    let limits = CallLimits::new(LIST_TIMEOUT);
    let own_row = ListedInstance {
        instance: context.config.instance.clone(),
        address: address.to_string(),
        data_centre: context.config.data_centre.clone(),
        state: match context.is_leaving() {
            true => ListedState::Leaving,
            false => ListedState::Live,
        },
    };
    let body = serde_json::to_vec(&own_row).expect("list rows always encode");
    let report = HttpCall::post(platform, LIST_PATH).with_body(body);
    if let Err(e) = client.fetch(report, limits).await {
        log::debug!(
            "event=instance_report_failed error={}",
            quote(&e.to_string())
        );
    }
    let read = HttpCall::get(platform, LIST_PATH);
    match client.fetch_json::<Vec<ListedInstance>>(read, limits).await {
        Ok(listed) => {
            context.committer.load().set_writers(listed.len() as u64);
            context.members.replace(listed);
        }
        Err(e) => log::debug!(
            "event=instance_list_read_failed error={}",
            quote(&e.to_string())
        ),
    }
}
