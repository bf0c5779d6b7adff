//! The ledger of one node: serves the partitions that the node owns, and sends claims on other
//! partitions to their owners.
//!
//! ```text
//! claim -> key -> partition -> owned here -> partition's queue -> batch -> platform
//!                              otherwise  -> LedgerTransport -> owner's queue
//! ```
//!
//! The entry chooses the claim id and uses the same one for every owner that it tries, so that a
//! claim made durable by an earlier attempt is recognised. Only that entry dispatches under the
//! claim or releases it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use heatherfall_platform_api::{PlatformStore, StoreError};
use tokio::sync::{OnceCell, mpsc, oneshot};
use tokio::time::Instant;

use crate::core::TenantId;
use crate::ledger::claim_message::{parse_claim, parse_completion, reply};
use crate::ledger::key::{LedgerKey, WallClock, millis};
use crate::ledger::log_object::read_or_create_layout;
use crate::ledger::metrics::LedgerCounters;
use crate::ledger::ownership::{owner_of, ranked_owner};
use crate::ledger::partition::{OwnershipHint, PartitionContext, PartitionTask};
use crate::ledger::partition_batch::{FinishReceipt, PartitionCommand, PartitionReply};
use crate::ledger::partition_flags::PartitionFlags;
use crate::ledger::partition_log::LogSettings;
use crate::ledger::settings::LedgerSettings;
use crate::ledger::table::{ClaimCompletion, EntryIdentity, KeyClaim};
use crate::ledger::transport::LedgerTransport;
use crate::membership::{EntryRecord, SharedMembership};
use crate::peer::generated::ledger::{
    ClaimReply, ClaimRequest, ClaimVerdict, FinishReply, FinishRequest,
};
use crate::util::SeededRandom;

/// First wait before the entries are tried again from the first rank.
const MIN_ROUTE_BACKOFF: Duration = Duration::from_millis(20);
/// Upper bound of that wait, which doubles with each round.
const MAX_ROUTE_BACKOFF: Duration = Duration::from_millis(500);

/// Dependencies and settings of a node's ledger.
#[derive(Debug)]
pub struct LedgerParts<S, T> {
    /// Platform that holds the partitions' logs.
    pub store: Arc<S>,
    /// Client of other entries' ledgers.
    pub transport: T,
    /// Membership view, which decides the ownership of partitions.
    pub membership: SharedMembership,
    /// Identity of this entry's process.
    pub identity: EntryIdentity,
    /// Clock that the creation times of keys are compared with.
    pub clock: WallClock,
    /// Source of claim ids, archive names and change ids.
    pub random: SeededRandom,
    /// Limits and timeouts.
    pub settings: LedgerSettings,
}

/// The ledger of one node; clones share its state.
#[derive(Debug)]
pub struct NodeLedger<S, T> {
    pub(super) shared: Arc<LedgerShared<S, T>>,
}

impl<S, T> Clone for NodeLedger<S, T> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

/// State shared by the clones of a node's ledger.
#[derive(Debug)]
pub(super) struct LedgerShared<S, T> {
    transport: T,
    random: Mutex<SeededRandom>,
    pub(super) context: Arc<PartitionContext<S, ViewOwnership>>,
    partitions: OnceCell<Vec<PartitionHandle>>,
}

/// Ownership by the node's current membership view.
#[derive(Debug)]
pub(super) struct ViewOwnership {
    pub(super) membership: SharedMembership,
    pub(super) identity: EntryIdentity,
}

impl OwnershipHint for ViewOwnership {
    fn is_owner(&self, partition: u32) -> bool {
        let view = self.membership.load();
        owner_of(&view, partition).is_some_and(|owner| owner.vm == self.identity.vm)
    }
}

/// Command queue and flags of a partition's task.
#[derive(Debug)]
struct PartitionHandle {
    commands: mpsc::Sender<PartitionCommand>,
    flags: Arc<PartitionFlags>,
}

/// Result of trying one entry as the owner.
enum OwnerAttempt<R> {
    Done(R),
    /// The entry cannot be reached or does not serve the partition; the next rank is to be tried.
    TryNextRank,
    /// No entry serves the partition, or it could not record the outcome; to be retried after a
    /// wait.
    TryLater,
}

