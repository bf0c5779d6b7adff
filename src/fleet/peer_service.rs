//! Sends this entry's messages and load updates, and applies those of other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, UpstreamKey};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::config_parts::{ConfigPart, relay_groups, split_config};
use crate::fleet::crash_exchange::CrashExchange;
use crate::fleet::crash_update::decode_crash_update;
use crate::fleet::load_probe::LoadRecorder;
use crate::fleet::load_update::{
    CompactLoad, LoadChangeFilter, decode_load_update, encode_load_update, name_digest,
};
use crate::fleet::peer_message::{
    ColdUpstream, LearnedLimit, MeasuredLoad, MessageError, MessageKey, PeerMessage,
};
use crate::fleet::peer_table::MessageScope;
use crate::fleet::permit_exchange::{send_message, send_permit_requests};
use crate::fleet::state::{FleetState, Outbox};
use crate::fleet::view::ViewChange;
use crate::kernel::{ServiceName, ServiceTask};
use crate::platform::ObjectEnvelope;
use crate::util::{FastMap, SeededRandom};

/// Time between two checks whether a message is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest message with a configuration that is sent to each entry of a large domain. A larger one is
/// sent in parts, which are compressed and relayed: copies for all entries would take some tenths of
/// a second over a slow link.
const MAX_INLINE_CONFIG_BYTES: usize = 6 << 10;
/// Size of the receive buffer: the largest UDP datagram.
const MAX_UDP_BYTES: usize = 64 << 10;

/// Exchanges datagrams with other entries.
#[derive(Debug)]
pub struct PeerService<D> {
    /// Socket for sending and receiving.
    pub socket: UdpSocket,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Records loads that other entries measured.
    pub recorder: LoadRecorder,
    /// For the incarnation of this start.
    pub random: SeededRandom,
}

impl<D: DeploymentCodec> ServiceTask for PeerService<D> {
    const NAME: ServiceName = ServiceName::Peer;

    async fn run(mut self, stop: CancellationToken) {
        let mut sender = PeerSender::new(self.random.bits());
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_UDP_BYTES];
        let mut rejected = RejectedDatagrams::default();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {
                    self.state.refresh_membership();
                    self.state.refresh_permits();
                    sender.send_due(&self.socket, &self.state).await;
                }
                () = self.state.peer_wakeup.notified() => {
                    ticks.reset();
                    sender.send_due(&self.socket, &self.state).await;
                }
                () = self.state.wait_for_permit_requests() => {
                    send_permit_requests(&self.socket, &self.state, sender.incarnation).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // An error reports that an earlier datagram met a closed port (ICMP).
                    let Ok((length, from)) = received else { continue };
                    let datagram = &buffer[..length];
                    if let Err(error) = self.receive(datagram, from, &mut sender).await {
                        rejected.record(from, error);
                    }
                }
            }
        }
        // The last message announces that this entry is leaving.
        sender.send_due(&self.socket, &self.state).await;
    }
}

/// Number of rejected datagrams. Logs when it reaches a power of two, so that a flood of them can't
/// flood the log.
#[derive(Debug, Default)]
struct RejectedDatagrams(u64);

impl RejectedDatagrams {
    fn record(&mut self, from: SocketAddr, error: MessageError) {
        self.0 += 1;
        if self.0.is_power_of_two() {
            let count = self.0;
            log::warn!(
                target: "peer",
                "rejected a datagram from={from} reason={error} count={count}",
            );
        }
    }
}

