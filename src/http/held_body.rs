//! Body of an answer that keeps the memory of its request reserved.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};

use crate::http;
use crate::http::request_slot;

/// Body of an answer with the slot of its request, which ends when the body is dropped.
#[derive(Debug)]
pub struct HeldBody {
    body: http::Body,
    _slot: Option<request_slot::RequestSlot>,
}

impl HeldBody {
    /// Creates a body; without a slot if the request was refused for lack of memory.
    #[must_use]
    pub const fn new(body: http::Body, slot: Option<request_slot::RequestSlot>) -> Self {
        Self { body, _slot: slot }
    }
}

impl HttpBody for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
