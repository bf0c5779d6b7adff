//! Decides which requests of a connection start ahead of their turn, and pairs them with the server's
//! calls.

use std::collections::VecDeque;

use http::request::Parts;

use crate::serve::pipeline::head_scanner::ScannedHead;

/// Limits of the queue of one connection.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Most requests that run ahead of the one being answered.
    pub max_ahead: usize,
    /// The queue is full once its heads have this many bytes.
    pub max_head_bytes: usize,
}

/// Starts requests ahead of their turn.
pub trait RequestStarter {
    /// A started request; cancelled when dropped.
    type Early;

    /// Whether requests may be started now: false while the entry is leaving.
    fn may_start(&self) -> bool;

    /// Whether the request may run more than once, and so at the same time as later ones.
    fn is_idempotent(&self, parts: &Parts) -> bool;

    /// Starts a request without a body; none if it may not run ahead of its turn.
    fn start(&self, parts: &Parts) -> Option<Self::Early>;
}

#[derive(Debug)]
enum HeadState<E> {
    /// Not started yet.
    Waiting,
    /// Must wait for its turn, and the later ones for its response.
    Blocking,
    /// Started.
    Running(E),
}

#[derive(Debug)]
struct QueuedHead<E> {
    head: ScannedHead,
    state: HeadState<E>,
}

/// The request that the server called for last.
#[derive(Debug)]
enum CurrentRequest {
    /// Later requests must not run at the same time; also before the first call.
    Blocking,
    /// Whether it is idempotent is only determined when another request is behind it.
    Unchecked(Box<Parts>),
    /// It is idempotent.
    Idempotent,
}

/// The heads of a connection that the server has not called for yet, in order.
///
/// Every head that reaches the server is in the queue until recognition ends, so the first of the
/// queue belongs to the server's next call.
#[derive(Debug)]
pub struct AheadQueue<E> {
    limits: QueueLimits,
    heads: VecDeque<QueuedHead<E>>,
    head_bytes: usize,
    running: usize,
    current: CurrentRequest,
    is_closed: bool,
}

impl<E> AheadQueue<E> {
    /// Creates the queue of a new connection; it is closed if no request may run ahead.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            heads: VecDeque::new(),
            head_bytes: 0,
            running: 0,
            current: CurrentRequest::Blocking,
            is_closed: limits.max_ahead == 0,
        }
    }

    /// Requests that have been started and not taken over.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether no more heads should be recognised for now. The queue holds one head more than may run
    /// ahead, because the first one may be that of the server's next call.
    pub fn is_full(&self) -> bool {
        self.heads.len() > self.limits.max_ahead || self.head_bytes >= self.limits.max_head_bytes
    }

    /// Whether reading ahead has ended on this connection.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Appends the head of a request.
    pub fn push(&mut self, head: ScannedHead) {
        if self.is_closed {
            return;
        }
        let has_body = head.body_bytes > 0;
        let state = if has_body { HeadState::Blocking } else { HeadState::Waiting };
        self.head_bytes += head.bytes;
        self.heads.push_back(QueuedHead { head, state });
    }

    /// Cancels all started requests and ends reading ahead.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.running = 0;
        self.head_bytes = 0;
        self.heads = VecDeque::new();
        self.current = CurrentRequest::Blocking;
    }

    /// Starts the requests that may run ahead of their turn: idempotent ones behind idempotent ones.
    /// A request that must not run ahead also holds back those behind it, so that they see its effect.
    pub fn start_ready<R: RequestStarter<Early = E>>(&mut self, starter: &R) {
        let may_start_more = self.running < self.limits.max_ahead && starter.may_start();
        let has_waiting =
            self.heads.iter().any(|queued| matches!(queued.state, HeadState::Waiting));
        if !may_start_more || !has_waiting || !self.is_current_idempotent(starter) {
            return;
        }
        for queued in &mut self.heads {
            match queued.state {
                HeadState::Running(_) => continue,
                HeadState::Blocking => return,
                HeadState::Waiting if self.running >= self.limits.max_ahead => return,
                HeadState::Waiting => {}
            }
            let Some(early) = starter.start(&queued.head.parts) else {
                queued.state = HeadState::Blocking;
                return;
            };
            queued.state = HeadState::Running(early);
            self.running += 1;
        }
    }

    fn is_current_idempotent<R: RequestStarter<Early = E>>(&mut self, starter: &R) -> bool {
        if let CurrentRequest::Unchecked(parts) = &self.current {
            let is_idempotent = starter.is_idempotent(parts);
            self.current = match is_idempotent {
                true => CurrentRequest::Idempotent,
                false => CurrentRequest::Blocking,
            };
        }
        matches!(self.current, CurrentRequest::Idempotent)
    }

    /// Takes the started request for the server's call; none if the server has to run it. If the
    /// call's head is not the one that was recognised, all started requests are cancelled and reading
    /// ahead ends.
    pub fn take_over(&mut self, called: &Parts, has_body: bool) -> Option<E> {
        let queued = self.heads.pop_front()?;
        if matches!(queued.state, HeadState::Running(_)) {
            self.running -= 1;
        }
        self.head_bytes -= queued.head.bytes;
        let recognised = &queued.head.parts;
        // Equal headers include an equal request id.
        let is_same = recognised.method == called.method
            && recognised.uri == called.uri
            && recognised.headers == called.headers
            && has_body == (queued.head.body_bytes > 0);
        if !is_same {
            self.close();
            return None;
        }
        match queued.state {
            HeadState::Running(early) => {
                self.current = CurrentRequest::Idempotent;
                Some(early)
            }
            HeadState::Blocking => {
                self.current = CurrentRequest::Blocking;
                None
            }
            HeadState::Waiting => {
                self.current = CurrentRequest::Unchecked(Box::new(queued.head.parts));
                None
            }
        }
    }
}