impl<D: DeploymentCodec> PeerService<D> {
    /// Applies a datagram. Before this entry knows the deployment's key, datagrams are dropped.
    async fn receive(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        sender: &mut PeerSender,
    ) -> Result<(), MessageError> {
        let received_at = Instant::now();
        let Some(keys) = self.state.message_keys() else { return Ok(()) };
        let payload = keys.verify(datagram)?;
        if let Some(loads) = decode_load_update(payload) {
            self.receive_load_update(&loads?, from, &mut sender.index);
            return Ok(());
        }
        if let Some(records) = decode_crash_update(payload) {
            sender.crash_exchange.receive(&self.state, &records?, from);
            return Ok(());
        }
        let mut message = PeerMessage::parse(payload)?;
        if let Some(part) = message.config_part.take() {
            // Parts may overtake each other, so the order of the messages does not matter.
            sender.receive_config_part(&self.socket, &self.state, part).await;
        }
        if message.is_about_permits() {
            let answer = self.state.receive_permits(&message, sender.incarnation);
            if let Some(answer) = answer {
                send_message(&self.socket, &keys, from, &answer).await;
            }
            return Ok(());
        }
        if !self.state.apply_message(&message, from) {
            return Ok(());
        }
        self.state.apply_view_of(&mut message, received_at);
        self.state.apply_peer_limits(&message.limits);
        self.state.apply_peer_warm_ups(&message.cold);
        let snapshot = self.state.snapshot.load_full();
        let Some(snapshot) = snapshot else { return Ok(()) };
        self.recorder.record(&snapshot, &message.loads);
        sender.send_load_update(&self.socket, &self.state, &message.loads).await;
        Ok(())
    }

    /// Records a load update. Updates from another failure domain are forwarded to the local one,
    /// and so are those of local entries if this one is the leader.
    fn receive_load_update(
        &self,
        loads: &[CompactLoad],
        from: SocketAddr,
        index: &mut DigestIndex,
    ) {
        let now = Instant::now();
        let is_forwarded = {
            let mut table = self.state.table();
            let is_local = table.is_local_address(from);
            if !is_local {
                table.record_gateway(from, now);
                if !table.knows_address(from) {
                    self.state.request_rosters();
                }
            }
            !is_local || table.rank(now) == 0
        };
        let Some(snapshot) = self.state.snapshot.load_full() else { return };
        let loads = index.resolve(&snapshot, loads);
        self.recorder.record(&snapshot, &loads);
        if !is_forwarded {
            return;
        }
        for load in loads {
            self.state.queue_load(now, load);
        }
    }
}

/// Upstreams by the name digests of load updates; rebuilt when the snapshot changes.
#[derive(Debug, Default)]
struct DigestIndex {
    snapshot: Option<Arc<ConfigSnapshot>>,
    keys: FastMap<u32, UpstreamKey>,
}

impl DigestIndex {
    /// Replaces digests by upstream names; loads of unknown upstreams are dropped.
    fn resolve(
        &mut self,
        snapshot: &Arc<ConfigSnapshot>,
        loads: &[CompactLoad],
    ) -> Vec<MeasuredLoad> {
        if !self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot)) {
            self.keys.clear();
            for (key, upstream) in &snapshot.upstreams {
                self.keys.insert(name_digest(&upstream.name), key);
            }
            self.snapshot = Some(Arc::clone(snapshot));
        }
        let mut resolved = Vec::with_capacity(loads.len());
        for load in loads {
            let key = self.keys.get(&load.digest);
            let Some(upstream) = key.and_then(|key| snapshot.upstreams.get(*key)) else { continue };
            resolved.push(MeasuredLoad {
                instance: upstream.name.clone(),
                inflight: load.inflight,
                work_percent: Some(load.work_percent),
                age_ms: 0,
            });
        }
        resolved
    }
}

/// Content of a message besides the state of its sender.
#[derive(Debug, Default)]
struct MessageContent {
    loads: Vec<MeasuredLoad>,
    change: Option<ViewChange>,
    limits: Vec<LearnedLimit>,
    config_part: Option<ConfigPart>,
    cold: Vec<ColdUpstream>,
}

impl MessageContent {
    fn of_change(change: ViewChange) -> Self {
        Self { change: Some(change), ..Self::default() }
    }
}