/// The entry with a given rank for a partition.
enum PartitionRoute {
    Local,
    Peer(EntryRecord),
    NoOwner,
}

impl<S: PlatformStore, T: LedgerTransport> NodeLedger<S, T> {
    /// Creates the ledger. The partitions' tasks start once the layout has been read.
    pub fn new(parts: LedgerParts<S, T>) -> Self {
        let context = PartitionContext {
            store: parts.store,
            ownership: ViewOwnership { membership: parts.membership, identity: parts.identity },
            settings: parts.settings,
            clock: parts.clock,
            counters: Arc::default(),
        };
        Self {
            shared: Arc::new(LedgerShared {
                transport: parts.transport,
                random: Mutex::new(parts.random),
                context: Arc::new(context),
                partitions: OnceCell::new(),
            }),
        }
    }

    /// Reads the layout and starts the partitions' tasks ahead of the first claim. Returns whether
    /// that succeeded; if not, the next claim tries again.
    pub async fn prepare(&self) -> bool {
        self.partitions().await.is_ok()
    }

    /// Counters of this node, for [`crate::ledger::LedgerMetrics`].
    pub fn counters(&self) -> &Arc<LedgerCounters> {
        &self.shared.context.counters
    }

    /// Decides about a claim as the partition's owner or substitute, for this or another entry.
    pub async fn serve_claim(&self, request: ClaimRequest) -> ClaimReply {
        let Some(claim) = parse_claim(&request) else { return reply(ClaimVerdict::Malformed) };
        let Ok(partitions) = self.partitions().await else {
            return reply(ClaimVerdict::Unavailable);
        };
        let partition = claim.key.partition(partitions.len() as u32);
        let handle = &partitions[partition as usize];
        if !self.may_serve(partition, handle, request.is_owner_unreachable) {
            return reply(ClaimVerdict::NotOwner);
        }
        match self.check_key_time(claim.key.time_ms) {
            Some(verdict) => reply(verdict),
            None => self.claim_locally(handle, claim).await,
        }
    }

    /// Records the outcome of a claim as the partition's owner or substitute, for this or another
    /// entry. A malformed request counts as recorded, so that it is not retried.
    pub async fn serve_finish(&self, request: FinishRequest) -> FinishReply {
        let tenant = TenantId::new(&request.tenant);
        let key = LedgerKey::parse(&tenant, &request.key);
        let (Some(key), Some(completion)) = (key, parse_completion(&request)) else {
            return FinishReply { is_recorded: true, is_owner: true };
        };
        let Ok(partitions) = self.partitions().await else {
            return FinishReply { is_recorded: false, is_owner: true };
        };
        let partition = key.partition(partitions.len() as u32);
        let handle = &partitions[partition as usize];
        if !self.may_serve(partition, handle, request.is_owner_unreachable) {
            return FinishReply { is_recorded: false, is_owner: false };
        }
        let completion = ClaimCompletion { id: key.id, ..completion };
        let receipt = finish_locally(handle, completion).await;
        FinishReply { is_recorded: receipt == FinishReceipt::Recorded, is_owner: true }
    }

    /// Whether this node serves the partition: as its owner, or as the substitute of an owner that
    /// the calling entry cannot reach.
    fn may_serve(&self, partition: u32, handle: &PartitionHandle, is_substitute: bool) -> bool {
        if is_substitute {
            handle.flags.serve_as_substitute();
        }
        is_substitute || self.shared.context.ownership.is_owner(partition)
    }

