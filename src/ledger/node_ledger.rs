//! The ledger of one node: serves the partitions that the node owns, and asks other owners for
//! the rest.
//!
//! ```text
//! claim -> key -> partition -> owner here?  -> queue of the partition -> batch -> platform
//!                                 elsewhere -> LedgerTransport -> owner's queue
//! ```
//!
//! The entry chooses the identity of a claim and keeps it while it asks one owner after the other.
//! Only the entry that chose it ever dispatches under it, or gives it up.

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

/// First pause before an owner is asked again.
const MIN_ROUTE_BACKOFF: Duration = Duration::from_millis(20);
/// Longest such pause.
const MAX_ROUTE_BACKOFF: Duration = Duration::from_millis(500);

/// What a node's ledger is made of.
#[derive(Debug)]
pub struct LedgerParts<S, T> {
    /// The platform.
    pub store: Arc<S>,
    /// Way to other entries.
    pub transport: T,
    /// The entries.
    pub membership: SharedMembership,
    /// This entry.
    pub identity: EntryIdentity,
    /// The time that keys are compared with.
    pub clock: WallClock,
    /// Source of claim identities.
    pub random: SeededRandom,
    /// Limits.
    pub settings: LedgerSettings,
}

/// The ledger of one node; clones share it.
#[derive(Debug)]
pub struct NodeLedger<S, T> {
    pub(super) shared: Arc<LedgerShared<S, T>>,
}

impl<S, T> Clone for NodeLedger<S, T> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

#[derive(Debug)]
pub(super) struct LedgerShared<S, T> {
    transport: T,
    random: Mutex<SeededRandom>,
    pub(super) context: Arc<PartitionContext<S, ViewOwnership>>,
    partitions: OnceCell<Vec<PartitionHandle>>,
}

/// Ownership by the membership view at hand.
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

#[derive(Debug)]
struct PartitionHandle {
    commands: mpsc::Sender<PartitionCommand>,
    flags: Arc<PartitionFlags>,
}

/// What came of asking one entry.
enum OwnerAttempt<R> {
    Done(R),
    /// The entry cannot be reached, or does not take itself for the owner.
    TryNextRank,
    TryLater,
}

/// Who is to be asked about a partition.
enum PartitionRoute {
    Local,
    Peer(EntryRecord),
    NoOwner,
}

impl<S: PlatformStore, T: LedgerTransport> NodeLedger<S, T> {
    /// Creates the ledger; the partitions' tasks start once the platform tells the layout.
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

    /// Reads the layout and starts the partitions' tasks, so that logs are read before the first
    /// claim comes. Returns whether that succeeded; a claim tries again.
    pub async fn prepare(&self) -> bool {
        self.partitions().await.is_ok()
    }

    /// What the ledger has counted.
    pub fn counters(&self) -> &Arc<LedgerCounters> {
        &self.shared.context.counters
    }

    /// Answers another entry's claim.
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

    /// Records the end of another entry's claim.
    pub async fn serve_finish(&self, request: FinishRequest) -> FinishReply {
        let tenant = TenantId::new(&request.tenant);
        let key = LedgerKey::parse(&tenant, &request.key);
        let (Some(key), Some(close)) = (key, parse_completion(&request)) else {
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
        let close = ClaimCompletion { id: key.id, ..close };
        let receipt = finish_locally(handle, close).await;
        FinishReply { is_recorded: receipt == FinishReceipt::Recorded, is_owner: true }
    }

    /// Whether this node serves the partition: as its owner, or in place of an owner that another
    /// entry cannot reach.
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
        let patience = self.shared.context.settings.claim_timeout;
        match tokio::time::timeout(patience, rx).await {
            Ok(Ok(answer)) => self.reply_of(answer),
            Ok(Err(_)) | Err(_) => reply(ClaimVerdict::Unavailable),
        }
    }

    fn reply_of(&self, answer: PartitionReply) -> ClaimReply {
        match answer {
            PartitionReply::Granted => reply(ClaimVerdict::Granted),
            PartitionReply::Taken(entry) if self.is_alive(&entry) => {
                reply(ClaimVerdict::InProgress)
            }
            PartitionReply::Taken(_) | PartitionReply::Unknown => reply(ClaimVerdict::Unknown),
            PartitionReply::Ran(outcome) => ClaimReply {
                verdict: ClaimVerdict::Finished.into(),
                outcome: Some(outcome.as_ref().into()),
            },
            PartitionReply::Mismatch => reply(ClaimVerdict::Mismatch),
            PartitionReply::Expired => reply(ClaimVerdict::Expired),
            PartitionReply::NotOwner => reply(ClaimVerdict::NotOwner),
            PartitionReply::Unavailable => reply(ClaimVerdict::Unavailable),
            PartitionReply::Full => reply(ClaimVerdict::Full),
        }
    }

