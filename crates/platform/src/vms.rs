//! The platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Http;

const FETCH_LIMIT: Duration = Duration::from_secs(1);

/// A client of the list of VMs.
#[derive(Debug, Clone)]
pub struct VmList {
    http: Http,
}

/// One VM in the list. The list lags behind what is true.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Address at which the VM's daemon talks to other daemons.
    pub address: SocketAddr,
    /// The VM's failure domain.
    pub domain: String,
    /// What the platform last knew of it.
    pub state: VmState,
}

/// The state of a listed VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
}

impl VmList {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr) -> VmList {
        VmList { http: Http::new(address) }
    }

    /// The list, or `None` if the platform cannot be reached or its answer is not a list.
    pub async fn fetch(&self) -> Option<Vec<ListedVm>> {
        let reply =
            self.http.exchange(Method::GET, "/vms", Bytes::new(), FETCH_LIMIT).await.ok()?;
        if reply.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&reply.body).ok()
    }
}