/// Builds and sends this entry's datagrams.
#[derive(Debug)]
struct PeerSender {
    incarnation: u64,
    sequence: u64,
    filter: LoadChangeFilter,
    index: DigestIndex,
    load_updates_sent: usize,
    crash_exchange: CrashExchange,
    last_sent_at: Option<Instant>,
}

impl PeerSender {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            filter: LoadChangeFilter::default(),
            index: DigestIndex::default(),
            load_updates_sent: 0,
            crash_exchange: CrashExchange::default(),
            last_sent_at: None,
        }
    }

    /// Sends the outbox, and a regular message if one is due.
    async fn send_due<D: DeploymentCodec>(&mut self, socket: &UdpSocket, state: &FleetState<D>) {
        let Some(keys) = state.message_keys() else { return };
        let key = keys.current();
        let now = Instant::now();
        self.crash_exchange.send_due(socket, state, key).await;
        state.update_rate_limits(now);
        state.update_warm_ups(now);
        let outbox = state.take_outbox();
        let mut loads = Vec::with_capacity(outbox.loads.len());
        for (measured, load) in outbox.loads {
            loads.push(MeasuredLoad { age_ms: (now - measured).as_millis() as u64, ..load });
        }
        self.send_load_update(socket, state, &loads).await;
        let (is_mesh, interval, leader, recipients) = {
            let table = state.table();
            let recipients = table.recipients(MessageScope::All, now);
            (table.is_full_mesh(), table.message_interval(), table.leader_address(now), recipients)
        };
        if !is_mesh && !loads.is_empty() {
            let datagram = encode_load_update(key, &compact_loads(&loads));
            // The leader forwards the loads of the other entries to all.
            let targets = leader.map_or(recipients, |leader| vec![leader]);
            send_all(socket, &datagram, &targets).await;
            loads.clear();
        }
        let is_due = self.last_sent_at.is_none_or(|at| now - at >= interval);
        if !is_due && !outbox.is_urgent && outbox.changes.is_empty() && loads.is_empty() {
            return;
        }
        self.last_sent_at = Some(now);
        let Outbox { mut changes, limits, cold, is_urgent, .. } = outbox;
        let is_broadcast = is_urgent || !changes.is_empty();
        let scope = if is_broadcast { MessageScope::All } else { MessageScope::LeaderCandidates };
        let last = changes.pop();
        for change in changes {
            self.send(socket, state, key, scope, MessageContent::of_change(change)).await;
        }
        let content = MessageContent { loads, change: last, limits, config_part: None, cold };
        self.send(socket, state, key, scope, content).await;
    }

    /// Sends changed loads of the local upstreams to the other failure domains, if this entry is
    /// the leader.
    async fn send_load_update<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        loads: &[MeasuredLoad],
    ) {
        let now = Instant::now();
        let (Some(keys), Some(snapshot)) = (state.message_keys(), state.snapshot.load_full())
        else {
            return;
        };
        let (gateways, local_domain) = {
            let table = state.table();
            if table.rank(now) > 0 {
                return;
            }
            (table.gateways(self.load_updates_sent, now), table.own().failure_domain.clone())
        };
        let mut own = Vec::with_capacity(loads.len());
        for load in loads {
            let key = snapshot.upstream_names.get(&load.instance);
            let upstream = key.and_then(|key| snapshot.upstreams.get(*key));
            if upstream.is_some_and(|upstream| upstream.failure_domain == local_domain) {
                own.push(load.clone());
            }
        }
        let changed = self.filter.select_changed(&own, now);
        self.filter.remove_stale(now);
        if changed.is_empty() {
            return;
        }
        self.load_updates_sent += 1;
        send_all(socket, &encode_load_update(keys.current(), &changed), &gateways).await;
    }

    async fn send<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
        scope: MessageScope,
        content: MessageContent,
    ) {
        let recipients = state.recipients(scope);
        self.send_to(socket, state, key, &recipients, content).await;
    }

    async fn send_to<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
        recipients: &[SocketAddr],
        content: MessageContent,
    ) {
        let now = Instant::now();
        let (own, alive, no_path, is_full_mesh) = {
            let table = state.table();
            let no_path = table.no_path_digests(now);
            (table.own().clone(), table.alive_digests(now), no_path, table.is_full_mesh())
        };
        if recipients.is_empty() {
            return;
        }
        self.sequence += 1;
        let mut message = PeerMessage {
            vm: own.vm.to_string(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            failure_domain: own.failure_domain.to_string(),
            caller_address: own.caller_address,
            state: own.state,
            is_enrolled: state.is_enrolled(),
            confirmation: state.confirmation(),
            alive,
            has_no_path: !own.has_path,
            no_path,
            loads: content.loads,
            change: content.change,
            limits: content.limits,
            config_part: content.config_part,
            cold: content.cold,
            uptime_ms: state.quota_uptime_ms(),
            grants_permits: state.grants_permits(),
            is_granting: state.is_granting(),
            permit_requests: Vec::new(),
            permit_answers: Vec::new(),
        };
        let mut encoded = key.encode(&message);
        let is_in_parts = match &encoded {
            Ok(datagram) => datagram.len() > MAX_INLINE_CONFIG_BYTES && !is_full_mesh,
            Err(error) => *error == MessageError::TooLarge,
        };
        let config = message.change.as_mut().filter(|_| is_in_parts);
        if let Some(config) = config.and_then(|change| change.config.take()) {
            // Boxed, because sending a part is sending a message again.
            Box::pin(self.send_config_parts(socket, state, key, recipients, &config)).await;
            encoded = key.encode(&message);
        }
        if encoded == Err(MessageError::TooLarge) {
            log::info!(
                target: "peer",
                "change too large for a datagram, peers will read it from the store",
            );
            message.change = None;
            encoded = key.encode(&message);
        }
        match encoded {
            Ok(datagram) => send_all(socket, &datagram, recipients).await,
            Err(error) => log::error!(target: "peer", "cannot send a message reason={error}"),
        }
    }
}

