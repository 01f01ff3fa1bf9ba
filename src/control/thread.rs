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

/// Systems of a role, in the order in which they run.
pub type Systems = &'static [fn(&mut control::World, &mut control::TickCx)];

/// Handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    events: Sender<control::Event>,
    snapshot: Arc<ArcSwap<control::Snapshot>>,
}

impl Control {
    /// Starts the control thread. Effects come out of the returned channel.
    pub fn spawn(
        world: control::World,
        systems: Systems,
    ) -> io::Result<(Self, Receiver<control::Effect>, JoinHandle<()>)> {
        let (events, event_rx) = channel::bounded(EVENT_QUEUE);
        let (effect_tx, effects) = channel::unbounded();
        let snapshot = Arc::new(ArcSwap::from_pointee(control::Snapshot::default()));
        let published = Arc::clone(&snapshot);
        let ticker = Ticker {
            world,
            systems,
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
    pub fn snapshot(&self) -> Arc<control::Snapshot> {
        self.snapshot.load_full()
    }

    /// Tells the control thread of an event; waits while its queue is full.
    pub async fn send(&self, event: control::Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("control: event after the end of the control thread");
        }
    }

    /// Tells the control thread of an event that may be lost under overload.
    pub fn send_lossy(&self, event: control::Event) {
        if self.events.try_send(event).is_err() {
            log::debug!("control: event queue is full");
        }
    }

    /// Ends the control thread.
    pub fn close(&self) {
        self.events.close();
    }
}

struct Ticker {
    world: control::World,
    systems: Systems,
    events: Receiver<control::Event>,
    effects: Sender<control::Effect>,
    published: Arc<ArcSwap<control::Snapshot>>,
}

impl Ticker {
    fn run(mut self) {
        let mut last = Instant::now();
        loop {
            let Some(events) = smol::future::block_on(self.wait(last)) else {
                return;
            };
            last = Instant::now();
            self.tick(control::TickCx::new(last, events));
        }
    }

    fn tick(&mut self, mut cx: control::TickCx) {
        for system in self.systems {
            system(&mut self.world, &mut cx);
        }
        if cx.changed {
            self.published
                .store(Arc::new(system::snapshot::take(&self.world, cx.now)));
        }
        self.world.last_tick = cx.now;
        for effect in cx.effects {
            if self.effects.try_send(effect).is_err() {
                return;
            }
        }
    }

    /// Waits for an event or the next tick, while other threads wait for I/O:
    /// a control thread that polled sockets would hold up requests during its
    /// ticks. `None` once the channel is closed.
    async fn wait(&self, last: Instant) -> Option<Vec<control::Event>> {
        let first = async { self.events.recv().await.map(Some) }
            .or(async {
                Timer::at(last + TICK).await;
                Ok(None)
            })
            .await
            .ok()?;
        let mut events: Vec<control::Event> = first.into_iter().collect();
        if !events.is_empty() {
            Timer::at(last + MIN_TICK).await;
        }
        let until = last + REPORT_TICK;
        self.take_waiting(&mut events);
        while !events.is_empty() && events.iter().all(control::Event::can_wait) {
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

    fn take_waiting(&self, events: &mut Vec<control::Event>) {
        while let Ok(event) = self.events.try_recv() {
            events.push(event);
        }
    }
}
