//! Sends and receives crash updates.

use std::net::SocketAddr;

use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::crash_update::{CrashRelay, RecordScope, encode_crash_updates};
use crate::fleet::peer_message::MessageKey;
use crate::fleet::peer_service::send_all;
use crate::fleet::peer_table::MessageScope;
use crate::fleet::state::FleetState;
use crate::limits::{CrashRecord, RecordEffect};
use crate::request::log_refusal;

/// Exchanges with the other entries which requests crash upstreams.
#[derive(Debug, Default)]
pub(super) struct CrashExchange {
    relay: CrashRelay,
    updates_sent: usize,
}

impl CrashExchange {
    /// Sends the records that are due.
    pub(super) async fn send_due<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
    ) {
        if state.quarantine.is_empty() && self.relay.is_idle() {
            return;
        }
        let now = Instant::now();
        let is_leader = state.table().rank(now) == 0;
        let due = self.relay.take_due(&state.quarantine, is_leader, now);
        if due.domain.is_empty() {
            return;
        }
        let (domain, gateways) = {
            let table = state.table();
            let gateways = table.gateways(self.updates_sent, now);
            (table.recipients(MessageScope::All, now), gateways)
        };
        self.updates_sent += 1;
        if !due.gateways.is_empty() {
            // The records must also reach failure domains whose entries have all been replaced.
            state.request_rosters();
        }
        for datagram in encode_crash_updates(key, &due.domain) {
            send_all(socket, &datagram, &domain).await;
        }
        for datagram in encode_crash_updates(key, &due.gateways) {
            send_all(socket, &datagram, &gateways).await;
        }
    }

    /// Applies the records of an update. What is new and comes from another failure domain is
    /// forwarded to the local one.
    pub(super) fn receive<D: DeploymentCodec>(
        &mut self,
        state: &FleetState<D>,
        records: &[CrashRecord],
        from: SocketAddr,
    ) {
        let now = Instant::now();
        let is_local = state.table().is_local_address(from);
        for record in records {
            let effect = state.quarantine.record(*record, now);
            if effect == RecordEffect::Refused {
                log_refusal(record.request, "peer");
            }
            if effect != RecordEffect::None && !is_local {
                self.relay.queue(*record, RecordScope::Domain, now);
            }
        }
    }
}
