//! Room of one service at one entry: send now, wait or refuse.
//!
//! Load pattern: a burst, or fewer endpoints than usual, so that for some time not every
//! request finds a place. A request waits only for a place that is expected in time for its
//! objective, and goes when it is its turn; places are taken at the pace at which they are
//! left, so that those who waited do not all arrive at once.

use std::time::Duration;

use crate::ids;
use crate::room;
use crate::runtime;

/// Maximum number of waiting requests of a service; more are refused.
const MAX_WAITING: usize = 1_024;
/// Part of the time between two places of this entry after which the next request goes:
/// other entries do not use all of theirs.
const PACE_FRACTION: f64 = 0.7;
/// Multiple of the usual work that is kept for a request which has waited: an endpoint that
/// was full queues it again.
const WORK_MARGIN: f64 = 1.5;

/// A request that asks for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller; `None` on an anonymous route.
    pub team: Option<ids::TeamName>,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time left until the objective.
    pub objective_left: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
}

impl Ask {
    /// Returns the longest useful wait: after it, the answer would come after the objective.
    /// Zero if that is so anyway: the request would only make others late.
    fn patience(&self, supply: &room::Supply) -> Duration {
        let left = |until: Duration| {
            let kept = supply.work.mul_f64(WORK_MARGIN) + supply.wait;
            until.saturating_sub(kept)
        };
        left(self.objective_left).min(left(self.time_left))
    }
}

/// What a request has to do.
#[derive(Debug)]
pub enum Verdict {
    /// Choose an endpoint and send the request.
    Send,
    /// Wait for its turn.
    Wait(room::Ticket<room::Waiting>),
    /// Refuse it as not run: no place is expected in time.
    Refuse,
}

/// What a waiting request has to do.
#[derive(Debug)]
pub enum Turn {
    /// Choose an endpoint and send the request.
    Send(room::Ticket<room::Called>),
    /// Wait until this time, or until something changes.
    Wait(room::Ticket<room::Waiting>, runtime::Moment),
    /// Refuse it as not run: it has waited as long as it may.
    Refuse,
}

/// How a wait for a place ended; a label of the metrics and of the request log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WaitEnd {
    /// The request got a place.
    Place,
    /// No place came in time.
    Expired,
    /// The caller left.
    CallerLeft,
}

/// What an entry knows of the room of a service, and who waits for it.
#[derive(Debug, Default)]
pub struct ServiceRoom {
    line: room::Line,
    turned_away: room::TurnedAway,
    /// When a waiting request last got a place.
    called_at: Option<runtime::Moment>,
    /// Whether a request can no longer go, so that another may be the first.
    has_new_first: bool,
    /// Since when no endpoint is there or expected; `None` if one is.
    absent_since: Option<runtime::Moment>,
    work_times: room::WorkTimes,
    /// Whether an endpoint of the service has ever stated its load.
    states_load: bool,
}

impl ServiceRoom {
    /// Records whether an endpoint states its load now. Returns whether one ever has: only
    /// then the room is known.
    pub fn note_report(&mut self, is_stated: bool) -> bool {
        self.states_load |= is_stated;
        self.states_load
    }

    /// Records an answer that took `total`, of an endpoint with `load` requests when its
    /// request was sent.
    pub fn record_answer(
        &mut self,
        endpoint: &ids::EndpointId,
        total: Duration,
        load: u32,
        slots: u32,
    ) {
        self.work_times.record(endpoint, total, load, slots);
    }

    /// Returns the expected time for which a request takes a slot at the endpoint; `None`
    /// before its first answer.
    #[must_use]
    pub fn work_time(&self, endpoint: &ids::EndpointId) -> Option<Duration> {
        self.work_times.get(endpoint)
    }

    /// Records that an endpoint has turned a request away.
    pub fn record_turned_away(
        &mut self,
        endpoint: &ids::EndpointId,
        work: Duration,
        now: runtime::Moment,
    ) {
        self.turned_away.record(endpoint, work, now);
    }

