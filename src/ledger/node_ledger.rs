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

use bytes::Bytes;
use heatherfall_platform_api::{ObjectDraft, PlatformStore, Precondition, StoreError};
use tokio::sync::{OnceCell, mpsc, oneshot};
use tokio::time::Instant;

use crate::core::{GenerationNumber, ResultCode, TenantId, VmId};
use crate::ledger::claim::{ClaimDecision, ClaimEnd, ClaimIntent, ClaimLedger, ClaimTicket};
use crate::ledger::key::{KeyId, LedgerKey, WallClock, millis};
use crate::ledger::log_object::{LAYOUT_KIND, LAYOUT_NAME, LedgerLayout};
use crate::ledger::ownership::{owner_of, ranked_owner};
use crate::ledger::partition::{
    EndReceipt, LedgerCounters, OwnershipHint, PartitionAnswer, PartitionCommand, PartitionContext,
    PartitionFlags, PartitionTask,
};
use crate::ledger::partition_log::LogSite;
use crate::ledger::settings::LedgerSettings;
use crate::ledger::table::{ClaimClose, ClaimId, EntryIdentity, KeyClaim, KeyState};
use crate::ledger::transport::LedgerTransport;
use crate::membership::{EntryRecord, SharedMembership};
use crate::peer::generated::ledger::{
    ClaimReply, ClaimRequest, ClaimVerdict, FinishReply, FinishRequest,
};
use crate::util::SeededRandom;

/// First pause before an owner is asked again.
const MIN_ROUTE_PAUSE: Duration = Duration::from_millis(20);
/// Longest such pause.
const MAX_ROUTE_PAUSE: Duration = Duration::from_millis(500);

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
    shared: Arc<LedgerShared<S, T>>,
}

impl<S, T> Clone for NodeLedger<S, T> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

#[derive(Debug)]
struct LedgerShared<S, T> {
    transport: T,
    random: Mutex<SeededRandom>,
    context: Arc<PartitionContext<S, ViewOwnership>>,
    partitions: OnceCell<Vec<PartitionHandle>>,
}

/// Ownership by the membership view at hand.
#[derive(Debug)]
struct ViewOwnership {
    membership: SharedMembership,
    identity: EntryIdentity,
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
enum AskEnd<R> {
    Answered(R),
    /// The entry cannot be reached, or does not take itself for the owner.
    TryNext,
    TryLater,
}

/// Who is to be asked about a partition.
enum PartitionRoute {
    Here,
    Peer(EntryRecord),
    Nobody,
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
        let Some(claim) = claim_of(&request) else { return reply(ClaimVerdict::Malformed) };
        let Ok(partitions) = self.partitions().await else {
            return reply(ClaimVerdict::Unavailable);
        };
        let partition = claim.key.partition(partitions.len() as u32);
        let handle = &partitions[partition as usize];
        if !self.may_serve(partition, handle, request.is_owner_unreachable) {
            return reply(ClaimVerdict::NotOwner);
        }
        match self.check_time(claim.key.time_ms) {
            Some(verdict) => reply(verdict),
            None => self.claim_here(handle, claim).await,
        }
    }

