//! One request from admission to answer, without sockets.
//!
//! ```text
//! head -> classify -> RequestClass -> exchange: pick -> attempt -> outcome -> answer
//!                                          ^                        |
//!                                          +---- proof of not run --+
//! ```

mod answer;
mod attempt;
mod classify;
mod exchange;
mod plane;

pub use self::answer::{AnswerBody, CallerAnswer, refusal};
pub use self::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionChoice, NotRunProof, UnknownCause, UpstreamAnswer,
    UpstreamClient,
};
pub use self::classify::{RequestClass, RequestHead, classify};
pub use self::exchange::{ExchangeEnd, ExchangeSettings, RequestExchange};
pub use self::plane::{PlaneAnswer, RequestAdmission, RequestPlane};