    async fn claim_locally(&self, handle: &PartitionHandle, claim: KeyClaim) -> ClaimReply {
        if handle.flags.is_stalled() {
            return reply(ClaimVerdict::Unavailable);
        }
        let (tx, rx) = oneshot::channel();
        if handle.commands.try_send(PartitionCommand::Claim { claim, reply: tx }).is_err() {
            return reply(ClaimVerdict::Unavailable);
        }
        let timeout = self.shared.context.settings.claim_timeout;
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(decided)) => self.wire_reply(decided),
            Ok(Err(_)) | Err(_) => reply(ClaimVerdict::Unavailable),
        }
    }

    /// The message for a partition's reply. A key that is held without an outcome is in progress
    /// while the holder is alive. A holder that is gone will not record one: the outcome is
    /// unknown.
    fn wire_reply(&self, decided: PartitionReply) -> ClaimReply {
        match decided {
            PartitionReply::Granted => reply(ClaimVerdict::Granted),
            PartitionReply::HeldBy(entry) if self.is_alive(&entry) => {
                reply(ClaimVerdict::InProgress)
            }
            PartitionReply::HeldBy(_) | PartitionReply::Unknown => reply(ClaimVerdict::Unknown),
            PartitionReply::Ran(response) => ClaimReply {
                verdict: ClaimVerdict::Finished.into(),
                outcome: Some(response.as_ref().into()),
            },
            PartitionReply::Mismatch => reply(ClaimVerdict::Mismatch),
            PartitionReply::Expired => reply(ClaimVerdict::Expired),
            PartitionReply::NotOwner => reply(ClaimVerdict::NotOwner),
            PartitionReply::Unavailable => reply(ClaimVerdict::Unavailable),
            PartitionReply::Full => reply(ClaimVerdict::Full),
        }
    }

    /// Whether the holder of a claim may still record an outcome, as far as this node knows: it is
    /// this process, or its VM is in the membership view.
    fn is_alive(&self, entry: &EntryIdentity) -> bool {
        let ownership = &self.shared.context.ownership;
        if entry.vm == ownership.identity.vm {
            return *entry == ownership.identity;
        }
        ownership.membership.load().find(&entry.vm).is_some()
    }

    /// The verdict for a key that is older than the retention, or further in the future than the
    /// allowed clock skew; `None` for any other.
    pub(super) fn check_key_time(&self, time_ms: u64) -> Option<ClaimVerdict> {
        let settings = &self.shared.context.settings;
        let now = self.shared.context.clock.now_ms();
        if time_ms > now + millis(settings.max_clock_skew) {
            return Some(ClaimVerdict::Malformed);
        }
        let is_old = time_ms < now.saturating_sub(millis(settings.retention));
        is_old.then_some(ClaimVerdict::Expired)
    }

    fn route(&self, partition: u32, rank: usize) -> PartitionRoute {
        let ownership = &self.shared.context.ownership;
        let view = ownership.membership.load();
        match ranked_owner(&view, partition, rank) {
            // An entry that is not ready by its own view tries itself last, after all ready ones.
            None if rank == view.ready().count() && !view.is_ready(&ownership.identity.vm) => {
                PartitionRoute::Local
            }
            None => PartitionRoute::NoOwner,
            Some(owner) if owner.vm == ownership.identity.vm => PartitionRoute::Local,
            Some(owner) => PartitionRoute::Peer(owner.clone()),
        }
    }

    /// Whether the entry with this rank serves as a substitute.
    fn is_substitute_rank(&self, rank: usize) -> bool {
        rank > 0 || self.shared.context.ownership.membership.load().ready().next().is_none()
    }

    /// Sends the claim to the entry with this rank.
    async fn try_claim_at_rank(
        &self,
        request: &ClaimRequest,
        rank: usize,
    ) -> OwnerAttempt<ClaimReply> {
        let Some(claim) = parse_claim(request) else {
            return OwnerAttempt::Done(reply(ClaimVerdict::Malformed));
        };
        let Ok(partitions) = self.partitions().await else {
            return OwnerAttempt::Done(reply(ClaimVerdict::Unavailable));
        };
        let request =
            ClaimRequest { is_owner_unreachable: self.is_substitute_rank(rank), ..request.clone() };
        let result = match self.route(claim.key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Local => Ok(self.serve_claim(request).await),
            PartitionRoute::NoOwner => return OwnerAttempt::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.claim(&owner, request).await,
        };
        match result {
            Ok(reply) if reply.verdict() != ClaimVerdict::NotOwner => OwnerAttempt::Done(reply),
            Ok(_) | Err(_) => OwnerAttempt::TryNextRank,
        }
    }

    /// Tries the owner, and in order of rank the entries after it, until one decides about the
    /// claim. The caller bounds the time.
    pub(super) async fn claim_until_decided(&self, request: &ClaimRequest) -> ClaimReply {
        let mut backoff = MIN_ROUTE_BACKOFF;
        let mut rank = 0;
        loop {
            match self.try_claim_at_rank(request, rank).await {
                OwnerAttempt::Done(reply) => return reply,
                OwnerAttempt::TryNextRank => rank += 1,
                OwnerAttempt::TryLater => {
                    rank = 0;
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_ROUTE_BACKOFF);
                }
            }
        }
    }

    /// Tries the entries in the same way until the outcome is recorded, for up to `finish_timeout`.
    /// After that the claim stays without an outcome.
    pub(super) async fn finish_until_recorded(&self, request: FinishRequest) {
        let end = Instant::now() + self.shared.context.settings.finish_timeout;
        let mut backoff = MIN_ROUTE_BACKOFF;
        let mut rank = 0;
        while Instant::now() < end {
            match self.try_finish_at_rank(&request, rank).await {
                OwnerAttempt::Done(()) => return,
                OwnerAttempt::TryNextRank => rank += 1,
                OwnerAttempt::TryLater => {
                    rank = 0;
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_ROUTE_BACKOFF);
                }
            }
        }
        log::warn!(
            target: "ledger",
            "outcome of a claim not recorded before the finish timeout tenant={}",
            request.tenant
        );
    }

    /// Sends the outcome to the entry with this rank.
    async fn try_finish_at_rank(&self, request: &FinishRequest, rank: usize) -> OwnerAttempt<()> {
        let tenant = TenantId::new(&request.tenant);
        let Some(key) = LedgerKey::parse(&tenant, &request.key) else {
            return OwnerAttempt::Done(());
        };
        let Ok(partitions) = self.partitions().await else { return OwnerAttempt::TryLater };
        let request = FinishRequest {
            is_owner_unreachable: self.is_substitute_rank(rank),
            ..request.clone()
        };
        let result = match self.route(key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Local => Ok(self.serve_finish(request).await),
            PartitionRoute::NoOwner => return OwnerAttempt::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.finish(&owner, request).await,
        };
        match result {
            Ok(reply) if reply.is_recorded => OwnerAttempt::Done(()),
            Ok(reply) if reply.is_owner => OwnerAttempt::TryLater,
            Ok(_) | Err(_) => OwnerAttempt::TryNextRank,
        }
    }

    /// The handles of all partitions; starts their tasks on first use.
    async fn partitions(&self) -> Result<&Vec<PartitionHandle>, StoreError> {
        self.shared.partitions.get_or_try_init(|| self.start_partitions()).await
    }

    async fn start_partitions(&self) -> Result<Vec<PartitionHandle>, StoreError> {
        let context = &self.shared.context;
        let layout = read_or_create_layout(context.store.as_ref(), &context.settings).await?;
        let mut handles = Vec::with_capacity(layout.partitions as usize);
        for partition in 0..layout.partitions {
            let (tx, rx) = mpsc::channel(context.settings.max_queued_commands);
            let flags = Arc::new(PartitionFlags::default());
            let log_settings = LogSettings {
                partition,
                layout,
                writer: context.ownership.identity.vm.as_str().to_owned(),
                archive_bytes: context.settings.archive_bytes,
            };
            let random = SeededRandom::new(self.random_bits());
            let task = PartitionTask::new(
                Arc::clone(context),
                log_settings,
                random,
                Arc::clone(&flags),
                rx,
            );
            tokio::spawn(task.run());
            handles.push(PartitionHandle { commands: tx, flags });
        }
        Ok(handles)
    }

    pub(super) fn random_bits(&self) -> u64 {
        self.shared.random.lock().unwrap_or_else(PoisonError::into_inner).bits()
    }
}

async fn finish_locally(handle: &PartitionHandle, completion: ClaimCompletion) -> FinishReceipt {
    let (tx, rx) = oneshot::channel();
    let command = PartitionCommand::Finish { completion, is_rechecked: false, reply: tx };
    if handle.commands.try_send(command).is_err() {
        return FinishReceipt::NotRecorded;
    }
    rx.await.unwrap_or(FinishReceipt::NotRecorded)
}