    /// Records the end of another entry's claim.
    pub async fn serve_finish(&self, request: FinishRequest) -> FinishReply {
        let tenant = TenantId::new(&request.tenant);
        let key = LedgerKey::parse(&tenant, &request.key);
        let (Some(key), Some(close)) = (key, close_of(&request)) else {
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
        let close = ClaimClose { id: key.id, ..close };
        let receipt = finish_here(handle, close).await;
        FinishReply { is_recorded: receipt == EndReceipt::Settled, is_owner: true }
    }

    /// Whether this node serves the partition: as its owner, or in place of an owner that another
    /// entry cannot reach.
    fn may_serve(&self, partition: u32, handle: &PartitionHandle, is_substitute: bool) -> bool {
        if is_substitute {
            handle.flags.substitute();
        }
        is_substitute || self.shared.context.ownership.is_owner(partition)
    }

    async fn claim_here(&self, handle: &PartitionHandle, claim: KeyClaim) -> ClaimReply {
        if handle.flags.is_stalled() {
            return reply(ClaimVerdict::Unavailable);
        }
        let (tx, rx) = oneshot::channel();
        if handle.commands.try_send(PartitionCommand::Claim { claim, reply: tx }).is_err() {
            return reply(ClaimVerdict::Unavailable);
        }
        let patience = self.shared.context.settings.claim_patience;
        match tokio::time::timeout(patience, rx).await {
            Ok(Ok(answer)) => self.reply_of(answer),
            Ok(Err(_)) | Err(_) => reply(ClaimVerdict::Unavailable),
        }
    }

    fn reply_of(&self, answer: PartitionAnswer) -> ClaimReply {
        match answer {
            PartitionAnswer::Granted => reply(ClaimVerdict::Granted),
            PartitionAnswer::Taken(entry) if self.is_alive(&entry) => {
                reply(ClaimVerdict::InProgress)
            }
            PartitionAnswer::Taken(_) | PartitionAnswer::Unknown => reply(ClaimVerdict::Unknown),
            PartitionAnswer::Ran(outcome) => ClaimReply {
                verdict: ClaimVerdict::Finished.into(),
                outcome: Some(outcome.as_ref().into()),
            },
            PartitionAnswer::Mismatch => reply(ClaimVerdict::Mismatch),
            PartitionAnswer::Expired => reply(ClaimVerdict::Expired),
            PartitionAnswer::NotOwner => reply(ClaimVerdict::NotOwner),
            PartitionAnswer::Unavailable => reply(ClaimVerdict::Unavailable),
            PartitionAnswer::Full => reply(ClaimVerdict::Full),
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
    fn check_time(&self, time_ms: u64) -> Option<ClaimVerdict> {
        let settings = &self.shared.context.settings;
        let now = self.shared.context.clock.now_ms();
        if time_ms > now + millis(settings.clock_tolerance) {
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
                PartitionRoute::Here
            }
            None => PartitionRoute::Nobody,
            Some(owner) if owner.vm == ownership.identity.vm => PartitionRoute::Here,
            Some(owner) => PartitionRoute::Peer(owner.clone()),
        }
    }

    /// Whether the entry with this rank serves in place of others.
    fn substitutes(&self, rank: usize) -> bool {
        rank > 0 || self.shared.context.ownership.membership.load().ready().next().is_none()
    }

    /// Asks the entry with this rank.
    async fn ask_claim(&self, request: &ClaimRequest, rank: usize) -> AskEnd<ClaimReply> {
        let Some(claim) = claim_of(request) else {
            return AskEnd::Answered(reply(ClaimVerdict::Malformed));
        };
        let Ok(partitions) = self.partitions().await else {
            return AskEnd::Answered(reply(ClaimVerdict::Unavailable));
        };
        let request =
            ClaimRequest { is_owner_unreachable: self.substitutes(rank), ..request.clone() };
        let answer = match self.route(claim.key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Here => Ok(self.serve_claim(request).await),
            PartitionRoute::Nobody => return AskEnd::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.claim(&owner, request).await,
        };
        match answer {
            Ok(answer) if answer.verdict() != ClaimVerdict::NotOwner => AskEnd::Answered(answer),
            Ok(_) | Err(_) => AskEnd::TryNext,
        }
    }

    /// Asks the owner, and those that rank after it if it does not serve, until one decides.
    async fn claim_until_decided(&self, request: &ClaimRequest) -> ClaimReply {
        let mut pause = MIN_ROUTE_PAUSE;
        let mut rank = 0;
        loop {
            match self.ask_claim(request, rank).await {
                AskEnd::Answered(answer) => return answer,
                AskEnd::TryNext => rank += 1,
                AskEnd::TryLater => {
                    rank = 0;
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_ROUTE_PAUSE);
                }
            }
        }
    }

    async fn finish_until_recorded(&self, request: FinishRequest) {
        let end = Instant::now() + self.shared.context.settings.finish_patience;
        let mut pause = MIN_ROUTE_PAUSE;
        let mut rank = 0;
        while Instant::now() < end {
            match self.ask_finish(&request, rank).await {
                AskEnd::Answered(()) => return,
                AskEnd::TryNext => rank += 1,
                AskEnd::TryLater => {
                    rank = 0;
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_ROUTE_PAUSE);
                }
            }
        }
        log::warn!(target: "ledger", "end of a claim not recorded tenant={}", request.tenant);
    }