    /// Returns until when the endpoint is taken to be full; `None` if it is not.
    #[must_use]
    pub fn full_until(
        &self,
        endpoint: &ids::EndpointId,
        now: runtime::Moment,
    ) -> Option<runtime::Moment> {
        self.turned_away.full_until(endpoint, now)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Returns what a caller that is refused now can expect. `supply` is that of the whole
    /// service.
    pub fn outlook(&mut self, supply: &room::Supply, now: runtime::Moment) -> room::Outlook {
        if supply.is_absent() {
            return room::Outlook::Absent(*self.absent_since.get_or_insert(now));
        }
        self.absent_since = None;
        let behind = u32::try_from(self.line.len()).unwrap_or(u32::MAX);
        self.expected(supply, behind, now)
            .map_or(room::Outlook::Unknown, room::Outlook::In)
    }

    /// Expected time until a place for a request behind `ahead` others; `None` if none is
    /// expected.
    fn expected(
        &self,
        supply: &room::Supply,
        ahead: u32,
        now: runtime::Moment,
    ) -> Option<Duration> {
        let first = supply.first_place(now)?;
        let paced = self.next_call(supply, now).saturating_since(now);
        Some(first.max(paced) + supply.gap.saturating_mul(ahead))
    }

    /// Returns when a place is next left for a request of this entry.
    fn next_call(&self, supply: &room::Supply, now: runtime::Moment) -> runtime::Moment {
        if self.line.is_empty() {
            return now;
        }
        let called = self.called_at.unwrap_or_default();
        called
            .saturating_add(supply.gap.mul_f64(PACE_FRACTION))
            .max(now)
    }

    /// Decides about a request that has just arrived, or was turned away.
    pub fn ask(&mut self, ask: &Ask, supply: &room::Supply, now: runtime::Moment) -> Verdict {
        if !supply.is_absent() {
            self.absent_since = None;
        }
        let is_ready = supply.open > 0;
        if is_ready && self.line.first_ready(now).is_none() {
            return Verdict::Send;
        }
        let claim = room::Claim {
            priority: ask.priority,
            team: ask.team.clone(),
            work: supply.work,
            patience: ask.patience(supply),
        };
        let ahead = self.line.ahead_of(&claim, is_ready, now);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let Some(expected) = self.expected(supply, ahead, now) else {
            // The choice of an endpoint has the last word on those that may have failed.
            return if supply.unknown > 0 || supply.has_last_resort_only() {
                Verdict::Send
            } else {
                Verdict::Refuse
            };
        };
        if expected > claim.patience || self.line.len() >= MAX_WAITING {
            return if supply.has_last_resort_only() {
                Verdict::Send
            } else {
                Verdict::Refuse
            };
        }
        let ticket = self.line.join(claim, now);
        self.line.mark(&ticket, is_ready);
        Verdict::Wait(ticket)
    }

    /// Decides about a waiting request, at its start and whenever something has changed.
    pub fn turn(
        &mut self,
        ticket: room::Ticket<room::Waiting>,
        supply: &room::Supply,
        now: runtime::Moment,
    ) -> Turn {
        let was_ready = self.line.mark(&ticket, supply.open > 0);
        self.has_new_first |= was_ready && supply.open == 0;
        let until = self.line.patience_ends(&ticket);
        let next_call = self.next_call(supply, now);
        let is_first = self.line.first_ready(now) == Some(ticket.key());
        if is_first && next_call <= now {
            self.called_at = Some(now);
            return Turn::Send(self.line.call(ticket));
        }
        if until <= now {
            if supply.has_last_resort_only() {
                return Turn::Send(self.line.call(ticket));
            }
            self.line.leave(ticket);
            return Turn::Refuse;
        }
        // The first may not be able to go at its time: the next looks then too.
        let wake = if is_first || (supply.open > 0 && next_call > now) {
            next_call
        } else if supply.open > 0 {
            until
        } else {
            supply.next.unwrap_or(until).max(now)
        };
        Turn::Wait(ticket, wake.min(until))
    }

    /// Returns whether a request that could go no longer can since this was last asked; the
    /// others have to look again.
    pub fn take_new_first(&mut self) -> bool {
        std::mem::take(&mut self.has_new_first)
    }

    /// Takes out a waiting request whose caller has left.
    pub fn leave(&mut self, ticket: room::Ticket<room::Waiting>) {
        self.line.leave(ticket);
    }
}
