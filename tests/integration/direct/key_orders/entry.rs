//! The decisions of one entry, from the reads of the operator's topic to the admission.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use quetzalworks::direct::{
    Batch, Event, Plane, PollSettings, Scope, Snapshot, Source, TopicReads, World,
};
use quetzalworks::ids::Position;
use quetzalworks::observe::LeftOut;
use quetzalworks::peers::{
    Duty, FollowEnd, FollowLimits, Follower, Poll, PollAnswer, RelayLog, RelayRecord,
};
use quetzalworks::platform::operator;
use quetzalworks::runtime::Moment;

use crate::direct::key_orders::store::{Answer, Record, Store};
use crate::direct::world::settings;

/// Time limit of a call of the store, besides its wait.
const CALL_LIMIT: u64 = 1_200;
/// Pause after a failed read.
const RETRY_PAUSE: u64 = 400;

/// Path between an entry and the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    /// Answers take so many milliseconds.
    Up(u64),
    Refusing,
    /// Calls are executed, but their answers are lost.
    Deaf,
}

/// A call in progress.
enum Call {
    Read {
        started: u64,
        from: Option<Position>,
        /// End that the first page of a listing has stated.
        listed_end: Option<Position>,
        executes_at: u64,
        wait_until: u64,
    },
    Answered {
        started: u64,
        from: Option<Position>,
        answer: Answer,
        arrives_at: u64,
    },
    Failed {
        ends_at: u64,
    },
    Polling {
        asked: u64,
        from: Position,
        poll: Poll,
        reader: usize,
        arrives_at: u64,
        gives_up_at: u64,
    },
    PollAnswered {
        asked: u64,
        from: Position,
        answer: Result<PollAnswer, FollowEnd>,
        arrives_at: u64,
    },
}

pub struct Entry {
    pub link: Link,
    pub duty: Duty,
    /// Time until which the process does not run.
    pub frozen_until: u64,
    pub relay: RelayLog,
    pub snapshot: Arc<Snapshot>,
    plane: Plane,
    reads: TopicReads,
    follower: Follower,
    was_reader: bool,
    call: Option<Call>,
    idle_until: u64,
    events: Vec<Event>,
    tick_at: u64,
}

pub fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

impl Entry {
    pub fn start(duty: Duty, link: Link) -> Self {
        let settings = settings();
        let limits = FollowLimits::new(Source::Operator, &settings.bounds);
        Self {
            link,
            duty,
            frozen_until: 0,
            relay: RelayLog::default(),
            snapshot: Arc::default(),
            plane: Plane::new(World::new(settings)),
            reads: TopicReads::default(),
            follower: Follower::new(Source::Operator, limits),
            was_reader: false,
            call: None,
            idle_until: 0,
            events: Vec::new(),
            tick_at: 0,
        }
    }

    /// Moves on to `now`.
    pub fn step(&mut self, store: &Store, rng: &mut Rng, now: u64) {
        self.run_store_side(store, rng, now);
        if now < self.frozen_until {
            return;
        }
        self.finish_call(now);
        if self.call.is_none() && now >= self.idle_until {
            self.begin_call(rng, now);
        }
        if now >= self.tick_at && !self.events.is_empty() {
            let outcome = self.plane.step(at(now), std::mem::take(&mut self.events));
            if let Some(snapshot) = outcome.snapshot {
                self.snapshot = Arc::new(snapshot);
            }
            self.tick_at = now + rng.u64(5..60);
        }
    }

    fn begin_call(&mut self, rng: &mut Rng, now: u64) {
        let bounds = settings().bounds;
        let position = self.reads.next(at(now));
        let is_reader = self.duty == Duty::Read;
        if self.was_reader && !is_reader {
            self.relay.stop();
        }
        self.was_reader = is_reader;
        self.follower.plan(&self.duty, at(now));
        let following = self.follower.following().map(|known| known.addr.port());
        if let (Some(from), Some(reader)) = (position, following) {
            self.call = Some(match self.follower.poll(from, at(now)) {
                Some((poll, limit)) => Call::Polling {
                    asked: now,
                    from,
                    poll,
                    reader: usize::from(reader),
                    arrives_at: now + rng.u64(1..30),
                    gives_up_at: now + millis(limit),
                },
                None => Call::PollAnswered {
                    asked: now,
                    from,
                    answer: Err(FollowEnd::Stale),
                    arrives_at: now,
                },
            });
            return;
        }
        let usual = match self.duty {
            Duty::Read => FollowLimits::new(Source::Operator, &bounds).reader_wait,
            _ => PollSettings::new(Source::Operator, &bounds).wait,
        };
        let wait = self.reads.wait(self.follower.read_wait(usual), at(now));
        let latency = match self.link {
            Link::Up(ms) => ms,
            _ => 4,
        };
        self.call = Some(Call::Read {
            started: now,
            from: position,
            listed_end: None,
            executes_at: now + latency,
            wait_until: now + latency + millis(wait),
        });
    }