    /// Tells the entry with this rank.
    async fn ask_finish(&self, request: &FinishRequest, rank: usize) -> AskEnd<()> {
        let tenant = TenantId::new(&request.tenant);
        let Some(key) = LedgerKey::parse(&tenant, &request.key) else {
            return AskEnd::Answered(());
        };
        let Ok(partitions) = self.partitions().await else { return AskEnd::TryLater };
        let request =
            FinishRequest { is_owner_unreachable: self.substitutes(rank), ..request.clone() };
        let answer = match self.route(key.partition(partitions.len() as u32), rank) {
            PartitionRoute::Here => Ok(self.serve_finish(request).await),
            PartitionRoute::Nobody => return AskEnd::TryLater,
            PartitionRoute::Peer(owner) => self.shared.transport.finish(&owner, request).await,
        };
        match answer {
            Ok(told) if told.is_recorded => AskEnd::Answered(()),
            Ok(told) if told.is_owner => AskEnd::TryLater,
            Ok(_) | Err(_) => AskEnd::TryNext,
        }
    }

    async fn partitions(&self) -> Result<&Vec<PartitionHandle>, StoreError> {
        self.shared.partitions.get_or_try_init(|| self.start_partitions()).await
    }

    async fn start_partitions(&self) -> Result<Vec<PartitionHandle>, StoreError> {
        let context = &self.shared.context;
        let layout = read_layout(context.store.as_ref(), &context.settings).await?;
        let mut handles = Vec::with_capacity(layout.partitions as usize);
        for partition in 0..layout.partitions {
            let (tx, rx) = mpsc::channel(context.settings.max_queued);
            let flags = Arc::new(PartitionFlags::default());
            let site = LogSite {
                partition,
                layout,
                writer: context.ownership.identity.vm.as_str().to_owned(),
                archive_bytes: context.settings.archive_bytes,
            };
            let random = SeededRandom::new(self.bits());
            let task =
                PartitionTask::new(Arc::clone(context), site, random, Arc::clone(&flags), rx);
            tokio::spawn(task.run());
            handles.push(PartitionHandle { commands: tx, flags });
        }
        Ok(handles)
    }

    fn bits(&self) -> u64 {
        self.shared.random.lock().unwrap_or_else(PoisonError::into_inner).bits()
    }

    fn new_claim_id(&self) -> ClaimId {
        let mut id = [0; 16];
        id[..8].copy_from_slice(&self.bits().to_be_bytes());
        id[8..].copy_from_slice(&self.bits().to_be_bytes());
        id
    }

    fn finish_request(&self, ticket: ClaimTicket, end: ClaimEnd) -> FinishRequest {
        let did_not_run = end == ClaimEnd::DidNotRun;
        let outcome = match &end {
            ClaimEnd::Ran(outcome) => Some(outcome.into()),
            ClaimEnd::DidNotRun | ClaimEnd::Unknown => None,
        };
        FinishRequest {
            tenant: ticket.tenant.as_str().to_owned(),
            key: ticket.key,
            claim_id: Bytes::copy_from_slice(&ticket.claim_id),
            outcome,
            did_not_run,
            is_owner_unreachable: false,
        }
    }
}

impl<S: PlatformStore, T: LedgerTransport> ClaimLedger for NodeLedger<S, T> {
    async fn claim(&self, intent: ClaimIntent) -> ClaimDecision {
        let Some(key) = LedgerKey::parse(&intent.tenant, &intent.key) else {
            return ClaimDecision::Refused(ResultCode::KeyMalformed);
        };
        if self.check_time(key.time_ms) == Some(ClaimVerdict::Malformed) {
            return ClaimDecision::Refused(ResultCode::KeyMalformed);
        }
        let identity = &self.shared.context.ownership.identity;
        let claim_id = self.new_claim_id();
        let request = ClaimRequest {
            tenant: intent.tenant.as_str().to_owned(),
            key: intent.key.clone(),
            request_digest: Bytes::copy_from_slice(&intent.digest),
            claim_id: Bytes::copy_from_slice(&claim_id),
            generation: intent.generation.0,
            entry_vm: identity.vm.as_str().to_owned(),
            entry_incarnation: identity.incarnation,
            is_owner_unreachable: false,
        };
        let ticket = ClaimTicket { tenant: intent.tenant, key: intent.key, claim_id };
        let patience = Instant::now() + self.shared.context.settings.claim_patience;
        let end = patience.min(intent.deadline);
        let asked = tokio::time::timeout_at(end, self.claim_until_decided(&request)).await;
        let answer = asked.unwrap_or_else(|_| reply(ClaimVerdict::Unavailable));
        match answer.verdict() {
            ClaimVerdict::Granted => ClaimDecision::Granted(ticket),
            ClaimVerdict::Finished => {
                ClaimDecision::Finished(answer.outcome.unwrap_or_default().into())
            }
            ClaimVerdict::InProgress => ClaimDecision::Refused(ResultCode::KeyInProgress),
            ClaimVerdict::Unknown => ClaimDecision::Refused(ResultCode::OutcomeUnknown),
            ClaimVerdict::Mismatch => ClaimDecision::Refused(ResultCode::KeyMismatch),
            ClaimVerdict::Expired => ClaimDecision::Refused(ResultCode::KeyExpired),
            ClaimVerdict::Malformed => ClaimDecision::Refused(ResultCode::KeyMalformed),
            ClaimVerdict::Full => ClaimDecision::Refused(ResultCode::LedgerFull),
            ClaimVerdict::Unspecified | ClaimVerdict::NotOwner | ClaimVerdict::Unavailable => {
                self.give_up(ticket);
                ClaimDecision::Refused(ResultCode::LedgerUnavailable)
            }
        }
    }

