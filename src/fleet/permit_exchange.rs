//! Exchanges permits of tenants' quotas with other entries.
//!
//! A message about permits goes to a single entry, also of another failure domain. Requests are sent
//! as soon as a request of a caller needs them, answers from the path that has received the request.
//! A lost message is not repeated: the entry asks another grantor.

use std::net::SocketAddr;

use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::peer_message::{MessageKeys, PeerMessage};
use crate::fleet::peer_table::OwnPermitRole;
use crate::fleet::state::FleetState;
use crate::limits::tenant_quota::{PermitAnswer, PermitRequest};
use crate::membership::EntryState;

impl<D: DeploymentCodec> FleetState<D> {
    /// Whether this entry tells the others that it grants permits. A leaving entry does not, so that
    /// the next one replaces it before it stops.
    pub fn grants_permits(&self) -> bool {
        self.quota.is_some() && self.is_enrolled() && self.table().own().state == EntryState::Ready
    }

    /// Time since this process started, in milliseconds; `None` if quotas are not enforced.
    pub(super) fn quota_uptime_ms(&self) -> Option<u64> {
        let quota = self.quota.as_ref()?;
        Some(quota.started_at.elapsed().as_millis() as u64)
    }

    /// Whether this entry grants permits now.
    pub(super) fn is_granting(&self) -> bool {
        self.quota.as_ref().is_some_and(|quota| quota.table.is_granting())
    }

    /// Tells the quotas what is known about the other entries.
    pub(super) fn refresh_permits(&self) {
        let Some(quota) = &self.quota else { return };
        let now = Instant::now();
        let role = OwnPermitRole {
            is_advertised: self.grants_permits(),
            is_registered: self.is_listed() && self.enrolment_deadline(now).is_none(),
            domains: quota.domains.clone(),
            started_at: quota.started_at,
        };
        let peers = self.table().permit_peers(&role, now);
        quota.table.update_peers(peers);
    }

    /// Waits until there are permit requests to send; never returns without quotas.
    pub(super) async fn wait_for_permit_requests(&self) {
        match &self.quota {
            Some(quota) => quota.table.wait_for_requests().await,
            None => std::future::pending().await,
        }
    }

    /// Messages with the permit requests that are to be sent now.
    pub(super) fn take_permit_requests(&self, incarnation: u64) -> Vec<(SocketAddr, PeerMessage)> {
        let Some(quota) = &self.quota else { return Vec::new() };
        let mut messages = Vec::new();
        for (address, permit_requests) in quota.table.take_requests() {
            let message = PeerMessage { permit_requests, ..self.permit_message(incarnation) };
            messages.push((address, message));
        }
        messages
    }

    /// Applies what a message says about permits; returns the message that answers it, if any.
    pub(super) fn receive_permits(
        &self,
        message: &PeerMessage,
        incarnation: u64,
    ) -> Option<PeerMessage> {
        let quota = self.quota.as_ref()?;
        quota.table.receive_answers(&message.permit_answers);
        if message.permit_requests.is_empty() {
            return None;
        }
        let mut permit_answers = Vec::with_capacity(message.permit_requests.len());
        for request in &message.permit_requests {
            permit_answers.push(self.answer_permit(request)?);
        }
        Some(PeerMessage { permit_answers, ..self.permit_message(incarnation) })
    }

    /// Decides on a permit request under the active configuration. A tenant without a quota there
    /// needs no permit; one that is unknown there is left to other grantors.
    fn answer_permit(&self, request: &PermitRequest) -> Option<PermitAnswer> {
        let quota = self.quota.as_ref()?;
        let snapshot = self.snapshot.load_full();
        let tenants = snapshot.as_ref().and_then(|snapshot| snapshot.tenants.as_ref());
        let tenant = tenants.and_then(|tenants| tenants.find_by_name(&request.tenant));
        if tenant.is_some_and(|tenant| tenant.quota.is_none()) {
            return Some(PermitAnswer {
                id: request.id,
                is_granted: true,
                is_scarce: false,
                wait_ms: None,
            });
        }
        Some(quota.table.answer(request, tenant.and_then(|tenant| tenant.quota)))
    }

    fn permit_message(&self, incarnation: u64) -> PeerMessage {
        let own = self.table().own().clone();
        PeerMessage {
            vm: own.vm.to_string(),
            incarnation,
            sequence: 0,
            failure_domain: own.failure_domain.to_string(),
            caller_address: own.caller_address,
            state: own.state,
            is_enrolled: self.is_enrolled(),
            confirmation: None,
            alive: Vec::new(),
            has_no_path: !own.has_path,
            no_path: Vec::new(),
            loads: Vec::new(),
            change: None,
            limits: Vec::new(),
            config_part: None,
            cold: Vec::new(),
            uptime_ms: self.quota_uptime_ms(),
            grants_permits: self.grants_permits(),
            is_granting: self.is_granting(),
            permit_requests: Vec::new(),
            permit_answers: Vec::new(),
        }
    }
}

/// Sends permit requests that are waiting to be sent.
pub(super) async fn send_permit_requests<D: DeploymentCodec>(
    socket: &UdpSocket,
    state: &FleetState<D>,
    incarnation: u64,
) {
    let Some(keys) = state.message_keys() else { return };
    for (address, message) in state.take_permit_requests(incarnation) {
        send_message(socket, &keys, address, &message).await;
    }
}

/// Sends a message about permits to one entry. Send errors are ignored, like losses on the way.
pub(super) async fn send_message(
    socket: &UdpSocket,
    keys: &MessageKeys,
    address: SocketAddr,
    message: &PeerMessage,
) {
    match keys.current().encode(message) {
        Ok(datagram) => {
            let _ = socket.send_to(&datagram, address).await;
        }
        Err(error) => log::warn!(target: "quota", "cannot send permits reason={error}"),
    }
}
