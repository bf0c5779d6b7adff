//! Applies configuration generations on a node.
//!
//! Every generation, from the platform or from a peer, goes through [`GenerationApplier::offer`],
//! which accepts only a higher number and compiles the content before it replaces the snapshot.
//! For a transition time after a change the rules of the replaced generation are kept beside the
//! new ones: while some nodes apply the old generation and others the new one, a request is
//! at-most-once if either says so.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::config::compile::compile;
use crate::config::generation::{GenerationContent, MAX_FORMAT, MIN_FORMAT};
use crate::core::{
    ConfigSnapshot, GenerationNumber, ObjectKind, ReplacedRules, ResultCode, SharedSnapshot,
};

/// Time for which the rules of a replaced generation apply beside the new ones: the time within
/// which a change is active on every node.
const TRANSITION_TIME: Duration = Duration::from_secs(5);

/// A generation that this node applies.
#[derive(Debug)]
pub struct AppliedGeneration {
    /// The decoded content.
    pub content: GenerationContent,
    /// The content as received, which is forwarded to peers.
    pub bytes: Bytes,
    /// When this node applied it.
    pub applied_at: Instant,
}

/// Result of offering a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The generation is now active on this node.
    Applied,
    /// The node already applies this generation or a newer one.
    NotNewer,
    /// The generation cannot be decoded or compiled, and the node keeps its current one.
    Rejected {
        /// Result code.
        code: ResultCode,
        /// Description of the error.
        message: String,
    },
}

/// The part of the content that every format shares.
#[derive(Debug, Deserialize)]
struct NumberOnly {
    number: GenerationNumber,
}

#[derive(Debug, Default)]
struct ApplierState {
    current: Option<Arc<AppliedGeneration>>,
    transitions: Vec<TransitionRules>,
}

#[derive(Debug)]
struct TransitionRules {
    rules: Arc<ReplacedRules>,
    expires_at: Instant,
}

/// Applies the newest generation that this node knows and publishes its snapshot.
#[derive(Debug)]
pub struct GenerationApplier {
    snapshot: SharedSnapshot,
    state: Mutex<ApplierState>,
    number: watch::Sender<GenerationNumber>,
    /// Highest number of a rejected generation.
    highest_rejected: AtomicU64,
}

impl GenerationApplier {
    /// Creates an applier without a generation that publishes to `snapshot`.
    pub fn new(snapshot: SharedSnapshot) -> Self {
        let number = watch::Sender::new(GenerationNumber::default());
        Self { snapshot, state: Mutex::default(), number, highest_rejected: AtomicU64::new(0) }
    }

    /// Number of the active generation; 0 before the first.
    pub fn number(&self) -> GenerationNumber {
        *self.number.borrow()
    }

    /// Highest number of a generation that this node rejected; 0 if there was none. Requests to
    /// peers name it, so that they do not send it again.
    pub fn highest_rejected(&self) -> GenerationNumber {
        GenerationNumber(self.highest_rejected.load(Ordering::Relaxed))
    }

    /// Subscribes to the number of the active generation.
    pub fn subscribe(&self) -> watch::Receiver<GenerationNumber> {
        self.number.subscribe()
    }

    /// Snapshot of the active generation; `None` before the first.
    pub fn snapshot(&self) -> Option<Arc<ConfigSnapshot>> {
        self.snapshot.load_full()
    }

    /// The active generation; `None` before the first.
    pub fn current(&self) -> Option<Arc<AppliedGeneration>> {
        self.lock().current.clone()
    }

    /// Applies an encoded generation if its number is higher than that of the active one.
    pub fn offer(&self, bytes: &Bytes) -> OfferOutcome {
        let outcome = self.decode_and_apply(bytes);
        if matches!(outcome, OfferOutcome::Rejected { .. }) {
            let number = serde_json::from_slice(bytes).map(|fields: NumberOnly| fields.number);
            self.highest_rejected.fetch_max(number.unwrap_or_default().0, Ordering::Relaxed);
        }
        outcome
    }

    fn decode_and_apply(&self, bytes: &Bytes) -> OfferOutcome {
        let content: GenerationContent = match serde_json::from_slice(bytes) {
            Ok(content) => content,
            Err(error) => return rejected(ResultCode::GenerationUnreadable, &error.to_string()),
        };
        if content.number <= self.number() {
            return OfferOutcome::NotNewer;
        }
        if !(MIN_FORMAT..=MAX_FORMAT).contains(&content.format) {
            let message = format!(
                "generation format {} is not supported (supported: {MIN_FORMAT} to {MAX_FORMAT})",
                content.format,
            );
            return rejected(ResultCode::GenerationUnreadable, &message);
        }
        let outcome = self.apply(content, bytes.clone());
        if outcome == OfferOutcome::Applied {
            log::info!(target: "config", "generation active number={}", self.number());
        }
        outcome
    }

    /// Drops the rules of replaced generations whose transition time has passed.
    pub fn expire_replaced_rules(&self) {
        let mut state = self.lock();
        let count_before = state.transitions.len();
        let now = Instant::now();
        state.transitions.retain(|transition| transition.expires_at > now);
        if state.transitions.len() == count_before {
            return;
        }
        let Some(current) = self.snapshot.load_full() else { return };
        let mut snapshot = ConfigSnapshot::clone(&current);
        snapshot.replaced_rules = replaced_rules(&state.transitions);
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    fn apply(&self, content: GenerationContent, bytes: Bytes) -> OfferOutcome {
        let mut state = self.lock();
        let number = content.number;
        let current = state.current.as_ref().map(|current| current.content.number);
        if current.is_some_and(|current| current >= number) {
            return OfferOutcome::NotNewer;
        }
        for object in &content.objects {
            if ObjectKind::from_name(&object.kind).is_none() {
                let message = format!("object kind {} is not supported", object.kind);
                return rejected(ResultCode::GenerationUnreadable, &message);
            }
        }
        let previous = self.snapshot.load_full();
        let outcome = compile(&content.to_object_set(), number, previous.as_deref());
        if let Some(fault) = outcome.errors.first() {
            let message = format!("{} {}: {}", fault.kind.as_str(), fault.name, fault.message);
            return rejected(ResultCode::GenerationUnreadable, &message);
        }
        let now = Instant::now();
        state.transitions.retain(|transition| transition.expires_at > now);
        if let Some(previous) = &previous {
            let rules = ReplacedRules {
                request_rules: previous.request_rules.clone(),
                idempotence_rules: previous.idempotence_rules.clone(),
            };
            state.transitions.push(TransitionRules {
                rules: Arc::new(rules),
                expires_at: now + TRANSITION_TIME,
            });
        }
        let mut snapshot = outcome.snapshot;
        snapshot.replaced_rules = replaced_rules(&state.transitions);
        self.snapshot.store(Some(Arc::new(snapshot)));
        state.current = Some(Arc::new(AppliedGeneration { content, bytes, applied_at: now }));
        self.number.send_replace(number);
        OfferOutcome::Applied
    }

    fn lock(&self) -> MutexGuard<'_, ApplierState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn replaced_rules(transitions: &[TransitionRules]) -> Vec<Arc<ReplacedRules>> {
    let mut rules = Vec::with_capacity(transitions.len());
    for transition in transitions {
        rules.push(Arc::clone(&transition.rules));
    }
    rules
}

fn rejected(code: ResultCode, message: &str) -> OfferOutcome {
    OfferOutcome::Rejected { code, message: message.to_owned() }
}
