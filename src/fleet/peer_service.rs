//! Sends this entry's messages to its failure domain and takes in those of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, UpstreamKey};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::load_probe::LoadRecorder;
use crate::fleet::load_update::{
    CompactLoad, LoadChangeFilter, decode_load_update, encode_load_update, name_digest,
};
use crate::fleet::peer_message::{MeasuredLoad, MessageError, MessageKey, PeerMessage};
use crate::fleet::peer_table::MessageScope;
use crate::fleet::state::FleetState;
use crate::fleet::view::ViewChange;
use crate::kernel::{ServiceName, ServiceTask};
use crate::util::{FastMap, SeededRandom};

/// Time between two looks at what is due.
const SPEAK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest datagram that UDP carries.
const MAX_UDP_BYTES: usize = 64 << 10;

/// The service.
#[derive(Debug)]
pub struct PeerService<D> {
    /// Socket for messages.
    pub socket: UdpSocket,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Learns the loads that others measured.
    pub learner: LoadRecorder,
    /// Source of random numbers.
    pub random: SeededRandom,
}

impl<D: DeploymentCodec> ServiceTask for PeerService<D> {
    const NAME: ServiceName = ServiceName::Peer;

    async fn run(mut self, stop: CancellationToken) {
        let mut speaker = PeerSpeaker::new(self.random.bits());
        let mut ticks = interval(SPEAK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_UDP_BYTES];
        let mut refused = RefusalCount::default();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => {
                    self.state.refresh_membership();
                    speaker.speak(&self.socket, &self.state).await;
                }
                () = self.state.outgoing.notified() => {
                    ticks.reset();
                    speaker.speak(&self.socket, &self.state).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // An error here is an earlier datagram that found no listener.
                    let Ok((length, from)) = received else { continue };
                    if let Err(error) = self.hear(&buffer[..length], from, &mut speaker).await {
                        refused.note(from, error);
                    }
                }
            }
        }
        // The last word tells the others that this entry leaves.
        speaker.speak(&self.socket, &self.state).await;
    }
}

/// Counts refused datagrams and logs some of them.
#[derive(Debug, Default)]
struct RefusalCount(u64);

impl RefusalCount {
    fn note(&mut self, from: SocketAddr, error: MessageError) {
        self.0 += 1;
        if self.0.is_power_of_two() {
            let count = self.0;
            log::warn!(target: "peer", "datagram refused from={from} reason={error} count={count}");
        }
    }
}

impl<D: DeploymentCodec> PeerService<D> {
    /// Takes in a datagram.
    async fn hear(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        speaker: &mut PeerSpeaker,
    ) -> Result<(), MessageError> {
        let Some(key) = self.state.key.get() else { return Ok(()) };
        let payload = key.verify(datagram)?;
        if let Some(loads) = decode_load_update(payload) {
            self.hear_flash(&loads?, from, &mut speaker.names);
            return Ok(());
        }
        let message = PeerMessage::parse(payload)?;
        if !self.state.table().apply_message(&message, from, Instant::now()) {
            return Ok(());
        }
        self.state.apply_peer_state(message.change, message.confirmation);
        let snapshot = self.state.snapshot.load_full();
        let Some(snapshot) = snapshot else { return Ok(()) };
        self.learner.record(&snapshot, &message.loads);
        speaker.flash(&self.socket, &self.state, &message.loads).await;
        Ok(())
    }

    /// Learns loads, and passes on to the own failure domain what another one tells, or what its
    /// entries tell this one as the first of them.
    fn hear_flash(&self, loads: &[CompactLoad], from: SocketAddr, names: &mut NameBook) {
        let now = Instant::now();
        let is_passed_on = {
            let mut table = self.state.table();
            let is_home = table.is_local_address(from);
            if !is_home {
                table.record_gateway(from, now);
            }
            !is_home || table.rank(now) == 0
        };
        let Some(snapshot) = self.state.snapshot.load_full() else { return };
        let loads = names.named(&snapshot, loads);
        self.learner.record(&snapshot, &loads);
        if !is_passed_on {
            return;
        }
        for load in loads {
            self.state.tell_load(now, load);
        }
    }
}

/// Names of the upstreams by the digests that stand for them in a flash; made anew when the
/// upstreams change.
#[derive(Debug, Default)]
struct NameBook {
    snapshot: Option<Arc<ConfigSnapshot>>,
    names: FastMap<u32, UpstreamKey>,
}

impl NameBook {
    /// The loads with the names that their digests stand for; unknown ones are left out.
    fn named(
        &mut self,
        snapshot: &Arc<ConfigSnapshot>,
        loads: &[CompactLoad],
    ) -> Vec<MeasuredLoad> {
        if !self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot)) {
            self.names.clear();
            for (key, upstream) in &snapshot.upstreams {
                self.names.insert(name_digest(&upstream.name), key);
            }
            self.snapshot = Some(Arc::clone(snapshot));
        }
        let mut named = Vec::with_capacity(loads.len());
        for load in loads {
            let key = self.names.get(&load.digest);
            let Some(upstream) = key.and_then(|key| snapshot.upstreams.get(*key)) else { continue };
            named.push(MeasuredLoad {
                instance: upstream.name.clone(),
                inflight: load.inflight,
                work_percent: Some(load.work_percent),
                age_ms: 0,
            });
        }
        named
    }
}

