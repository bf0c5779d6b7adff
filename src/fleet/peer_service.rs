//! Sends this entry's messages to its failure domain and takes in those of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::load_probe::LoadLearner;
use crate::fleet::peer_message::{MeasuredLoad, MessageError, MessageKey, PeerMessage};
use crate::fleet::state::FleetState;
use crate::fleet::view::ViewChange;
use crate::kernel::{ServiceName, ServiceWork};
use crate::util::SeededRandom;

/// Longest time between two messages.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest datagram that UDP carries.
const MAX_UDP_BYTES: usize = 64 << 10;

/// The service.
#[derive(Debug)]
pub struct PeerWork<D> {
    /// Socket for messages.
    pub socket: UdpSocket,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Learns the loads that others measured.
    pub learner: LoadLearner,
    /// Source of random numbers.
    pub random: SeededRandom,
}

impl<D: DeploymentCodec> ServiceWork for PeerWork<D> {
    const NAME: ServiceName = ServiceName::Peer;

    async fn run(mut self, stop: CancellationToken) {
        let mut speaker = PeerSpeaker { incarnation: self.random.bits(), sequence: 0 };
        let mut ticks = interval(MESSAGE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_UDP_BYTES];
        let mut strangers = 0_u64;
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
                    let Some(key) = self.state.key.get() else { continue };
                    match key.open(&buffer[..length]) {
                        Ok(message) => self.hear(message, from),
                        Err(error) => {
                            strangers += 1;
                            if strangers.is_power_of_two() {
                                log::warn!(target: "peer", "datagram refused from={from} reason={error} count={strangers}");
                            }
                        }
                    }
                }
            }
        }
        // The last word tells the others that this entry leaves.
        speaker.speak(&self.socket, &self.state).await;
    }
}

impl<D: DeploymentCodec> PeerWork<D> {
    fn hear(&self, message: PeerMessage, from: SocketAddr) {
        if !self.state.table().hear(&message, from, Instant::now()) {
            return;
        }
        self.state.take_in(message.change, message.confirmation);
        let snapshot = self.state.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else { return };
        self.learner.learn(snapshot, &message.loads);
    }
}

/// Writes and sends messages.
#[derive(Debug)]
struct PeerSpeaker {
    incarnation: u64,
    sequence: u64,
}

impl PeerSpeaker {
    async fn speak<D: DeploymentCodec>(&mut self, socket: &UdpSocket, state: &FleetState<D>) {
        let Some(key) = state.key.get() else { return };
        let outbox = state.take_outbox();
        let mut loads = Vec::with_capacity(outbox.loads.len());
        for (measured, load) in outbox.loads {
            loads.push(MeasuredLoad { age_ms: measured.elapsed().as_millis() as u64, ..load });
        }
        let mut changes = outbox.changes;
        let last = changes.pop();
        for change in changes {
            self.send(socket, state, key, Vec::new(), Some(change)).await;
        }
        self.send(socket, state, key, loads, last).await;
    }

    async fn send<D: DeploymentCodec>(
        &mut self,
        socket: &UdpSocket,
        state: &FleetState<D>,
        key: &MessageKey,
        loads: Vec<MeasuredLoad>,
        change: Option<ViewChange>,
    ) {
        self.sequence += 1;
        let (own, audience) = {
            let table = state.table();
            (table.own().clone(), table.audience())
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
            loads,
            change,
        };
        let mut sealed = key.seal(&message);
        if sealed == Err(MessageError::TooLarge) {
            log::info!(target: "peer", "change too large for a datagram, the others read the store");
            message.change = None;
            sealed = key.seal(&message);
        }
        let datagram = match sealed {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!(target: "peer", "message not sent reason={error}");
                return;
            }
        };
        for address in audience {
            // A lost datagram and one that could not be sent are alike.
            let _ = socket.send_to(&datagram, address).await;
        }
    }
}