    async fn finish(&self, ticket: ClaimTicket, end: ClaimEnd) {
        self.finish_until_recorded(self.finish_request(ticket, end)).await;
    }
}

impl<S: PlatformStore, T: LedgerTransport> NodeLedger<S, T> {
    /// Frees the key of a claim that was not granted and may be durable all the same.
    fn give_up(&self, ticket: ClaimTicket) {
        let ledger = self.clone();
        let request = self.finish_request(ticket, ClaimEnd::DidNotRun);
        tokio::spawn(async move { ledger.finish_until_recorded(request).await });
    }
}

/// Reads the layout, or writes it if this is the first node of the deployment.
async fn read_layout<S: PlatformStore>(
    store: &S,
    settings: &LedgerSettings,
) -> Result<LedgerLayout, StoreError> {
    let own = LedgerLayout { partitions: settings.partitions, ring_slots: settings.ring_slots };
    let spec = serde_json::to_value(own);
    let draft = ObjectDraft {
        kind: LAYOUT_KIND.to_owned(),
        name: LAYOUT_NAME.to_owned(),
        spec: spec.map_err(|error| StoreError::Protocol(error.to_string()))?,
        ..ObjectDraft::default()
    };
    let object = match store.get(LAYOUT_KIND, LAYOUT_NAME).await {
        Err(StoreError::NotFound) => match store.put(draft, Precondition::Absent).await {
            Err(StoreError::Conflict(Some(object))) => *object,
            other => other?,
        },
        other => other?,
    };
    serde_json::from_value(object.spec).map_err(|error| StoreError::Protocol(error.to_string()))
}

async fn finish_here(handle: &PartitionHandle, close: ClaimClose) -> EndReceipt {
    let (tx, rx) = oneshot::channel();
    let command = PartitionCommand::Finish { close, is_rechecked: false, reply: tx };
    if handle.commands.try_send(command).is_err() {
        return EndReceipt::NotSettled;
    }
    rx.await.unwrap_or(EndReceipt::NotSettled)
}

fn reply(verdict: ClaimVerdict) -> ClaimReply {
    ClaimReply { verdict: verdict.into(), outcome: None }
}

/// The claim that a request stands for; `None` if it is malformed.
fn claim_of(request: &ClaimRequest) -> Option<KeyClaim> {
    let key = LedgerKey::parse(&TenantId::new(&request.tenant), &request.key)?;
    Some(KeyClaim {
        key,
        digest: request.request_digest.get(..16)?.try_into().ok()?,
        claim_id: request.claim_id.as_ref().try_into().ok()?,
        entry: EntryIdentity {
            vm: VmId::new(&request.entry_vm),
            incarnation: request.entry_incarnation,
        },
        generation: GenerationNumber(request.generation),
    })
}

/// The end that a request tells, without the key.
fn close_of(request: &FinishRequest) -> Option<ClaimClose> {
    let state = match &request.outcome {
        Some(outcome) => KeyState::Ran(Arc::new(outcome.clone().into())),
        None if request.did_not_run => KeyState::Released,
        None => KeyState::Unknown,
    };
    let claim_id = request.claim_id.as_ref().try_into().ok()?;
    Some(ClaimClose { id: KeyId([0; 16]), claim_id, state })
}
