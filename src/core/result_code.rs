//! The table of numbered results. A test checks `docs/RESULT-CODES.md` against it.

use std::fmt;

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $summary:literal;)+) => {
        /// Numbered result, displayed as `HF-` and its number: 1xxx are visible to callers, 2xxx
        /// concern the configuration, 3xxx the platform, 4xxx peers, 5xxx settings and commands.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// All codes in order of their numbers.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)+];

            /// Number of the code, without its prefix.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Reads the displayed form of a code; `None` if there is no such code.
            pub fn parse(text: &str) -> Option<Self> {
                let number = text.strip_prefix("HF-")?.parse::<u16>().ok()?;
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }

            /// One sentence that describes the result.
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
    /// The deadline passed before a response was complete.
    DeadlineExceeded = 1005, "The deadline passed before an answer was whole.";
    /// The request body is larger than allowed.
    RequestTooLarge = 1006, "The request body is larger than the limit.";
    /// The request uses an HTTP feature that heatherfall does not forward.
    Unsupported = 1007, "The request uses a feature that is not passed on.";
    /// The request is malformed.
    MalformedRequest = 1008, "The request is malformed.";
    /// The node has no configuration yet.
    NotReady = 1009, "The node has no configuration yet.";
    /// The request was shed under overload.
    Overloaded = 1010, "The request was shed under overload.";
    /// The upstream's response is incomplete, or could not be verified to be complete.
    AnswerNotWhole = 1011, "The upstream's answer was not whole.";
    /// Upstreams have ended while they ran the same request, so it is refused for some time.
    CrashesUpstreams = 1012, "Upstreams ended while they ran this request.";
    /// This entry is leaving, and may end before the request does; it did not run.
    Leaving = 1013, "The entry is leaving and may end before the request does.";
    /// No route selects the request, or its key is not valid, by a configuration that may have been
    /// replaced; it did not run.
    ConfigUnconfirmed = 1014, "The request is refused by a configuration that may be old.";
    /// An earlier request with the same key has no outcome yet and may be running.
    KeyInProgress = 1020, "A request with this idempotency key is in progress.";
    /// The key was used with another request.
    KeyMismatch = 1021, "The idempotency key was used with another request.";
    /// The key is older than the retention time; whether it ran is no longer known.
    KeyExpired = 1022, "The idempotency key is older than the ledger's memory.";
    /// The key carries no creation time, or one in the future.
    KeyMalformed = 1023, "The idempotency key is not a UUIDv7 or <unix milliseconds>-<text>.";
    /// The claim could not be made durable; the request was not dispatched.
    LedgerUnavailable = 1024, "The at-most-once ledger cannot take a claim now.";
    /// The ledger holds the maximum number of keys.
    LedgerFull = 1025, "The at-most-once ledger is full.";
    /// The request ran earlier, and its response is not in the ledger.
    AlreadyRan = 1026, "The request ran earlier and its answer was not kept.";
    /// The API key of the request is missing, repeated or unknown.
    Unauthenticated = 1030, "The API key is missing, repeated or unknown.";
    /// The tenant has used up its quota; the request did not run.
    QuotaExceeded = 1031, "The tenant's quota is used up.";
    /// An object's spec does not fit its kind.
    SpecMalformed = 2001, "The object's spec does not fit its kind.";
    /// Two objects contradict each other.
    SpecContradictory = 2002, "The object contradicts another object.";
    /// The object is not of a configuration kind.
    KindUnknown = 2003, "The kind is not known.";
    /// The object changed since it was read.
    WriteConflict = 2004, "The object changed since it was read.";
    /// The configuration exceeds the size limit of one value in the platform's store.
    GenerationTooLarge = 2005, "The configuration is larger than one value of the platform.";
    /// A generation uses a format that a node does not read.
    GenerationUnreadable = 2006, "A generation cannot be read by this node or by a live one.";
    /// There is no such object.
    ObjectMissing = 2007, "There is no such object.";
    /// The platform does not respond.
    PlatformUnavailable = 3001, "The platform does not answer.";
    /// The response to a write was lost, so that its effect is not known.
    WriteUnknown = 3002, "A write's answer was lost and its effect is not known.";
    /// A response of the platform is older than one seen before.
    PlatformStale = 3003, "The platform's answer is older than one seen before.";
    /// A peer could not be authenticated.
    PeerUnauthenticated = 4001, "The peer could not be authenticated.";
    /// A peer does not respond.
    PeerUnavailable = 4002, "The peer does not answer.";
    /// The settings file cannot be read.
    SettingsUnreadable = 5001, "The settings file cannot be read.";
    /// The settings file does not fit the settings.
    SettingsMalformed = 5002, "The settings file does not fit the settings.";
    /// Settings contradict each other or are out of range.
    SettingsContradictory = 5003, "A setting is out of range or contradicts another.";
    /// A listener could not be opened.
    ListenFailed = 5004, "A listen address could not be opened.";
    /// The task of a service of the node ended without having been stopped.
    ServiceFailed = 5005, "A service of the node has ended by itself.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HF-{}", self.number())
    }
}
