//! Status report of a node on its admin port.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use miette::{IntoDiagnostic, WrapErr};
use serde::Serialize;

use crate::core::{FailureDomain, GenerationNumber, ResultCode, SharedSnapshot, VmId};
use crate::membership::{ControlNode, MembershipView, SharedMembership};
use crate::util::limited_body::{MAX_TOOL_BODY_BYTES, read_limited};

/// State from which a node reports its readiness and status.
#[derive(Debug)]
pub struct StatusSource {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Active configuration; none before the first is applied.
    pub snapshot: SharedSnapshot,
    /// Membership view of the entry VMs.
    pub membership: SharedMembership,
    /// Control-plane state of the node, shared with its exchanges with other entries.
    pub control: Arc<ControlNode>,
}

#[derive(Debug, Serialize)]
struct NodeStatus<'a> {
    vm: &'a VmId,
    failure_domain: &'a FailureDomain,
    generation: Option<GenerationNumber>,
    confirmed_age_ms: Option<u64>,
    is_relay: bool,
    missing: Vec<String>,
    membership: &'a MembershipView,
    upstreams: Vec<UpstreamStatus>,
}

#[derive(Debug, Serialize)]
struct UpstreamStatus {
    name: String,
    address: String,
    inflight: u32,
    draining: bool,
}

impl StatusSource {
    /// The reason for which the node is not ready, or none if it is ready.
    pub fn unready_reason(&self) -> Option<ResultCode> {
        if self.snapshot.load().is_none() {
            return Some(ResultCode::NotReady);
        }
        None
    }

    /// The status report as JSON, upstreams sorted by name.
    pub fn to_json(&self) -> String {
        let snapshot = self.snapshot.load_full();
        let membership = self.membership.load();
        let mut upstreams = Vec::new();
        if let Some(snapshot) = &snapshot {
            for upstream in snapshot.upstreams.values() {
                upstreams.push(UpstreamStatus {
                    name: upstream.name.clone(),
                    address: upstream.spec.address.to_string(),
                    inflight: upstream.inflight(),
                    draining: upstream.is_draining(),
                });
            }
        }
        upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        let status = NodeStatus {
            vm: &self.vm,
            failure_domain: &self.failure_domain,
            confirmed_age_ms: self.control.confirmed_age().map(|age| age.as_millis() as u64),
            is_relay: self.control.is_relay(),
            missing: self.control.missing_vms(),
            generation: snapshot.map(|snapshot| snapshot.generation),
            membership: &membership,
            upstreams,
        };
        serde_json::to_string_pretty(&status).unwrap_or_default()
    }
}

/// Fetches the status report of a node from its admin address.
///
/// # Errors
///
/// Returns an error if the node does not respond.
pub async fn fetch(admin: SocketAddr) -> miette::Result<String> {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{admin}/status").parse().into_diagnostic()?;
    let response = client.get(uri).await.into_diagnostic();
    let response =
        response.wrap_err_with(|| format!("no response from the node's admin address {admin}"))?;
    let body = read_limited(response.into_body(), MAX_TOOL_BODY_BYTES).await.into_diagnostic()?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
