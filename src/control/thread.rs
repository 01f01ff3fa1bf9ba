//! The thread that owns the control state.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::FutureExt;

use crate::control;
use crate::system;

/// Time between ticks without events.
const TICK: Duration = Duration::from_millis(250);
/// Least time between ticks: bounds the work of the control thread when
/// events come in quick succession.
const MIN_TICK: Duration = Duration::from_millis(5);
/// Least time between ticks for reports, which come once a second on each
/// connection: with 320 connections each would else have a tick of its own.
const REPORT_TICK: Duration = Duration::from_millis(50);
/// Events that may wait for the control thread.
const EVENT_QUEUE: usize = 16_384;

/// Control state with the systems that run over it, one tick at a time.
pub trait Plane: Send + 'static {
    /// What the plane is told.
    type Event: Send + 'static;
    /// What it asks the I/O tasks to do.
    type Effect: Send + 'static;
    /// What it publishes for traffic.
    type Snapshot: Default + Send + Sync + 'static;

    /// Whether an event may wait some tens of milliseconds for others like it.
    fn can_wait(event: &Self::Event) -> bool;

    /// Runs the systems over the events since the last tick.
    fn tick(&mut self, now: Instant, events: Vec<Self::Event>) -> Outcome<Self>;
}

/// What comes of a tick.
#[derive(Debug)]
pub struct Outcome<P: Plane + ?Sized> {
    /// The new snapshot; `None` where nothing that it shows has changed.
    pub snapshot: Option<P::Snapshot>,
    /// What the I/O tasks are asked to do, in order.
    pub effects: Vec<P::Effect>,
}

/// Systems of a role, in the order in which they run.
pub type Systems = &'static [fn(&mut control::World, &mut control::TickCx)];

/// The tables of a role that reaches endpoints through processes beside them.
#[derive(Debug)]
pub struct Relayed {
    world: control::World,
    systems: Systems,
}

impl Plane for Relayed {
    type Event = control::Event;
    type Effect = control::Effect;
    type Snapshot = control::Snapshot;

    fn can_wait(event: &control::Event) -> bool {
        event.can_wait()
    }

    fn tick(&mut self, now: Instant, events: Vec<control::Event>) -> Outcome<Self> {
        let mut cx = control::TickCx::new(now, events);
        for system in self.systems {
            system(&mut self.world, &mut cx);
        }
        let snapshot = cx
            .changed
            .then(|| system::snapshot::take(&self.world, cx.now));
        self.world.last_tick = cx.now;
        Outcome {
            snapshot,
            effects: cx.effects,
        }
    }
}

/// Handle to the control thread.
#[derive(Debug)]
pub struct Control<P: Plane = Relayed> {
    events: Sender<P::Event>,
    snapshot: Arc<ArcSwap<P::Snapshot>>,
}

impl<P: Plane> Clone for Control<P> {
    fn clone(&self) -> Self {
        Self {
            events: self.events.clone(),
            snapshot: Arc::clone(&self.snapshot),
        }
    }
}

impl Control {
    /// Starts the control thread over these tables. Effects come out of the
    /// returned channel.
    pub fn spawn(
        world: control::World,
        systems: Systems,
    ) -> io::Result<(Self, Receiver<control::Effect>, JoinHandle<()>)> {
        Self::spawn_plane(Relayed { world, systems })
    }
}

impl<P: Plane> Control<P> {
    /// Starts the control thread. Effects come out of the returned channel.
    pub fn spawn_plane(plane: P) -> io::Result<(Self, Receiver<P::Effect>, JoinHandle<()>)> {
        let (events, event_rx) = channel::bounded(EVENT_QUEUE);
        let (effect_tx, effects) = channel::unbounded();
        let snapshot = Arc::new(ArcSwap::from_pointee(P::Snapshot::default()));
        let published = Arc::clone(&snapshot);
        let ticker = Ticker {
            plane,
            events: event_rx,
            effects: effect_tx,
            published,
        };
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || ticker.run())?;
        Ok((Self { events, snapshot }, effects, thread))
    }

    /// The present snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<P::Snapshot> {
        self.snapshot.load_full()
    }

    /// Tells the control thread of an event; waits while its queue is full.
    pub async fn send(&self, event: P::Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("control: event after the end of the control thread");
        }
    }

    /// Tells the control thread of an event that may be lost under overload.
    pub fn send_lossy(&self, event: P::Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("control: event queue is full");
        }
    }

    /// Ends the control thread.
    pub fn close(&self) {
        self.events.close();
    }
}

struct Ticker<P: Plane> {
    plane: P,
    events: Receiver<P::Event>,
    effects: Sender<P::Effect>,
    published: Arc<ArcSwap<P::Snapshot>>,
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
            self.published.store(Arc::new(snapshot));
        }
        for effect in outcome.effects {
            if self.effects.try_send(effect).is_err() {
                return;
            }
        }
    }

    /// Waits for an event or the next tick, while other threads wait for I/O:
    /// a control thread that polled sockets would hold up requests during its
    /// ticks. `None` once the channel is closed.
    async fn wait(&self, last: Instant) -> Option<Vec<P::Event>> {
        let first = async { self.events.recv().await.map(Some) }
            .or(async {
                Timer::at(last + TICK).await;
                Ok(None)
            })
            .await
            .ok()?;
        let mut events: Vec<P::Event> = first.into_iter().collect();
        if !events.is_empty() {
            Timer::at(last + MIN_TICK).await;
        }
        let until = last + REPORT_TICK;
        self.take_waiting(&mut events);
        while !events.is_empty() && events.iter().all(P::can_wait) {
            let next = async { self.events.recv().await.ok() }
                .or(async {
                    Timer::at(until).await;
                    None
                })
                .await;
            let Some(next) = next else { break };
            events.push(next);
            self.take_waiting(&mut events);
        }
        Some(events)
    }

    fn take_waiting(&self, events: &mut Vec<P::Event>) {
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
        }
    }
}