impl PeerSender {
    /// Sends a configuration in parts to one entry of each group, which sends them to the others.
    async fn send_config_parts<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
        recipients: &[SocketAddr],
        config: &ObjectEnvelope,
    ) {
        let Some(parts) = split_config(config) else {
            log::warn!(target: "peer", "configuration too large for parts, peers read the store");
            return;
        };
        let groups = relay_groups(recipients);
        log::debug!(target: "peer", "sending a configuration parts={}", parts.len());
        for part in parts {
            for group in &groups {
                let part = ConfigPart { relay_to: group.members.clone(), ..part.clone() };
                let content =
                    MessageContent { config_part: Some(part), ..MessageContent::default() };
                self.send_to(socket, state, key, &[group.relay], content).await;
            }
        }
    }

    /// Adds a part of a configuration, and sends it on to those that the sender names.
    async fn receive_config_part<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        mut part: ConfigPart,
    ) {
        let recipients = std::mem::take(&mut part.relay_to);
        if let Some(keys) = state.message_keys().filter(|_| !recipients.is_empty()) {
            let content =
                MessageContent { config_part: Some(part.clone()), ..MessageContent::default() };
            self.send_to(socket, state, keys.current(), &recipients, content).await;
        }
        state.apply_config_part(part);
    }
}

/// Sends a datagram to each address. Send errors are ignored, like losses on the way.
pub(super) async fn send_all(socket: &UdpSocket, datagram: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        let _ = socket.send_to(datagram, address).await;
    }
}

fn compact_loads(loads: &[MeasuredLoad]) -> Vec<CompactLoad> {
    let mut compact = Vec::with_capacity(loads.len());
    for load in loads {
        let Some(work_percent) = load.work_percent else { continue };
        let digest = name_digest(&load.instance);
        compact.push(CompactLoad { digest, inflight: load.inflight, work_percent });
    }
    compact
}
