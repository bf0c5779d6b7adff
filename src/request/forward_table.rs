//! The peers that requests are forwarded to while this entry has no path to the upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::time::Instant;

use crate::balance::PathMonitor;
use crate::core::{EntryPeer, UpstreamState};
use crate::request::forward_header::ForwardKey;
use crate::util::{FastMap, SeededRandom};

/// Time for which a peer that could not be reached, or has no path itself, is passed over. Doubled each
/// time that it could not be reached again, up to [`MAX_PEER_BACKOFF`].
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which a peer that could not be reached is passed over: it may have been removed for
/// good, and each attempt to reach it delays a request.
const MAX_PEER_BACKOFF: Duration = Duration::from_secs(16);
/// Time after which a request that no peer has taken may be sent again.
pub(super) const FORWARD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Peers that requests may be forwarded to. Each is represented by the state of an upstream, which
/// counts the requests in flight to it.
#[derive(Clone, Debug, Default)]
pub struct ForwardPeers {
    /// Peers of the local failure domain.
    pub local: Vec<Arc<UpstreamState>>,
    /// Peers of the others.
    pub remote: Vec<Arc<UpstreamState>>,
}

/// Keys that sign forwarded requests, and verify those of peers.
#[derive(Clone, Debug)]
pub struct ForwardKeys {
    /// Signs and verifies.
    pub current: ForwardKey,
    /// Verifies requests of peers that do not know the current one yet.
    pub previous: Option<ForwardKey>,
}

/// State of forwarding, which the data plane shares with the services that know the peers.
#[derive(Debug)]
pub struct ForwardTable {
    path: Arc<PathMonitor>,
    keys: ArcSwapOption<ForwardKeys>,
    state: Mutex<ForwardState>,
}

#[derive(Clone, Copy, Debug)]
struct PeerBackoff {
    until: Instant,
    /// Time for which the peer is passed over.
    time: Duration,
}

/// Why a peer is passed over for some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PassOverCause {
    /// No connection could be opened.
    Unreachable,
    /// It has refused a request.
    Refused,
}

#[derive(Debug)]
struct ForwardState {
    peers: ForwardPeers,
    /// Peers that are passed over.
    backoff: FastMap<SocketAddr, PeerBackoff>,
    random: SeededRandom,
}

impl ForwardTable {
    /// Creates a table without peers.
    pub fn new(path: Arc<PathMonitor>, random: SeededRandom) -> Self {
        let (peers, backoff) = (ForwardPeers::default(), FastMap::default());
        let state = Mutex::new(ForwardState { peers, backoff, random });
        Self { path, keys: ArcSwapOption::default(), state }
    }

    /// Whether this entry has a path to the upstreams.
    pub fn path(&self) -> &Arc<PathMonitor> {
        &self.path
    }

    /// Replaces the keys.
    pub fn set_keys(&self, keys: ForwardKeys) {
        self.keys.store(Some(Arc::new(keys)));
    }

    /// The keys; `None` before the deployment's key is known.
    pub fn keys(&self) -> Option<Arc<ForwardKeys>> {
        self.keys.load_full()
    }

    /// Replaces the peers. Those that are known keep their state.
    pub fn set_peers(&self, local: Vec<EntryPeer>, remote: Vec<EntryPeer>) {
        let now = Instant::now();
        let mut state = self.lock();
        let known = std::mem::take(&mut state.peers);
        state.peers =
            ForwardPeers { local: merge_peers(local, &known), remote: merge_peers(remote, &known) };
        state.backoff.retain(|_, backoff| backoff.until + backoff.time > now);
    }

    /// Picks a peer that is not in `tried`: one of the local failure domain, because traffic between
    /// domains is slow and costs money, or else one of the others. Peers with fewer requests in
    /// flight come first, in random order.
    pub(super) fn pick(&self, tried: &[SocketAddr]) -> Option<Arc<UpstreamState>> {
        let now = Instant::now();
        let mut state = self.lock();
        let ForwardState { peers, backoff, random } = &mut *state;
        for group in [&peers.local, &peers.remote] {
            let mut best: Option<(u32, f64, &Arc<UpstreamState>)> = None;
            for peer in group {
                let address = peer.spec.address;
                let is_passed_over =
                    backoff.get(&address).is_some_and(|backoff| backoff.until > now);
                if is_passed_over || tried.contains(&address) {
                    continue;
                }
                let (inflight, draw) = (peer.inflight(), random.unit());
                if best.is_none_or(|(least, drawn, _)| (inflight, draw) < (least, drawn)) {
                    best = Some((inflight, draw, peer));
                }
            }
            if let Some((_, _, peer)) = best {
                return Some(Arc::clone(peer));
            }
        }
        None
    }

    /// Passes over a peer for one second. One that is unreachable again after such a time is passed over
    /// for twice as long, up to 16 seconds.
    pub(super) fn pass_over(&self, peer: SocketAddr, cause: PassOverCause) {
        let now = Instant::now();
        let mut state = self.lock();
        let known = state.backoff.get(&peer).filter(|_| cause == PassOverCause::Unreachable);
        let time = known.map_or(PEER_BACKOFF, |known| match known.until <= now {
            true => (known.time * 2).min(MAX_PEER_BACKOFF),
            false => known.time,
        });
        state.backoff.insert(peer, PeerBackoff { until: now + time, time });
    }

    /// Records that a peer was reached.
    pub(super) fn record_reached(&self, peer: SocketAddr) {
        self.lock().backoff.remove(&peer);
    }

    fn lock(&self) -> MutexGuard<'_, ForwardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn merge_peers(peers: Vec<EntryPeer>, known: &ForwardPeers) -> Vec<Arc<UpstreamState>> {
    let mut merged = Vec::with_capacity(peers.len());
    for peer in peers {
        let mut all = known.local.iter().chain(&known.remote);
        let same = all.find(|known| known.name == peer.name && known.spec.address == peer.address);
        merged.push(same.cloned().unwrap_or_else(|| Arc::new(peer.into_state())));
    }
    merged
}
