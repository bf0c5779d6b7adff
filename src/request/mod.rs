//! One request from admission to answer, without sockets.
//!
//! ```text
//! head -> classify -> RequestClass -> exchange: pick -> check -> attempt -> outcome -> answer
//!                                          ^                                 |
//!                                          +--------- ExchangeState ---------+
//! ```
//!
//! [`ExchangeState`] decides, without I/O; [`RequestExchange`] carries out what it decides.

mod answer;
mod attempt;
mod attempt_watch;
mod choice;
mod classify;
mod exchange;
mod exchange_settings;
mod exchange_state;
mod keyed;
mod load_check;
mod plane;
mod relay;
mod request_shape;
mod trace;

pub use self::answer::{
    AnswerBody, AnswerError, AnswerStream, CallerAnswer, RetryAfterForm, is_not_run, refusal,
    refusal_after, refusal_without_claim,
};
pub use self::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionChoice, NotRunProof, UnknownCause, UpstreamAnswer,
    UpstreamClient,
};
pub(crate) use self::classify::is_match;
pub use self::classify::{RequestClass, RequestHead, classify};
pub use self::exchange::{
    ExchangeEnd, ExchangeFailure, ExchangeTools, RepeatShare, RequestExchange,
};
pub use self::exchange_settings::{ExchangeSettings, HedgeRule};
pub use self::exchange_state::{
    AttemptEnd, AttemptIndex, AttemptRole, ConfigStanding, ExchangeAction, ExchangeEvent,
    ExchangePlan, ExchangeState, StartRefusal, StepContext,
};
pub use self::load_check::{CheckSettings, LoadAnswer, LoadCheck, ask_load};
pub use self::plane::{AnswerGuard, PlaneAnswer, RequestAdmission, RequestPlane};
pub use self::relay::RelayedBody;
pub use self::request_shape::{check_host, check_shape};
pub use self::trace::ExchangeTrace;
