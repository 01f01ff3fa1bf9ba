//! Requests in flight at an endpoint, and its crashes.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet;

/// Identifies a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// Loss of a connection that may have been a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionLoss {
    number: u32,
    /// Requests that were in flight when the connection was lost.
    pub in_flight: Arc<[fleet::SuspectRequest]>,
}

/// Groups lost connections into incidents: the streams that break in one crash are one
/// incident.
#[derive(Debug, Default)]
pub struct CrashTracker {
    next_id: u64,
    loss_count: u32,
    in_flight: HashMap<InFlightId, (fleet::SuspectRequest, Option<u32>)>,
}

impl CrashTracker {
    /// Registers a request that is passed on to the endpoint.
    pub fn begin(&mut self, suspect: fleet::SuspectRequest) -> InFlightId {
        let flight = InFlightId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(flight, (suspect, None));
        flight
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, flight: InFlightId) {
        self.in_flight.remove(&flight);
    }

    /// Records that the connection of a request was lost. Returns `None` if the request is
    /// part of a known loss already or is not in flight.
    pub fn connection_lost(&mut self, flight: InFlightId) -> Option<ConnectionLoss> {
        if self.in_flight.get(&flight)?.1.is_some() {
            return None;
        }
        self.loss_count += 1;
        let mut in_flight = Vec::new();
        for (suspect, loss) in self
            .in_flight
            .values_mut()
            .filter(|(_, loss)| loss.is_none())
        {
            *loss = Some(self.loss_count);
            in_flight.push(*suspect);
        }
        Some(ConnectionLoss {
            number: self.loss_count,
            in_flight: in_flight.into(),
        })
    }

    /// Withdraws a loss that was not a crash, so that the requests still running can be
    /// part of a later one.
    pub fn withdraw(&mut self, loss: &ConnectionLoss) {
        for (_, number) in self.in_flight.values_mut() {
            if *number == Some(loss.number) {
                *number = None;
            }
        }
    }

    /// Returns the report on a loss that was a crash of the endpoint.
    pub fn confirm(
        &mut self,
        loss: ConnectionLoss,
        identity: &fleet::Identity,
    ) -> fleet::CrashReport {
        fleet::CrashReport {
            vm: identity.vm.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            incident: loss.number,
            in_flight: loss.in_flight,
        }
    }
}
