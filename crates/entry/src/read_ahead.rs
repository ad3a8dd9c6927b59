//! Reading of a response body from its worker, independent of how fast the caller reads.
//!
//! The HTTP library asks for more of a body only while its caller reads. A task of its own therefore reads from the
//! worker, up to a bound ahead of the caller, and ends the exchange at its time limit.

use std::collections::VecDeque;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

use crate::holding::{Holder, Message};
use crate::local_reply::BodyError;

/// Time limit of a transfer.
#[derive(Clone, Copy, Debug)]
pub enum Limit {
    /// The worker must have sent the whole body by this time.
    Deadline(Instant),
    /// Maximum times without progress.
    Stall {
        /// Time for which the worker may send nothing.
        worker: Duration,
        /// Time for which the caller may take nothing while the worker waits for it.
        caller: Duration,
    },
}

/// How the transfer from the worker ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole body was received.
    Complete,
    /// The worker's connection or the exchange broke off.
    Broken,
    /// The time limit passed, mostly because of the worker.
    Late,
    /// The time limit passed, mostly because the caller did not read.
    Unread,
}

/// A response body that is read from its worker ahead of the caller. Dropping it cancels the transfer.
#[derive(Debug)]
pub struct ReadAhead(Progress);

#[derive(Debug)]
enum Progress {
    /// The whole body is buffered.
    Received(VecDeque<Frame<Bytes>>),
    /// A task reads the body.
    Open(Transfer),
}

#[derive(Debug)]
struct Transfer {
    queue: Queue,
    task: AbortHandle,
    /// Number of bytes that the caller has not taken yet, if the worker declared a length.
    left: Option<u64>,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Frames that were received and not taken yet.
#[derive(Clone, Debug, Default)]
struct Queue(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    frames: VecDeque<Frame<Bytes>>,
    end: Option<Result<(), BodyError>>,
    /// Waits for a frame.
    reader: Option<Waker>,
}

impl State {
    fn wake_reader(&mut self) {
        self.reader.take().iter().for_each(Waker::wake_by_ref);
    }
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, frame: Frame<Bytes>) {
        let mut state = self.lock();
        state.frames.push_back(frame);
        state.wake_reader();
    }

    fn end(&self, last: Option<Frame<Bytes>>, end: Result<(), BodyError>) {
        let mut state = self.lock();
        state.frames.extend(last);
        state.end = Some(end);
        state.wake_reader();
    }
}

fn data_bytes(frames: &VecDeque<Frame<Bytes>>) -> u64 {
    let data = frames.iter().filter_map(Frame::data_ref);
    data.map(Bytes::len).sum::<usize>() as u64
}

impl ReadAhead {
    /// Returns a body of which everything is buffered.
    #[must_use]
    pub fn received(buffered: VecDeque<Frame<Bytes>>) -> Self {
        Self(Progress::Received(buffered))
    }

    /// Returns a body of which the start is buffered, and reads `rest` in a task of its own. `on_end` is called when the
    /// worker has sent everything or the transfer failed, with the time for which the worker was waited for; it is
    /// dropped if the caller leaves before. What is received counts for `holder`, which bounds how far the body is read
    /// ahead.
    #[must_use]
    pub fn open(
        buffered: VecDeque<Frame<Bytes>>,
        rest: Incoming,
        limit: Limit,
        holder: &Holder,
        on_end: impl FnOnce(End, Duration) + Send + 'static,
    ) -> Self {
        let left = rest.size_hint().exact();
        let left = left.map(|rest| rest + data_bytes(&buffered));
        let queue = Queue::default();
        queue.lock().frames = buffered;
        let task = tokio::spawn(read(queue.clone(), rest, limit, holder.clone(), on_end));
        Self(Progress::Open(Transfer {
            queue,
            task: task.abort_handle(),
            left,
        }))
    }
}

/// Reads a body until it ends or its time is over.
async fn read(
    queue: Queue,
    mut rest: Incoming,
    limit: Limit,
    holder: Holder,
    on_end: impl FnOnce(End, Duration) + Send + 'static,
) {
    let (mut waited, mut unread) = (Duration::ZERO, Duration::ZERO);
    let first = match limit {
        Limit::Deadline(at) => at,
        Limit::Stall { caller, .. } => Instant::now() + caller,
    };
    let mut timer = pin!(sleep_until(first));
    let (last, end) = loop {
        let since = Instant::now();
        if let Limit::Stall { caller, .. } = limit {
            timer.as_mut().reset(since + caller);
        }
        let has_room = tokio::select! {
            biased;
            () = std::future::poll_fn(|cx| holder.poll_room(cx)) => true,
            () = timer.as_mut() => false,
        };
        unread += since.elapsed();
        if !has_room {
            let end = match limit {
                Limit::Deadline(_) => End::Late,
                Limit::Stall { .. } => End::Unread,
            };
            break (None, Ok(end));
        }
        let since = Instant::now();
        if let Limit::Stall { worker, .. } = limit {
            timer.as_mut().reset(since + worker);
        }
        let frame = tokio::select! {
            biased;
            frame = rest.frame() => Some(frame),
            () = timer.as_mut() => None,
        };
        waited += since.elapsed();
        let Some(frame) = frame else {
            break (None, Ok(End::Late));
        };
        let hold =
            |frame: Frame<Bytes>| frame.map_data(|data| holder.hold(Message::Response, data));
        match frame.map(|frame| frame.map(hold)) {
            Some(Ok(frame)) if rest.is_end_stream() => break (Some(frame), Ok(End::Complete)),
            Some(Ok(frame)) => queue.push(frame),
            None => break (None, Ok(End::Complete)),
            Some(Err(error)) => break (None, Err(error)),
        }
        if let Limit::Deadline(at) = limit
            && Instant::now() >= at
        {
            break (None, Ok(End::Late));
        }
    };
    drop(rest);
    let end = end.map(|end| match end {
        End::Late if unread > waited => End::Unread,
        end => end,
    });
    // The slot and the connection of the worker are free before the caller can send its next request.
    on_end(end.as_ref().copied().unwrap_or(End::Broken), waited);
    match end {
        Ok(End::Complete) => queue.end(last, Ok(())),
        Ok(_) => {
            queue.lock().frames.clear();
            let cause = "the response was not complete at its time limit";
            queue.end(None, Err(cause.into()));
        }
        Err(error) => queue.end(None, Err(error.into())),
    }
}

impl Body for ReadAhead {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let transfer = match &mut self.get_mut().0 {
            Progress::Received(frames) => return Poll::Ready(frames.pop_front().map(Ok)),
            Progress::Open(transfer) => transfer,
        };
        let mut state = transfer.queue.lock();
        if let Some(frame) = state.frames.pop_front() {
            let taken = frame.data_ref().map_or(0, Bytes::len) as u64;
            transfer.left = transfer.left.map(|left| left.saturating_sub(taken));
            return Poll::Ready(Some(Ok(frame)));
        }
        match state.end.take() {
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            Some(Ok(())) => {
                state.end = Some(Ok(()));
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                // Whoever reads on after the error must not take the body for a complete one.
                state.end = Some(Err("the response broke off".into()));
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Progress::Received(frames) => frames.is_empty(),
            Progress::Open(transfer) => {
                let state = transfer.queue.lock();
                state.frames.is_empty() && matches!(state.end, Some(Ok(())))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Progress::Received(frames) => SizeHint::with_exact(data_bytes(frames)),
            Progress::Open(transfer) => transfer
                .left
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
