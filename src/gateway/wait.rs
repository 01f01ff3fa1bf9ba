//! Wait of a request for a place at an endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use smol::Timer;
use smol::future::FutureExt;

use crate::balance;
use crate::direct;
use crate::gateway;
use crate::gateway::{call, send};
use crate::ids;
use crate::observe;
use crate::room;
use crate::runtime;

/// Assumed work of a request at an endpoint that has not answered yet.
const DEFAULT_WORK: Duration = Duration::from_millis(40);

/// A place in the line of a service, given up if the caller leaves.
struct LinePlace {
    cx: Arc<gateway::Cx>,
    service: ids::ServiceName,
    ticket: Option<room::Ticket<room::Waiting>>,
    end: room::WaitEnd,
}

impl LinePlace {
    fn new(call: &call::Call, ticket: room::Ticket<room::Waiting>) -> Self {
        observe::metrics().record_wait_begin(&call.service);
        Self {
            cx: Arc::clone(&call.cx),
            service: call.service.clone(),
            ticket: Some(ticket),
            end: room::WaitEnd::CallerLeft,
        }
    }

    /// Waits until it is the request's turn. Returns false if that did not come in time.
    async fn wait(&mut self, call: &call::Call) -> bool {
        while let Some(ticket) = self.ticket.take() {
            // Listens before it looks, so that no change is missed.
            let room_change = self.cx.next_room_change();
            let snapshot = self.cx.control.next_snapshot();
            let now = runtime::Moment::now();
            let supply = call.view().map_or_else(
                || room::Supply::new(&[], call.share()),
                |view| look(call, &view, now).supply,
            );
            let (turn, has_new_first) = self.cx.with_room(&self.service, |room| {
                (room.turn(ticket, &supply, now), room.take_new_first())
            });
            if has_new_first {
                self.cx.notify_room();
            }
            match turn {
                room::Turn::Send(_) => {
                    self.end = room::WaitEnd::Place;
                    return true;
                }
                room::Turn::Refuse => {
                    self.end = room::WaitEnd::Expired;
                    return false;
                }
                room::Turn::Wait(ticket, until) => {
                    self.ticket = Some(ticket);
                    let due = Instant::now() + until.saturating_since(now);
                    let timer = async {
                        Timer::at(due).await;
                    };
                    room_change.or(snapshot).or(timer).await;
                }
            }
        }
        false
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.cx.with_room(&self.service, |room| room.leave(ticket));
        }
        observe::metrics().record_wait_end(&self.service, self.end.into());
        // The next in line may go, or is the first now.
        self.cx.notify_room();
    }
}

/// Places that a request may use, and the endpoints that are taken to be full.
struct Look {
    supply: room::Supply,
    full: Vec<ids::EndpointId>,
}

/// Returns the endpoints that the request may use and has not tried, as they are now.
fn look(call: &call::Call, view: &direct::ServiceView, now: runtime::Moment) -> Look {
    look_at(call, view, now, |endpoint| {
        call.regions.allows(endpoint.region.as_ref()) && !call.tried.contains(&endpoint.record.id)
    })
}

fn look_at(
    call: &call::Call,
    view: &direct::ServiceView,
    now: runtime::Moment,
    is_usable: impl Fn(&direct::EndpointView) -> bool,
) -> Look {
    let mut full = Vec::new();
    let mut places = Vec::new();
    for endpoint in view.endpoints.iter().filter(|endpoint| is_usable(endpoint)) {
        let id = &endpoint.record.id;
        let mut opening = call.opening(view, endpoint, now);
        let (full_until, work) = call.cx.with_room(&call.service, |room| {
            (room.full_until(id, now), room.work_time(id))
        });
        if let (room::Opening::Now, Some(until)) = (opening, full_until) {
            opening = room::Opening::At(until);
            full.push(id.clone());
        }
        let slots = endpoint.record.slots;
        let report_age = endpoint.live.load_age(now);
        let load = endpoint.live.figures(None, now).load;
        let wait = work.map_or(Duration::ZERO, |work| {
            room::expected_wait(load, slots, work)
        });
        places.push(room::Place {
            opening,
            slots,
            work,
            wait,
            report_age,
        });
    }
    Look {
        supply: room::Supply::new(&places, call.share()),
        full,
    }
}

