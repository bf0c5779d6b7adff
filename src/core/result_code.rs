//! The one numbered table of results. `docs/RESULT-CODES.md` is checked against it.

use std::fmt;

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $summary:literal;)+) => {
        /// Numbered result: HF-1xxx visible to callers, HF-2xxx configuration, HF-3xxx platform,
        /// HF-4xxx peers, HF-5xxx settings and commands.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// Every code in order of its number.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)+];

            /// The number.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// One sentence that says what happened.
            pub fn summary(self) -> &'static str {
                match self { $(Self::$name => $summary,)+ }
            }
        }
    };
}

result_codes! {
    /// No route selects the request.
    NoRoute = 1001, "No route selects the request.";
    /// The route selects no upstream that can take work.
    NoUpstream = 1002, "No upstream can take the request.";
    /// The request was refused before any upstream ran it.
    NotRun = 1003, "Every attempt was refused before it ran.";
    /// It is not known whether the request ran.
    OutcomeUnknown = 1004, "It is not known whether the request ran.";
    /// The deadline passed.
    DeadlineExceeded = 1005, "The deadline passed before an answer was whole.";
    /// The request body is larger than allowed.
    RequestTooLarge = 1006, "The request body is larger than the limit.";
    /// The request uses something that heatherfall does not pass on.
    Unsupported = 1007, "The request uses a feature that is not passed on.";
    /// The request is malformed.
    MalformedRequest = 1008, "The request is malformed.";
    /// The node has no configuration yet.
    NotReady = 1009, "The node has no configuration yet.";
    /// The request was shed under overload.
    Overloaded = 1010, "The request was shed under overload.";
    /// The upstream's answer could not be verified as whole.
    AnswerNotWhole = 1011, "The upstream's answer was not whole.";
    /// Another request with the same key has no outcome yet; the first may run.
    KeyInProgress = 1020, "A request with this idempotency key is in progress.";
    /// The key was used with another request.
    KeyMismatch = 1021, "The idempotency key was used with another request.";
    /// The key is older than the retention time; whether it ran is no longer known.
    KeyExpired = 1022, "The idempotency key is older than the ledger's memory.";
    /// The key carries no creation time, or one in the future.
    KeyMalformed = 1023, "The idempotency key is not a UUIDv7 or <unix milliseconds>-<text>.";
    /// The claim could not be made durable; the request was not dispatched.
    LedgerUnavailable = 1024, "The at-most-once ledger cannot take a claim now.";
    /// The ledger holds as many keys as it may.
    LedgerFull = 1025, "The at-most-once ledger is full.";
    /// The request ran and its answer was not kept.
    AlreadyRan = 1026, "The request ran earlier and its answer was not kept.";
    /// An object's spec does not fit its kind.
    SpecMalformed = 2001, "The object's spec does not fit its kind.";
    /// Two objects contradict each other.
    SpecContradictory = 2002, "The object contradicts another object.";
    /// The object is not of a configuration kind.
    KindUnknown = 2003, "The kind is not known.";
    /// The object changed since it was read.
    WriteConflict = 2004, "The object changed since it was read.";
    /// The configuration is larger than the platform can hold.
    GenerationTooLarge = 2005, "The configuration is larger than one value of the platform.";
    /// A generation uses a format that a node does not read.
    GenerationUnreadable = 2006, "A generation cannot be read by this node or by a live one.";
    /// There is no such object.
    ObjectMissing = 2007, "There is no such object.";
    /// The platform does not answer.
    PlatformUnavailable = 3001, "The platform does not answer.";
    /// A write's answer was lost and its effect is not known.
    WriteUnknown = 3002, "A write's answer was lost and its effect is not known.";
    /// A platform's answer is older than one seen before.
    PlatformStale = 3003, "The platform's answer is older than one seen before.";
    /// A peer could not be authenticated.
    PeerUnauthenticated = 4001, "The peer could not be authenticated.";
    /// A peer does not answer.
    PeerUnavailable = 4002, "The peer does not answer.";
    /// The settings file cannot be read.
    SettingsUnreadable = 5001, "The settings file cannot be read.";
    /// The settings file does not fit the settings.
    SettingsMalformed = 5002, "The settings file does not fit the settings.";
    /// Settings contradict each other or are out of range.
    SettingsContradictory = 5003, "A setting is out of range or contradicts another.";
    /// A listener could not be opened.
    ListenFailed = 5004, "A listen address could not be opened.";
    /// The work of a service of the node has ended by itself.
    ServiceFailed = 5005, "A service of the node has ended by itself.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HF-{}", self.number())
    }
}