    /// What happens to a call of the store at the store.
    fn run_store_side(&mut self, store: &Store, rng: &mut Rng, now: u64) {
        let Some(Call::Read {
            started,
            from,
            listed_end,
            executes_at,
            wait_until,
        }) = &mut self.call
        else {
            return;
        };
        let (started, from) = (*started, *from);
        let latency = match self.link {
            Link::Refusing => {
                let ends_at = now + 4;
                self.call = Some(Call::Failed { ends_at });
                return;
            }
            Link::Deaf => {
                let ends_at = *wait_until + CALL_LIMIT;
                self.call = Some(Call::Failed { ends_at });
                return;
            }
            Link::Up(ms) => ms,
        };
        if now < *executes_at {
            return;
        }
        let answer = match (from, *listed_end) {
            (Some(from), _) if !store.has_news(from) && now < *wait_until => return,
            (Some(from), _) => store.read(from),
            (None, None) => {
                *listed_end = Some(store.end());
                *executes_at = now + rng.u64(0..80);
                return;
            }
            (None, Some(end)) => store.list(end),
        };
        self.call = Some(Call::Answered {
            started,
            from,
            answer,
            arrives_at: now + latency,
        });
    }

    fn finish_call(&mut self, now: u64) {
        match self.call.take() {
            Some(Call::Answered {
                started,
                from,
                answer,
                arrives_at,
            }) if now >= arrives_at => self.take_answer(started, from, answer, now),
            Some(Call::Failed { ends_at }) if now >= ends_at => {
                if self.was_reader {
                    self.relay.fail();
                }
                let failed = Event::ReadFailed(Source::Operator, "test".into());
                self.events.push(failed);
                self.idle_until = now + RETRY_PAUSE;
            }
            Some(Call::Polling {
                asked,
                from,
                gives_up_at,
                ..
            }) if now >= gives_up_at => {
                self.take_page(asked, from, Err(FollowEnd::Silent), now);
            }
            Some(Call::PollAnswered {
                asked,
                from,
                answer,
                arrives_at,
            }) if now >= arrives_at => self.take_page(asked, from, answer, now),
            call => self.call = call,
        }
    }

    fn take_answer(&mut self, started: u64, from: Option<Position>, answer: Answer, now: u64) {
        let Answer::Records {
            records,
            end,
            lacking,
        } = answer
        else {
            self.reads.record_position_lost();
            return;
        };
        let (scope, proof) = if from.is_none() {
            self.reads.record_listing(end, true, at(started), at(now))
        } else {
            let proof = self.reads.record_read(end, lacking, at(started));
            (Scope::News, proof)
        };
        let confirmed = proof.confirmed();
        self.follower.record_read(confirmed);
        if self.duty == Duty::Read {
            match from {
                None => self.relay.restart(end, confirmed),
                Some(from) => {
                    let relayed = records.iter().map(|(offset, record)| {
                        let record = RelayRecord::from((
                            quetzalworks::ids::Offset(*offset),
                            record.key.into(),
                            Some(record.value.clone()),
                        ));
                        (record, None)
                    });
                    self.relay.append(relayed, from, end.offset, confirmed);
                }
            }
        }
        let records = records.into_iter().map(|(_, record)| record);
        self.push(scope, records, end, confirmed);
    }

    fn take_page(
        &mut self,
        asked: u64,
        from: Position,
        answer: Result<PollAnswer, FollowEnd>,
        now: u64,
    ) {
        let result = self
            .follower
            .record_answer(from, at(asked), at(now), answer);
        let Ok((page, confirmed)) = result else {
            return;
        };
        let end = Position {
            offset: page.end.max(from.offset),
            ..from
        };
        let proof = self.reads.record_page(end, confirmed);
        let news = page.records.into_iter().filter(|r| r.offset >= from.offset);
        let records = news.map(|record| Record {
            key: if &*record.key == "config" {
                "config"
            } else {
                "notes"
            },
            value: record.value.unwrap_or_default(),
        });
        self.push(Scope::News, records, end, proof.confirmed());
    }

    fn push(
        &mut self,
        scope: Scope,
        records: impl Iterator<Item = Record>,
        end: Position,
        confirmed: Option<Moment>,
    ) {
        let decode = |record: Record| {
            let value = record.value.into();
            operator::decode(record.key, Some(&value), &mut LeftOut::default())
        };
        self.events.push(Event::Operator(Batch {
            scope,
            items: records.filter_map(decode).collect(),
            end,
            confirmed,
        }));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

/// Lets the polls of followers reach their readers, and be answered.
pub fn exchange(entries: &mut [Entry], rng: &mut Rng, now: u64) {
    for i in 0..entries.len() {
        let Some(Call::Polling {
            asked,
            from,
            poll,
            reader,
            arrives_at,
            ..
        }) = &entries[i].call
        else {
            continue;
        };
        let (asked, from, poll, reader, arrived) = (*asked, *from, *poll, *reader, *arrives_at);
        if now < arrived || now < entries[reader].frozen_until {
            continue;
        }
        if let Some(answer) = entries[reader].relay.answer(&poll, at(arrived), at(now)) {
            entries[i].call = Some(Call::PollAnswered {
                asked,
                from,
                answer: Ok(answer),
                arrives_at: now + rng.u64(1..30),
            });
        }
    }
}
