//! Buffer for a body that is read completely.

use std::sync::Arc;

use hyper::body::Bytes;

use crate::http;
use crate::http::buffer_budget;
use crate::units;

/// A body in the course of being read, within a limit on its size and a budget for all.
#[derive(Debug)]
pub struct BodyBuffer {
    buf: Vec<u8>,
    limit: usize,
    reservation: Option<buffer_budget::Reservation>,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `limit` bytes. Without a budget only the limit
    /// holds.
    #[must_use]
    pub fn new(limit: units::Bytes, budget: Option<&Arc<buffer_budget::BufferBudget>>) -> Self {
        Self {
            buf: Vec::new(),
            limit: limit.as_usize(),
            reservation: budget.map(buffer_budget::BufferBudget::begin),
        }
    }

    /// Makes room for `additional` bytes. Fails, and changes nothing, if the body would be
    /// over its limit, or all bodies over their budget.
    pub fn reserve(&mut self, additional: usize) -> Result<(), http::HttpError> {
        self.grow_to(self.buf.len().saturating_add(additional))
    }

    /// Returns the number of bytes that others must release for [`Self::reserve`] to find
    /// memory; zero without a budget.
    #[must_use]
    pub fn shortfall(&self, additional: usize) -> units::Bytes {
        let capacity = self.grown(self.buf.len().saturating_add(additional));
        let reservation = self.reservation.as_ref();
        reservation.map_or(units::Bytes(0), |reservation| {
            reservation.shortfall(capacity)
        })
    }

    /// Adds bytes of the body. Fails like [`Self::reserve`].
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), http::HttpError> {
        self.reserve(chunk.len())?;
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the memory that the buffer holds, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    fn grow_to(&mut self, len: usize) -> Result<(), http::HttpError> {
        if len > self.limit {
            return Err(http::HttpError::TooLarge);
        }
        if len <= self.buf.capacity() {
            return Ok(());
        }
        let capacity = self.grown(len);
        if let Some(reservation) = &mut self.reservation
            && !reservation.resize(capacity)
        {
            return Err(http::HttpError::OverBudget);
        }
        self.buf.reserve_exact(capacity - self.buf.len());
        Ok(())
    }

    /// Returns the capacity of the buffer once it has grown for `len` bytes.
    fn grown(&self, len: usize) -> usize {
        len.max(self.buf.capacity() * 2).min(self.limit)
    }

    /// Returns the complete body, which keeps the reservation until it is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
