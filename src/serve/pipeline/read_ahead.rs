//! The stream between the socket of a caller or peer and the server, and its buffer.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::unconstrained;

use crate::serve::pipeline::ahead_queue::{AheadQueue, RequestStarter};
use crate::serve::pipeline::head_scanner::{HeadScanner, ScanStep};

/// Bytes read from the socket at a time.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// The queue of a connection, shared by its stream and its service.
pub(in crate::serve) type SharedQueue<E> = Arc<Mutex<AheadQueue<E>>>;

/// Locks a value that is used by one task only, also after a panic of that task.
pub(in crate::serve) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A socket that tells whether its peer has closed it before all bytes are read.
pub(in crate::serve) trait CallerSocket: AsyncRead + AsyncWrite + Unpin {
    /// Whether the peer has closed or reset the connection, as far as is known.
    fn is_read_closed(&self) -> bool;
}

impl CallerSocket for TcpStream {
    fn is_read_closed(&self) -> bool {
        // Unconstrained, since the budget of the task would hide the state of the socket.
        let ready = unconstrained(self.ready(Interest::READABLE)).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
    }
}

/// Reads ahead on the socket of a caller.
///
/// Bytes are released to the server when they have been recognised. It holds at most
/// `max_head_bytes`; all bytes of an incomplete head are held.
#[derive(Debug)]
pub(in crate::serve) struct ReadAhead<S, E> {
    socket: S,
    buffer: BytesMut,
    /// Bytes at the beginning of the buffer that the server may take.
    released: usize,
    max_head_bytes: usize,
    scanner: HeadScanner,
    queue: SharedQueue<E>,
    /// The caller has closed the connection.
    is_eof: bool,
    /// The server has read the end of the connection.
    is_eof_read: bool,
    /// The socket has registered the task's waker since its last poll.
    is_socket_pending: bool,
}

impl<S: CallerSocket, E> ReadAhead<S, E> {
    /// Creates the buffer of a new connection, and the stream for the server. A queue that is closed
    /// passes all bytes straight through.
    pub(in crate::serve) fn new(
        socket: S,
        max_head_bytes: usize,
        queue: SharedQueue<E>,
    ) -> (Arc<Mutex<Self>>, ReadAheadStream<S, E>) {
        let read_ahead = Arc::new(Mutex::new(Self {
            socket,
            buffer: BytesMut::new(),
            released: 0,
            max_head_bytes,
            scanner: HeadScanner::new(max_head_bytes),
            queue,
            is_eof: false,
            is_eof_read: false,
            is_socket_pending: false,
        }));
        lock(&read_ahead).scan();
        let stream = ReadAheadStream(Arc::clone(&read_ahead));
        (read_ahead, stream)
    }

    /// Reads as much as is wanted and there is room for.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket: the caller has reset the connection.
    pub(in crate::serve) fn poll_ahead(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.is_socket_pending = false;
        self.scan();
        while self.wants_bytes() {
            let Poll::Ready(result) = self.poll_fill(cx) else { break };
            result?;
            self.scan();
        }
        Ok(())
    }

    /// Recognises what the queue has room for since the server's calls, and starts requests.
    pub(in crate::serve) fn start_ready<R: RequestStarter<Early = E>>(&mut self, starter: &R) {
        self.scan();
        lock(&self.queue).start_ready(starter);
    }

    /// Whether the socket must be polled, because the server has made room or called for a request.
    pub(in crate::serve) fn needs_poll(&self) -> bool {
        self.wants_bytes() && !self.is_socket_pending
    }

    /// Whether nothing waits for the socket, so that the end of the connection would not be noticed.
    pub(in crate::serve) fn needs_close_check(&self) -> bool {
        !self.is_eof && !self.is_socket_pending
    }

    /// Looks for the end of the connection behind bytes that have not been read.
    pub(in crate::serve) fn check_closed(&mut self) {
        if self.socket.is_read_closed() {
            self.end_connection();
        }
    }

    /// Whether the caller has closed the connection, and the server does not read that because it has
    /// bytes of further requests.
    pub(in crate::serve) fn is_end_unread(&self) -> bool {
        self.is_eof && !self.is_eof_read
    }

    fn is_full(&self) -> bool {
        self.buffer.len() >= self.max_head_bytes
    }

