//! Request bodies that are streamed from the caller and buffered, up to a limit, for retries.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::holding::{Holder, Message, Receiving};
use crate::local_reply::BodyError;

/// Maximum size of a request body that is buffered for retries or covered by a fingerprint, in bytes.
pub const MAX_REPLAY_BYTES: usize = 64 * 1024;

/// Why a body can't be sent from its start.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Unavailable {
    /// A part of the body was forwarded and is no longer buffered.
    #[error("the request body is no longer buffered")]
    Discarded,
    /// The caller did not send the whole body.
    #[error("the request body broke off before its end")]
    Broken,
}

/// Body of a caller's request, shared by all attempts.
#[derive(Clone, Debug)]
pub struct Source(Arc<Mutex<State>>);

/// How much of a body has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// More may arrive.
    Open,
    /// All of it has arrived.
    Complete,
    /// It broke off, which the library reports only once.
    Broken,
}

#[derive(Debug)]
struct State {
    incoming: Incoming,
    holder: Holder,
    declared_size: SizeHint,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    progress: Progress,
    /// Present while more of the body may arrive.
    receiving: Option<Receiving>,
    /// Part of the body was forwarded and is no longer buffered.
    discarded: bool,
    /// Number of the latest replay, the only one that can read.
    reader: u64,
}

impl State {
    fn poll_incoming(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match self.progress {
                Progress::Open => {}
                Progress::Complete => return Poll::Ready(None),
                Progress::Broken => {
                    return Poll::Ready(Some(Err(Unavailable::Broken.into())));
                }
            }
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                None => self.end(Progress::Complete),
                // Request trailers are not forwarded.
                Some(Ok(frame)) => {
                    if self.incoming.is_end_stream() {
                        self.end(Progress::Complete);
                    }
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(self.holder.hold(Message::Request, data))));
                    }
                }
                Some(Err(error)) => {
                    self.end(Progress::Broken);
                    return Poll::Ready(Some(Err(error.into())));
                }
            }
        }
    }

    fn end(&mut self, progress: Progress) {
        self.progress = progress;
        if let Some(receiving) = self.receiving.take()
            && progress == Progress::Complete
        {
            receiving.complete();
        }
    }

    fn is_complete(&self) -> bool {
        self.progress == Progress::Complete
    }

    fn check_replay(&self) -> Result<(), Unavailable> {
        if self.progress == Progress::Broken {
            return Err(Unavailable::Broken);
        }
        if self.discarded {
            return Err(Unavailable::Discarded);
        }
        Ok(())
    }

    fn buffer(&mut self, data: &Bytes) {
        self.buffered_bytes += data.len();
        self.buffered.push(data.clone());
    }
}

impl Source {
    /// Wraps the body of a request without reading from it. What is held of it counts for `holder`.
    #[must_use]
    pub fn new(incoming: Incoming, holder: Holder) -> Self {
        let progress = if incoming.is_end_stream() {
            Progress::Complete
        } else {
            Progress::Open
        };
        Self(Arc::new(Mutex::new(State {
            declared_size: incoming.size_hint(),
            progress,
            receiving: (progress == Progress::Open).then(|| holder.receive()),
            incoming,
            holder,
            buffered: Vec::new(),
            buffered_bytes: 0,
            discarded: false,
            reader: 0,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the body from its start. Bodies returned earlier then fail when they are read.
    ///
    /// # Errors
    ///
    /// As [`Source::check_replay`].
    pub fn replay(&self) -> Result<Replay, Unavailable> {
        let mut state = self.lock();
        state.check_replay()?;
        state.reader += 1;
        state.holder.record_sent();
        Ok(Replay {
            reader: state.reader,
            source: self.clone(),
            position: 0,
            sent: 0,
        })
    }

    /// Checks that the body can be sent from its start, as far as is known.
    ///
    /// # Errors
    ///
    /// Returns why no further attempt can send the body.
    pub fn check_replay(&self) -> Result<(), Unavailable> {
        self.lock().check_replay()
    }

    /// Returns whether the complete body was received from the caller.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.lock().is_complete()
    }

    /// Returns whether the body broke off before it was complete.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.lock().progress == Progress::Broken
    }

    /// Buffers the body until it is complete or exceeds [`MAX_REPLAY_BYTES`]; returns whether it is complete.
    ///
    /// # Errors
    ///
    /// Returns the error of the caller's connection.
    pub async fn prefetch(&self) -> Result<bool, BodyError> {
        std::future::poll_fn(|cx| {
            let mut state = self.lock();
            while !state.is_complete() && state.buffered_bytes <= MAX_REPLAY_BYTES {
                match ready!(state.poll_incoming(cx)) {
                    Some(Ok(data)) => state.buffer(&data),
                    Some(Err(error)) => return Poll::Ready(Err(error)),
                    None => {}
                }
            }
            Poll::Ready(Ok(state.is_complete()))
        })
        .await
    }

    /// Calls `each` for every buffered chunk of the body, in order.
    pub fn for_each_buffered(&self, mut each: impl FnMut(&[u8])) {
        for part in &self.lock().buffered {
            each(part);
        }
    }

    /// Returns the size that the caller declared, or `None` for a body of unknown size.
    #[must_use]
    pub fn declared_size(&self) -> Option<u64> {
        self.lock().declared_size.exact()
    }
}

/// Body of one attempt, read from the buffer first and then from the caller.
#[derive(Debug)]
pub struct Replay {
    source: Source,
    reader: u64,
    position: usize,
    sent: u64,
}

impl Body for Replay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let mut state = this.source.lock();
        if state.reader != this.reader {
            let error = "a later attempt reads the request body";
            return Poll::Ready(Some(Err(error.into())));
        }
        let data = if let Some(data) = state.buffered.get(this.position) {
            this.position += 1;
            data.clone()
        } else {
            match ready!(state.poll_incoming(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                Some(Ok(data)) => {
                    if !state.discarded && state.buffered_bytes + data.len() <= MAX_REPLAY_BYTES {
                        state.buffer(&data);
                        this.position += 1;
                    } else {
                        state.discarded = true;
                        state.buffered.clear();
                        this.position = 0;
                    }
                    data
                }
            }
        };
        this.sent += data.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Returns whether this attempt has sent the whole body; an attempt that another one has replaced never has.
    fn is_end_stream(&self) -> bool {
        let state = self.source.lock();
        state.reader == self.reader && state.is_complete() && self.position == state.buffered.len()
    }

    fn size_hint(&self) -> SizeHint {
        match self.source.lock().declared_size.exact() {
            Some(size) => SizeHint::with_exact(size.saturating_sub(self.sent)),
            None => SizeHint::default(),
        }
    }
}