/// What a message tells beside the state of its sender.
#[derive(Debug, Default)]
struct MessageNews {
    loads: Vec<MeasuredLoad>,
    change: Option<ViewChange>,
}

impl MessageNews {
    fn of_change(change: ViewChange) -> Self {
        Self { loads: Vec::new(), change: Some(change) }
    }
}

/// Writes and sends messages.
#[derive(Debug)]
struct PeerSpeaker {
    incarnation: u64,
    sequence: u64,
    filter: LoadChangeFilter,
    names: NameBook,
    flashes: usize,
    spoken: Option<Instant>,
}

impl PeerSpeaker {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            filter: LoadChangeFilter::default(),
            names: NameBook::default(),
            flashes: 0,
            spoken: None,
        }
    }

    /// Sends what is due: a message, loads, news for the other failure domains.
    async fn speak<D: DeploymentCodec>(&mut self, socket: &UdpSocket, state: &FleetState<D>) {
        let Some(key) = state.key.get() else { return };
        let now = Instant::now();
        let outbox = state.take_outbox();
        let mut loads = Vec::with_capacity(outbox.loads.len());
        for (measured, load) in outbox.loads {
            loads.push(MeasuredLoad { age_ms: (now - measured).as_millis() as u64, ..load });
        }
        self.flash(socket, state, &loads).await;
        let (is_mesh, interval, first, audience) = {
            let table = state.table();
            let audience = table.recipients(MessageScope::All, now);
            (table.is_full_mesh(), table.message_interval(), table.leader_address(now), audience)
        };
        if !is_mesh && !loads.is_empty() {
            let datagram = encode_load_update(key, &flash_loads(&loads));
            // The first entry tells all what the others have told it.
            let hearers = first.map_or(audience, |first| vec![first]);
            send_all(socket, &datagram, &hearers).await;
            loads.clear();
        }
        let is_due = self.spoken.is_none_or(|at| now - at >= interval);
        if !is_due && !outbox.is_urgent && outbox.changes.is_empty() && loads.is_empty() {
            return;
        }
        self.spoken = Some(now);
        let is_for_all = outbox.is_urgent || !outbox.changes.is_empty();
        let reach = if is_for_all { MessageScope::All } else { MessageScope::LeaderCandidates };
        let mut changes = outbox.changes;
        let last = changes.pop();
        for change in changes {
            self.send(socket, state, key, reach, MessageNews::of_change(change)).await;
        }
        self.send(socket, state, key, reach, MessageNews { loads, change: last }).await;
    }

    /// Tells the other failure domains what is news among loads of the own one, if this entry is
    /// the one that does.
    async fn flash<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        loads: &[MeasuredLoad],
    ) {
        let now = Instant::now();
        let (Some(key), Some(snapshot)) = (state.key.get(), state.snapshot.load_full()) else {
            return;
        };
        let (speakers, home) = {
            let table = state.table();
            if table.rank(now) > 0 {
                return;
            }
            (table.gateways(self.flashes, now), table.own().failure_domain.clone())
        };
        let mut own = Vec::with_capacity(loads.len());
        for load in loads {
            let key = snapshot.upstream_names.get(&load.instance);
            let upstream = key.and_then(|key| snapshot.upstreams.get(*key));
            if upstream.is_some_and(|upstream| upstream.failure_domain == home) {
                own.push(load.clone());
            }
        }
        let news = self.filter.select_changed(&own, now);
        self.filter.remove_stale(now);
        if news.is_empty() {
            return;
        }
        self.flashes += 1;
        send_all(socket, &encode_load_update(key, &news), &speakers).await;
    }

    async fn send<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
        reach: MessageScope,
        news: MessageNews,
    ) {
        self.sequence += 1;
        let now = Instant::now();
        let (own, audience, alive) = {
            let table = state.table();
            (table.own().clone(), table.recipients(reach, now), table.alive_digests(now))
        };
        if audience.is_empty() {
            return;
        }
        let mut message = PeerMessage {
            vm: own.vm.to_string(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            failure_domain: own.failure_domain.to_string(),
            caller_address: own.caller_address,
            state: own.state,
            confirmation: state.confirmation(),
            alive,
            loads: news.loads,
            change: news.change,
        };
        let mut sealed = key.encode(&message);
        if sealed == Err(MessageError::TooLarge) {
            log::info!(target: "peer", "change too large for a datagram, the others read the store");
            message.change = None;
            sealed = key.encode(&message);
        }
        match sealed {
            Ok(datagram) => send_all(socket, &datagram, &audience).await,
            Err(error) => log::error!(target: "peer", "message not sent reason={error}"),
        }
    }
}

/// Sends a datagram to each address. One that is lost and one that could not be sent are alike.
async fn send_all(socket: &UdpSocket, datagram: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        let _ = socket.send_to(datagram, address).await;
    }
}

fn flash_loads(loads: &[MeasuredLoad]) -> Vec<CompactLoad> {
    let mut flash = Vec::with_capacity(loads.len());
    for load in loads {
        let Some(work_percent) = load.work_percent else { continue };
        let digest = name_digest(&load.instance);
        flash.push(CompactLoad { digest, inflight: load.inflight, work_percent });
    }
    flash
}
