//! Compiles objects into generations, and generations into snapshots for the request path.
//!
//! ```text
//! objects -> GenerationPublisher -> ConfigGeneration/current -> GenerationApplier -> snapshot
//!                                            |                          ^
//!                                            +---- relays and peers ----+
//! ```

mod compile;
mod compiler;
mod generation;
mod generation_applier;
mod object_set;
mod object_source;
mod publish;
mod status;
mod upstream_selection;

pub use self::compile::{
    CompileOutcome, DeclaredUpstream, SpecError, check_object, compile, with_upstreams,
};
pub use self::compiler::ConfigCompiler;
pub use self::generation::{
    GENERATION_KIND, GENERATION_NAME, GenerationContent, GenerationObject, MAX_FORMAT, MIN_FORMAT,
    RejectedObject,
};
pub use self::generation_applier::{AppliedGeneration, GenerationApplier, OfferOutcome};
pub use self::object_set::ObjectSet;
pub use self::object_source::ObjectSource;
pub(crate) use self::object_source::with_timeout;
pub use self::publish::{GenerationPublisher, PublishError, PublishOutcome, next_generation};
pub use self::status::{ConfirmationExpiry, NodeGeneration, ObjectStatus, RolloutPhase, status_of};