/// Chooses an endpoint, and waits for a place there if that is expected in time. Returns it
/// with the endpoints from which it was chosen; `None` if the request is to be refused.
pub async fn choose(
    call: &mut call::Call,
    view: Arc<direct::ServiceView>,
) -> Option<(Arc<direct::ServiceView>, balance::Choice)> {
    let now = runtime::Moment::now();
    // A request that may have run cannot be refused any more.
    if call.attempts > 0 || !knows_room(call, &view, now) {
        let choice = call.choose(&view)?;
        return Some((view, choice));
    }
    let Look { supply, full } = look(call, &view, now);
    let ask = call.ask();
    let verdict = call
        .cx
        .with_room(&call.service, |room| room.ask(&ask, &supply, now));
    match verdict {
        room::Verdict::Send => {
            let choice = call.choose_outside(&view, &full)?;
            Some((view, choice))
        }
        room::Verdict::Refuse => {
            note(call, &supply, now);
            None
        }
        room::Verdict::Wait(ticket) => {
            note(call, &supply, now);
            call.trace.note("wait", &"begun");
            let began = Instant::now();
            let mut place = LinePlace::new(call, ticket);
            let is_called = place.wait(call).await;
            call.trace.note("waited_ms", &began.elapsed().as_millis());
            call.trace.note("wait_end", &place.end);
            if !is_called {
                return None;
            }
            let view = call.view()?;
            let full = look(call, &view, runtime::Moment::now()).full;
            let choice = call.choose_outside(&view, &full)?;
            Some((view, choice))
        }
    }
}

/// When an attempt began, and the requests that were at its endpoint then.
pub struct Sent {
    at: Instant,
    load: u32,
}

impl Sent {
    /// Creates the record of an attempt that begins now.
    pub fn new(choice: &balance::Choice) -> Self {
        Self {
            at: Instant::now() + choice.delay,
            load: choice.load,
        }
    }
}

/// Records that an attempt at an endpoint has ended, so that a place may be left there, or
/// that it has turned the request away.
pub fn record_end(
    call: &call::Call,
    endpoint: &direct::EndpointView,
    sent: &Sent,
    ended: Result<StatusCode, &send::AttemptError>,
) {
    let id = &endpoint.record.id;
    let slots = endpoint.record.slots;
    // A failure may come in no time, and tells nothing of how long work takes.
    if ended.is_ok_and(|status| !status.is_server_error()) {
        let total = sent.at.elapsed();
        call.cx.with_room(&call.service, |room| {
            room.record_answer(id, total, sent.load, slots);
        });
    }
    if let Err(send::AttemptError::NotRun(balance::Failure::Refused, _)) = ended {
        let now = runtime::Moment::now();
        call.cx.with_room(&call.service, |room| {
            let work = room.work_time(id).unwrap_or(DEFAULT_WORK);
            room.record_turned_away(id, work, now);
        });
    }
    call.cx.notify_room();
}

/// Returns what the caller can expect if the request is refused now, and counts it.
pub fn outlook(call: &mut call::Call) -> room::Outlook {
    let now = runtime::Moment::now();
    let view = call.view().filter(|view| knows_room(call, view, now));
    let outlook = match view {
        Some(view) => {
            let whole = look_at(call, &view, now, |endpoint| {
                call.regions.allows(endpoint.region.as_ref())
            });
            note(call, &whole.supply, now);
            call.cx
                .with_room(&call.service, |room| room.outlook(&whole.supply, now))
        }
        None => call
            .earliest_return()
            .map_or(room::Outlook::Unknown, room::Outlook::In),
    };
    observe::metrics().record_refused(&call.service, outlook.into());
    call.trace.note("outlook", &outlook);
    outlook
}

/// Returns whether the room of the service is known: its endpoints state their load.
fn knows_room(call: &call::Call, view: &direct::ServiceView, now: runtime::Moment) -> bool {
    let mut endpoints = view.endpoints.iter();
    let is_stated = endpoints.any(|endpoint| endpoint.live.load_age(now).is_some());
    call.cx
        .with_room(&call.service, |room| room.note_report(is_stated))
}

/// Adds the figures behind a decision to the log line of the request.
fn note(call: &mut call::Call, supply: &room::Supply, now: runtime::Moment) {
    let waiting = call.cx.with_room(&call.service, |room| room.waiting());
    call.trace
        .note("open", &format_args!("{}/{}", supply.open, supply.total));
    call.trace.note("waiting", &waiting);
    call.trace.note("gap_ms", &supply.gap.as_millis());
    call.trace.note("work_ms", &supply.work.as_millis());
    call.trace.note("slot_in_ms", &supply.wait.as_millis());
    if let Some(next) = supply.next {
        let next = next.saturating_since(now).as_millis();
        call.trace.note("next_ms", &next);
    }
    if let Some(age) = supply.report_age {
        call.trace.note("report_age_ms", &age.as_millis());
    }
}