    /// Whether the entry may still record an outcome, as far as this node knows.
    fn is_alive(&self, entry: &EntryIdentity) -> bool {
        let ownership = &self.shared.context.ownership;
        if entry.vm == ownership.identity.vm {
            return *entry == ownership.identity;
        }
        ownership.membership.load().find(&entry.vm).is_some()
    }

    /// Refuses keys that are too old to be remembered, or from the future.
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
            // An entry that its own view does not name ready serves when nobody else does.
            None if rank == view.ready().count() && !view.is_ready(&ownership.identity.vm) => {
                PartitionRoute::Local
            }
            None => PartitionRoute::NoOwner,
            Some(owner) if owner.vm == ownership.identity.vm => PartitionRoute::Local,
            Some(owner) => PartitionRoute::Peer(owner.clone()),
        }
    }

    /// Whether the entry with this rank serves in place of others.
    fn is_substitute_rank(&self, rank: usize) -> bool {
        rank > 0 || self.shared.context.ownership.membership.load().ready().next().is_none()
    }

    /// Asks the entry with this rank.
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
        let answer = match self.route(claim.key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Local => Ok(self.serve_claim(request).await),
            PartitionRoute::NoOwner => return OwnerAttempt::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.claim(&owner, request).await,
        };
        match answer {
            Ok(answer) if answer.verdict() != ClaimVerdict::NotOwner => OwnerAttempt::Done(answer),
            Ok(_) | Err(_) => OwnerAttempt::TryNextRank,
        }
    }

    /// Asks the owner, and those that rank after it if it does not serve, until one decides.
    pub(super) async fn claim_until_decided(&self, request: &ClaimRequest) -> ClaimReply {
        let mut pause = MIN_ROUTE_BACKOFF;
        let mut rank = 0;
        loop {
            match self.try_claim_at_rank(request, rank).await {
                OwnerAttempt::Done(answer) => return answer,
                OwnerAttempt::TryNextRank => rank += 1,
                OwnerAttempt::TryLater => {
                    rank = 0;
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_ROUTE_BACKOFF);
                }
            }
        }
    }

    pub(super) async fn finish_until_recorded(&self, request: FinishRequest) {
        let end = Instant::now() + self.shared.context.settings.finish_timeout;
        let mut pause = MIN_ROUTE_BACKOFF;
        let mut rank = 0;
        while Instant::now() < end {
            match self.try_finish_at_rank(&request, rank).await {
                OwnerAttempt::Done(()) => return,
                OwnerAttempt::TryNextRank => rank += 1,
                OwnerAttempt::TryLater => {
                    rank = 0;
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_ROUTE_BACKOFF);
                }
            }
        }
        log::warn!(target: "ledger", "end of a claim not recorded tenant={}", request.tenant);
    }

    /// Tells the entry with this rank.
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
        let answer = match self.route(key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Local => Ok(self.serve_finish(request).await),
            PartitionRoute::NoOwner => return OwnerAttempt::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.finish(&owner, request).await,
        };
        match answer {
            Ok(told) if told.is_recorded => OwnerAttempt::Done(()),
            Ok(told) if told.is_owner => OwnerAttempt::TryLater,
            Ok(_) | Err(_) => OwnerAttempt::TryNextRank,
        }
    }

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
            let site = LogSettings {
                partition,
                layout,
                writer: context.ownership.identity.vm.as_str().to_owned(),
                archive_bytes: context.settings.archive_bytes,
            };
            let random = SeededRandom::new(self.random_bits());
            let task =
                PartitionTask::new(Arc::clone(context), site, random, Arc::clone(&flags), rx);
            tokio::spawn(task.run());
            handles.push(PartitionHandle { commands: tx, flags });
        }
        Ok(handles)
    }

    pub(super) fn random_bits(&self) -> u64 {
        self.shared.random.lock().unwrap_or_else(PoisonError::into_inner).bits()
    }
}

async fn finish_locally(handle: &PartitionHandle, close: ClaimCompletion) -> FinishReceipt {
    let (tx, rx) = oneshot::channel();
    let command = PartitionCommand::Finish { close, is_rechecked: false, reply: tx };
    if handle.commands.try_send(command).is_err() {
        return FinishReceipt::NotRecorded;
    }
    rx.await.unwrap_or(FinishReceipt::NotRecorded)
}
