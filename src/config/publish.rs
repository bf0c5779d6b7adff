//! Makes the next generation from the objects and publishes it.
//!
//! The holder of the compiler's lease tries, but only the conditional write of
//! `ConfigGeneration/current` decides: it fails if anybody has published since this round read the
//! object. A round whose objects are older than those of the previous generation publishes
//! nothing.

use std::sync::Arc;

use bytes::Bytes;
use heatherfall_platform_api::{
    MAX_VALUE_BYTES, ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, Revision, StoreError,
};

use crate::config::compile::check_object;
use crate::config::generation::{
    GENERATION_KIND, GENERATION_NAME, GenerationContent, GenerationObject, MAX_FORMAT,
    RejectedObject,
};
use crate::config::generation_applier::{GenerationApplier, OfferOutcome};
use crate::config::object_set::ObjectSet;
use crate::core::{CONFIG_KINDS, GenerationNumber, ResultCode};

/// Maximum number of reads to find out whether a write whose response was lost took effect.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Result of a round that did not fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// A new generation was published.
    Published(GenerationNumber),
    /// The newest generation already matches the objects.
    Unchanged(GenerationNumber),
}

/// Reason for which a round published nothing.
///
/// The texts of [`TooLarge`](Self::TooLarge) and [`UnsupportedFormat`](Self::UnsupportedFormat) are
/// stored in the statuses of objects.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PublishError {
    /// The objects are older than those of the newest generation.
    #[error(
        "objects at revision {found} are older than revision {wanted} of generation {generation}"
    )]
    Stale {
        /// Number of the newest generation.
        generation: GenerationNumber,
        /// Platform revision or spec version from which it was made.
        wanted: Revision,
        /// Platform revision or spec version that this round read.
        found: Revision,
    },
    /// Another compiler has published since this round read the newest generation.
    #[error("another compiler published first")]
    Conflict,
    /// The content exceeds the platform's size limit.
    #[error("content of {0} bytes is over the platform's limit")]
    TooLarge(usize),
    /// A live node does not read the format of the generation.
    #[error("a live node reads formats up to {max_common_format} only")]
    UnsupportedFormat {
        /// Newest format that every live node reads.
        max_common_format: u32,
    },
    /// This node cannot read the newest generation and so must not replace it.
    #[error("newest generation cannot be read: {0}")]
    Unreadable(String),
    /// A platform call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl PublishError {
    /// Result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Stale { .. } => ResultCode::PlatformStale,
            Self::Conflict => ResultCode::WriteConflict,
            Self::TooLarge(_) => ResultCode::GenerationTooLarge,
            Self::UnsupportedFormat { .. } | Self::Unreadable(_) => {
                ResultCode::GenerationUnreadable
            }
            Self::Store(_) => ResultCode::PlatformUnavailable,
        }
    }
}

/// Publishes generations; there is one per node.
#[derive(Debug)]
pub struct GenerationPublisher<S> {
    store: Arc<S>,
    generation_applier: Arc<GenerationApplier>,
}

/// The generation that a round starts from, and the precondition of its write.
struct BaseGeneration {
    content: GenerationContent,
    precondition: Precondition,
    is_published: bool,
}

impl<S: PlatformStore> GenerationPublisher<S> {
    /// Creates a publisher that applies what it reads and writes to `generation_applier`.
    pub fn new(store: Arc<S>, generation_applier: Arc<GenerationApplier>) -> Self {
        Self { store, generation_applier }
    }

    /// Publishes the next generation if `objects` differ from the newest one. `max_common_format`
    /// is the newest format that every live node reads.
    ///
    /// # Errors
    ///
    /// Returns the reason for which nothing was published.
    pub async fn publish(
        &self,
        objects: &ObjectSet,
        max_common_format: u32,
    ) -> Result<PublishOutcome, PublishError> {
        let base = self.read_base().await?;
        check_not_stale(&base.content, objects)?;
        let next = next_generation(&base.content, objects);
        if base.content.number == GenerationNumber(0) && next.objects.is_empty() {
            return Ok(PublishOutcome::Unchanged(base.content.number));
        }
        if base.is_published
            && next.objects == base.content.objects
            && next.rejected == base.content.rejected
        {
            return Ok(PublishOutcome::Unchanged(base.content.number));
        }
        if next.format > max_common_format {
            return Err(PublishError::UnsupportedFormat { max_common_format });
        }
        let number = next.number;
        self.write(next, base.precondition).await?;
        log::info!(target: "config", "generation published number={number}");
        Ok(PublishOutcome::Published(number))
    }

