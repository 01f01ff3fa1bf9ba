//! Requests in flight and crashes of the endpoint.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet;

/// A request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Flight(u64);

/// A lost connection that may have been a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    number: u32,
    /// What was in flight.
    pub in_flight: Arc<[fleet::Suspect]>,
}

/// Tells crashes apart: the streams that break in one crash are one incident.
#[derive(Debug, Default)]
pub struct Crashes {
    next_flight: u64,
    losses: u32,
    in_flight: HashMap<Flight, (fleet::Suspect, Option<u32>)>,
}

impl Crashes {
    /// A request is passed on to the endpoint.
    pub fn begin(&mut self, suspect: fleet::Suspect) -> Flight {
        let flight = Flight(self.next_flight);
        self.next_flight += 1;
        self.in_flight.insert(flight, (suspect, None));
        flight
    }

    /// A request has ended.
    pub fn end(&mut self, flight: Flight) {
        self.in_flight.remove(&flight);
    }

    /// The connection of a request was lost. `None` where the loss that
    /// ended it is known already.
    pub fn lost(&mut self, flight: Flight) -> Option<Loss> {
        if self.in_flight.get(&flight)?.1.is_some() {
            return None;
        }
        self.losses += 1;
        let mut in_flight = Vec::new();
        for (suspect, loss) in self
            .in_flight
            .values_mut()
            .filter(|(_, loss)| loss.is_none())
        {
            *loss = Some(self.losses);
            in_flight.push(*suspect);
        }
        Some(Loss {
            number: self.losses,
            in_flight: in_flight.into(),
        })
    }

    /// The endpoint has not crashed: what still runs may yet see a crash.
    pub fn dismiss(&mut self, loss: &Loss) {
        for (_, number) in self.in_flight.values_mut() {
            if *number == Some(loss.number) {
                *number = None;
            }
        }
    }

    /// The endpoint has crashed.
    pub fn confirm(&mut self, loss: Loss, me: &fleet::Identity) -> fleet::CrashReport {
        fleet::CrashReport {
            vm: me.vm.clone(),
            domain: me.domain.clone(),
            incarnation: me.incarnation,
            incident: loss.number,
            in_flight: loss.in_flight,
        }
    }
}
