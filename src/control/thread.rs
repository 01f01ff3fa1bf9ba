//! The thread that owns the control state.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};
use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;

use crate::control;
use crate::system;

/// Time between ticks while no events arrive.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between ticks; bounds the load of the control thread when
/// events arrive in quick succession.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum time between ticks for reports, which arrive once a second on each
/// connection; with 320 connections each report would otherwise cause its own tick.
const MIN_REPORT_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of events queued for the control thread.
const EVENT_QUEUE_CAPACITY: usize = 16_384;

/// Control state of a role with the systems that run over it, one tick at a time.
pub trait Plane: Send + 'static {
    /// Input of the plane; see [`control::Event`].
    type Event: Send + 'static;
    /// I/O action requested from the I/O tasks; see [`control::Effect`].
    type Effect: Send + 'static;
    /// Immutable state published to the traffic threads.
    type Snapshot: Default + Send + Sync + 'static;

    /// Returns whether an event may be delayed by some tens of milliseconds to share
    /// a tick with others of its kind.
    fn is_deferrable(event: &Self::Event) -> bool;

    /// Runs all systems over the events received since the last tick.
    fn tick(&mut self, now: Instant, events: Vec<Self::Event>) -> Outcome<Self>;
}

/// Result of a tick.
#[derive(Debug)]
pub struct Outcome<P: Plane + ?Sized> {
    /// The new snapshot; `None` if nothing that it contains has changed.
    pub snapshot: Option<P::Snapshot>,
    /// Actions for the I/O tasks, in order.
    pub effects: Vec<P::Effect>,
}

/// The systems of a role, in execution order.
pub type Systems = &'static [fn(&mut control::World, &mut control::TickCx)];

/// Control plane of the entry and sidecar roles, which reach endpoints through
/// sidecars.
#[derive(Debug)]
pub struct SidecarPlane {
    world: control::World,
    systems: Systems,
}

impl Plane for SidecarPlane {
    type Event = control::Event;
    type Effect = control::Effect;
    type Snapshot = control::Snapshot;

    fn is_deferrable(event: &control::Event) -> bool {
        event.is_deferrable()
    }

    fn tick(&mut self, now: Instant, events: Vec<control::Event>) -> Outcome<Self> {
        let mut cx = control::TickCx::new(now, events);
        for system in self.systems {
            system(&mut self.world, &mut cx);
        }
        let snapshot = cx
            .changed
            .then(|| system::snapshot::build(&self.world, cx.now));
        self.world.last_tick = cx.now;
        Outcome {
            snapshot,
            effects: cx.effects,
        }
    }
}

/// Handle to the control thread; clones share the same thread.
#[derive(Debug)]
pub struct Control<P: Plane = SidecarPlane> {
    events: Sender<P::Event>,
    snapshot: Arc<ArcSwap<P::Snapshot>>,
    published: Arc<Event>,
}

impl<P: Plane> Clone for Control<P> {
    fn clone(&self) -> Self {
        Self {
            events: self.events.clone(),
            snapshot: Arc::clone(&self.snapshot),
            published: Arc::clone(&self.published),
        }
    }
}

impl Control {
    /// Starts the control thread over these tables. Effects are sent to the
    /// returned channel. Fails if the thread cannot be spawned.
    pub fn spawn(
        world: control::World,
        systems: Systems,
    ) -> io::Result<(Self, Receiver<control::Effect>, JoinHandle<()>)> {
        Self::spawn_plane(SidecarPlane { world, systems })
    }
}

impl<P: Plane> Control<P> {
    /// Starts the control thread for any plane. Effects are sent to the returned
    /// channel. Fails if the thread cannot be spawned.
    pub fn spawn_plane(plane: P) -> io::Result<(Self, Receiver<P::Effect>, JoinHandle<()>)> {
        let (events, event_rx) = channel::bounded(EVENT_QUEUE_CAPACITY);
        let (effect_tx, effects) = channel::unbounded();
        let snapshot = Arc::new(ArcSwap::from_pointee(P::Snapshot::default()));
        let published = Arc::new(Event::new());
        let ticker = Ticker {
            plane,
            events: event_rx,
            effects: effect_tx,
            snapshot: Arc::clone(&snapshot),
            published: Arc::clone(&published),
        };
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || ticker.run())?;
        let control = Self {
            events,
            snapshot,
            published,
        };
        Ok((control, effects, thread))
    }

    /// Returns the latest published snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<P::Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns a listener for the next published snapshot.
    #[must_use]
    pub fn next_snapshot(&self) -> EventListener {
        self.published.listen()
    }

    /// Sends an event to the control thread; waits while the event queue is full.
    pub async fn send(&self, event: P::Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("control: event discarded, the control thread has ended");
        }
    }

    /// Sends an event to the control thread, or drops it if the event queue is full.
    pub fn send_or_drop(&self, event: P::Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("control: event discarded, the event queue is full");
        }
    }

    /// Closes the event queue; the control thread ends after the queued events.
    pub fn close(&self) {
        self.events.close();
    }
}

struct Ticker<P: Plane> {
    plane: P,
    events: Receiver<P::Event>,
    effects: Sender<P::Effect>,
    snapshot: Arc<ArcSwap<P::Snapshot>>,
    published: Arc<Event>,
}

impl<P: Plane> Ticker<P> {
    fn run(mut self) {
        let mut last = Instant::now();
        loop {
            let Some(events) = smol::future::block_on(self.wait(last)) else {
                return;
            };
            last = Instant::now();
            self.tick(last, events);
        }
    }

    fn tick(&mut self, now: Instant, events: Vec<P::Event>) {
        let outcome = self.plane.tick(now, events);
        if let Some(snapshot) = outcome.snapshot {
            self.snapshot.store(Arc::new(snapshot));
            self.published.notify(usize::MAX);
        }
        for effect in outcome.effects {
            if self.effects.try_send(effect).is_err() {
                return;
            }
        }
    }

    /// Waits for events or the next idle tick; `None` once the queue is closed. Only
    /// other threads wait for I/O: if the control thread polled sockets, its ticks
    /// would delay requests.
    async fn wait(&self, last: Instant) -> Option<Vec<P::Event>> {
        let first = async { self.events.recv().await.map(Some) }
            .or(async {
                Timer::at(last + IDLE_TICK_INTERVAL).await;
                Ok(None)
            })
            .await
            .ok()?;
        let mut events: Vec<P::Event> = first.into_iter().collect();
        if !events.is_empty() {
            Timer::at(last + MIN_TICK_INTERVAL).await;
        }
        let until = last + MIN_REPORT_TICK_INTERVAL;
        self.drain_queue(&mut events);
        while !events.is_empty() && events.iter().all(P::is_deferrable) {
            let next = async { self.events.recv().await.ok() }
                .or(async {
                    Timer::at(until).await;
                    None
                })
                .await;
            let Some(next) = next else { break };
            events.push(next);
            self.drain_queue(&mut events);
        }
        Some(events)
    }

    fn drain_queue(&self, events: &mut Vec<P::Event>) {
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
        }
    }
}