    /// While requests run ahead, the socket is read to notice the end of the connection.
    fn wants_bytes(&self) -> bool {
        if self.is_eof || self.is_full() {
            return false;
        }
        let queue = lock(&self.queue);
        queue.running() > 0 || (self.scanner.is_at_head() && !queue.is_full())
    }

    fn end(&mut self) {
        self.scanner.end();
        lock(&self.queue).close();
    }

    /// Records that the caller has closed the connection, and drops the bytes that the server has not
    /// read.
    fn end_connection(&mut self) {
        self.is_eof = true;
        self.buffer = BytesMut::new();
        self.released = 0;
        self.end();
    }

    /// Releases what is recognised of the buffered bytes.
    fn scan(&mut self) {
        let mut queue = lock(&self.queue);
        if queue.is_closed() {
            self.scanner.end();
        }
        while self.released < self.buffer.len() {
            if self.scanner.is_at_head() && queue.is_full() {
                return;
            }
            match self.scanner.step(&self.buffer[self.released..]) {
                ScanStep::Incomplete => return,
                ScanStep::Body(bytes) => self.released += bytes,
                ScanStep::PassThrough => self.released = self.buffer.len(),
                ScanStep::Head(head) => {
                    self.released += head.bytes;
                    queue.push(*head);
                }
            }
        }
    }

    /// Reads into the buffer, at most until it is full.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let room = (self.max_head_bytes - self.buffer.len()).min(READ_CHUNK_BYTES);
        let mut chunk = ReadBuf::uninit(&mut chunk[..room]);
        ready!(self.poll_socket(cx, &mut chunk))?;
        self.buffer.extend_from_slice(chunk.filled());
        Poll::Ready(Ok(()))
    }

    /// Reads from the socket; nothing read is the end of the connection.
    fn poll_socket(
        &mut self,
        cx: &mut Context<'_>,
        chunk: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = chunk.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, chunk);
        self.is_socket_pending = result.is_pending();
        ready!(result)?;
        if chunk.filled().len() == filled {
            self.end_connection();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads bytes that need no scanning into the server's buffer.
    fn poll_unscanned(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unscanned = self.scanner.unscanned_bytes();
        let count = if unscanned >= buffer.remaining() as u64 {
            let filled = buffer.filled().len();
            ready!(self.poll_socket(cx, buffer))?;
            buffer.filled().len() - filled
        } else {
            let mut body = ReadBuf::new(buffer.initialize_unfilled_to(unscanned as usize));
            ready!(self.poll_socket(cx, &mut body))?;
            let count = body.filled().len();
            buffer.advance(count);
            count
        };
        self.is_eof_read = self.is_eof;
        self.scanner.skip(count);
        Poll::Ready(Ok(()))
    }

    fn poll_server_read(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while buffer.remaining() > 0 {
            self.scan();
            if self.released > 0 {
                let count = self.released.min(buffer.remaining());
                buffer.put_slice(&self.buffer[..count]);
                self.buffer.advance(count);
                self.released -= count;
                if self.buffer.is_empty() {
                    // An idle connection keeps no memory.
                    self.buffer = BytesMut::new();
                }
                return Poll::Ready(Ok(()));
            }
            if self.buffer.is_empty() {
                if self.is_eof {
                    self.is_eof_read = true;
                    return Poll::Ready(Ok(()));
                }
                if self.scanner.unscanned_bytes() > 0 {
                    return self.poll_unscanned(cx, buffer);
                }
            } else if self.is_full() {
                // The server decides about an incomplete head.
                self.end();
                continue;
            }
            ready!(self.poll_fill(cx))?;
        }
        Poll::Ready(Ok(()))
    }
}

/// The stream that the server reads and writes.
#[derive(Debug)]
pub(in crate::serve) struct ReadAheadStream<S, E>(Arc<Mutex<ReadAhead<S, E>>>);

impl<S: CallerSocket, E> AsyncRead for ReadAheadStream<S, E> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        lock(&self.0).poll_server_read(cx, buffer)
    }
}

impl<S: CallerSocket, E> AsyncWrite for ReadAheadStream<S, E> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).socket).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.0).socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).socket).poll_shutdown(cx)
    }
}
