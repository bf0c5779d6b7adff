//! The generation that a node applies.
//!
//! Every generation, from the platform or from a peer, goes through
//! [`GenerationHolder::offer`], which takes a higher number only and compiles the content before
//! it replaces the snapshot. For a transition time after a change the rules of the replaced
//! generation stay beside the new ones: while some nodes apply the old generation and others the
//! new one, a request is at-most-once if either says so.

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

/// Time for which the rules of a replaced generation stay in force beside the new ones: the time
/// within which a change is in force everywhere.
const TRANSITION_TIME: Duration = Duration::from_secs(5);

/// A generation as it was received.
#[derive(Debug)]
pub struct AppliedGeneration {
    /// The content.
    pub content: GenerationContent,
    /// Its encoded form, which is passed on to peers.
    pub bytes: Bytes,
    /// When this node first applied it.
    pub applied_at: Instant,
}

/// What became of an offered generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is in force on this node.
    Applied,
    /// The node has this one or a newer one.
    NotNewer,
    /// It cannot be used.
    Rejected {
        /// Result code.
        code: ResultCode,
        /// What is wrong.
        message: String,
    },
}

/// The part of a content that every format has.
#[derive(Debug, Deserialize)]
struct NamedNumber {
    number: GenerationNumber,
}

#[derive(Debug, Default)]
struct HolderState {
    held: Option<Arc<AppliedGeneration>>,
    replaced: Vec<TransitionRules>,
}

#[derive(Debug)]
struct TransitionRules {
    rules: Arc<ReplacedRules>,
    until: Instant,
}

/// Holds the newest generation that this node knows and publishes its snapshot.
#[derive(Debug)]
pub struct GenerationApplier {
    snapshot: SharedSnapshot,
    state: Mutex<HolderState>,
    number: watch::Sender<GenerationNumber>,
    /// Highest number that was refused.
    refused: AtomicU64,
}

impl GenerationApplier {
    /// Creates a holder without a generation that publishes to `snapshot`.
    pub fn new(snapshot: SharedSnapshot) -> Self {
        let number = watch::Sender::new(GenerationNumber::default());
        Self { snapshot, state: Mutex::default(), number, refused: AtomicU64::new(0) }
    }

    /// Number of the generation in force; 0 before the first.
    pub fn number(&self) -> GenerationNumber {
        *self.number.borrow()
    }

    /// Highest number of a generation that this node could not use; 0 if there was none. Peers
    /// need not send it again.
    pub fn highest_rejected(&self) -> GenerationNumber {
        GenerationNumber(self.refused.load(Ordering::Relaxed))
    }

    /// Tells when the number changes.
    pub fn subscribe(&self) -> watch::Receiver<GenerationNumber> {
        self.number.subscribe()
    }

    /// The snapshot in force.
    pub fn snapshot(&self) -> Option<Arc<ConfigSnapshot>> {
        self.snapshot.load_full()
    }

    /// The generation in force.
    pub fn current(&self) -> Option<Arc<AppliedGeneration>> {
        self.lock().held.clone()
    }

    /// Applies an encoded generation if it is newer than the one in force.
    pub fn offer(&self, bytes: &Bytes) -> OfferOutcome {
        let outcome = self.take(bytes);
        if matches!(outcome, OfferOutcome::Rejected { .. }) {
            let number = serde_json::from_slice(bytes).map(|named: NamedNumber| named.number);
            self.refused.fetch_max(number.unwrap_or_default().0, Ordering::Relaxed);
        }
        outcome
    }

    fn take(&self, bytes: &Bytes) -> OfferOutcome {
        let content: GenerationContent = match serde_json::from_slice(bytes) {
            Ok(content) => content,
            Err(error) => return rejected(ResultCode::GenerationUnreadable, &error.to_string()),
        };
        if content.number <= self.number() {
            return OfferOutcome::NotNewer;
        }
        if !(MIN_FORMAT..=MAX_FORMAT).contains(&content.format) {
            let message = format!("format {} is not read", content.format);
            return rejected(ResultCode::GenerationUnreadable, &message);
        }
        let outcome = self.apply(content, bytes.clone());
        if outcome == OfferOutcome::Applied {
            log::info!(target: "config", "generation in force number={}", self.number());
        }
        outcome
    }

    /// Drops the rules of replaced generations whose transition time is over.
    pub fn expire_replaced_rules(&self) {
        let mut state = self.lock();
        let before = state.replaced.len();
        let now = Instant::now();
        state.replaced.retain(|one| one.until > now);
        if state.replaced.len() == before {
            return;
        }
        let Some(current) = self.snapshot.load_full() else { return };
        let mut snapshot = ConfigSnapshot::clone(&current);
        snapshot.replaced_rules = rules_of(&state.replaced);
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    fn apply(&self, content: GenerationContent, bytes: Bytes) -> OfferOutcome {
        let mut state = self.lock();
        let number = content.number;
        let held = state.held.as_ref().map(|held| held.content.number);
        if held.is_some_and(|held| held >= number) {
            return OfferOutcome::NotNewer;
        }
        for object in &content.objects {
            if ObjectKind::from_name(&object.kind).is_none() {
                let message = format!("kind {} is not known", object.kind);
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
        state.replaced.retain(|one| one.until > now);
        if let Some(previous) = &previous {
            let rules = ReplacedRules {
                request_rules: previous.request_rules.clone(),
                idempotence_rules: previous.idempotence_rules.clone(),
            };
            state
                .replaced
                .push(TransitionRules { rules: Arc::new(rules), until: now + TRANSITION_TIME });
        }
        let mut snapshot = outcome.snapshot;
        snapshot.replaced_rules = rules_of(&state.replaced);
        self.snapshot.store(Some(Arc::new(snapshot)));
        state.held = Some(Arc::new(AppliedGeneration { content, bytes, applied_at: now }));
        self.number.send_replace(number);
        OfferOutcome::Applied
    }

    fn lock(&self) -> MutexGuard<'_, HolderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rules_of(replaced: &[TransitionRules]) -> Vec<Arc<ReplacedRules>> {
    let mut rules = Vec::with_capacity(replaced.len());
    for one in replaced {
        rules.push(Arc::clone(&one.rules));
    }
    rules
}

fn rejected(code: ResultCode, message: &str) -> OfferOutcome {
    OfferOutcome::Rejected { code, message: message.to_owned() }
}