    /// Reads the newest generation. A node that knows a newer one than the platform returns starts
    /// from its own, so that numbers never go back when the object is lost or restored from a
    /// backup.
    async fn read_base(&self) -> Result<BaseGeneration, PublishError> {
        let (published, precondition) = match self.store.get(GENERATION_KIND, GENERATION_NAME).await
        {
            Ok(object) => {
                let precondition = Precondition::SpecVersion(object.spec_version);
                (Some(self.apply_published(&object)?), precondition)
            }
            Err(StoreError::NotFound) => (None, Precondition::Absent),
            Err(error) => return Err(error.into()),
        };
        let current = self.generation_applier.current().map(|current| current.content.clone());
        let published_number = published.as_ref().map(|content| content.number);
        match current {
            Some(current) if published_number.is_none_or(|number| number < current.number) => {
                Ok(BaseGeneration { content: current, precondition, is_published: false })
            }
            _ => {
                let is_published = published.is_some();
                let content = published.unwrap_or_default();
                Ok(BaseGeneration { content, precondition, is_published })
            }
        }
    }

    fn apply_published(&self, object: &ObjectEnvelope) -> Result<GenerationContent, PublishError> {
        let bytes = Bytes::from(object.spec.to_string());
        if let OfferOutcome::Rejected { message, .. } = self.generation_applier.offer(&bytes) {
            return Err(PublishError::Unreadable(message));
        }
        serde_json::from_slice(&bytes).map_err(|error| PublishError::Unreadable(error.to_string()))
    }

    async fn write(
        &self,
        next: GenerationContent,
        precondition: Precondition,
    ) -> Result<(), PublishError> {
        let spec =
            serde_json::to_value(&next).map_err(|error| StoreError::Protocol(error.to_string()))?;
        let bytes = Bytes::from(spec.to_string());
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(PublishError::TooLarge(bytes.len()));
        }
        let change_id = uuid::Uuid::now_v7().to_string();
        let draft = ObjectDraft {
            kind: GENERATION_KIND.to_owned(),
            name: GENERATION_NAME.to_owned(),
            spec,
            change_id: change_id.clone(),
            ..ObjectDraft::default()
        };
        match self.store.put(draft, precondition).await {
            Ok(_) => {}
            Err(StoreError::Conflict(_)) => return Err(PublishError::Conflict),
            Err(StoreError::TooLarge(bytes)) => return Err(PublishError::TooLarge(bytes)),
            Err(error) if error.is_effect_unknown() => {
                self.confirm_write(&change_id, error).await?
            }
            Err(error) => return Err(error.into()),
        }
        self.generation_applier.offer(&bytes);
        Ok(())
    }

    /// Finds out whether a write whose response was lost took effect.
    async fn confirm_write(
        &self,
        change_id: &str,
        write_error: StoreError,
    ) -> Result<(), PublishError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.store.get(GENERATION_KIND, GENERATION_NAME).await {
                Ok(object) if object.change_id == change_id => return Ok(()),
                // A stale read may return the object from before the write, so this proves nothing.
                Ok(_) | Err(_) => continue,
            }
        }
        Err(write_error.into())
    }
}

/// Fails if the objects are older than those of the newest generation.
fn check_not_stale(base: &GenerationContent, objects: &ObjectSet) -> Result<(), PublishError> {
    let generation = base.number;
    if objects.revision() < base.source_revision {
        let (wanted, found) = (base.source_revision, objects.revision());
        return Err(PublishError::Stale { generation, wanted, found });
    }
    for kind in CONFIG_KINDS {
        for object in objects.objects_of_kind(kind.as_str()) {
            let wanted = base.processed_version(&object.kind, &object.name);
            let found = object.spec_version;
            if found < wanted {
                return Err(PublishError::Stale { generation, wanted, found });
            }
        }
    }
    Ok(())
}

/// Returns the generation that follows `base` with `objects`. An object with an invalid spec is
/// rejected, and its version in `base` stays active.
pub fn next_generation(base: &GenerationContent, objects: &ObjectSet) -> GenerationContent {
    let number = GenerationNumber(base.number.0 + 1);
    let mut next = GenerationContent {
        number,
        format: MAX_FORMAT,
        source_revision: objects.revision(),
        ..GenerationContent::default()
    };
    for kind in CONFIG_KINDS {
        for object in objects.objects_of_kind(kind.as_str()) {
            let known = base.find(&object.kind, &object.name);
            if let Some(known) = known
                && known.version == object.spec_version
            {
                next.objects.push(known.clone());
                continue;
            }
            match check_object(kind, &object.name, &object.spec) {
                Ok(()) => next.objects.push(GenerationObject {
                    kind: object.kind.clone(),
                    name: object.name.clone(),
                    labels: object.labels.clone(),
                    spec: object.spec.clone(),
                    version: object.spec_version,
                    since: number,
                }),
                Err(fault) => {
                    next.objects.extend(known.cloned());
                    next.rejected.push(RejectedObject {
                        kind: object.kind.clone(),
                        name: object.name.clone(),
                        version: object.spec_version,
                        code: fault.code.to_string(),
                        message: fault.message,
                    });
                }
            }
        }
    }
    next
}
