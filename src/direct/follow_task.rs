//! Part of a task that follows a topic which deals with the other entries.

use std::sync::Arc;
use std::time::Duration;

use crate::direct;
use crate::direct::feed;
use crate::http;
use crate::ids;
use crate::observe;
use crate::peers;
use crate::runtime;

/// What the tasks of an entry need to share reads with other entries.
#[derive(Clone, Debug)]
pub struct SharedReads {
    /// Records that this entry passes on.
    pub relays: Arc<peers::Relays>,
    /// Time limits for the topic.
    pub limits: peers::FollowLimits,
    /// Runs the connections to the followed entry.
    pub traffic: runtime::Traffic,
}

/// Course of one topic, with the connection to the followed entry.
#[derive(Debug)]
pub struct FollowTask {
    shared: SharedReads,
    source: direct::Source,
    follower: peers::Follower,
    client: Option<http::Client>,
    is_reader: bool,
}

impl FollowTask {
    pub(super) fn new(shared: SharedReads, source: direct::Source) -> Self {
        Self {
            follower: peers::Follower::new(source, shared.limits),
            shared,
            source,
            client: None,
            is_reader: false,
        }
    }

    /// Adopts the duty of this entry.
    pub(super) fn plan(&mut self, duty: &peers::Duty) {
        let is_reader = *duty == peers::Duty::Read;
        if self.is_reader && !is_reader {
            self.shared
                .relays
                .update(self.source, peers::RelayLog::stop);
        }
        self.is_reader = is_reader;
        let now = runtime::Moment::now();
        let was_following = self.is_following();
        self.follower.plan(duty, now);
        match self.follower.following() {
            Some(following) if !was_following => {
                log::info!(target: "peers", source:% = self.source, reader:% = following.reader,
                    age_ms:% = self.follower.age(now).as_millis(); "follows an entry that reads the store");
                let traffic = self.shared.traffic.clone();
                self.client = Some(http::Client::new(following.addr, traffic));
            }
            None if was_following => self.log_end(peers::FollowEnd::Replaced, now),
            _ => {}
        }
    }

    pub(super) const fn is_following(&self) -> bool {
        self.follower.following().is_some()
    }

    /// Returns how long the next read waits for records, where those of an entry that does not
    /// read for others wait for `alone`.
    pub(super) fn read_wait(&self, duty: &peers::Duty, alone: Duration) -> Duration {
        let usual = match duty {
            peers::Duty::Read => self.shared.limits.reader_wait,
            _ => alone,
        };
        self.follower.read_wait(usual)
    }

    /// Polls the followed entry at `asked` for the records from `from` on, and returns them with
    /// the time as of which they lack nothing. On failure, this entry reads for itself.
    pub(super) async fn poll(
        &mut self,
        from: ids::Position,
        asked: runtime::Moment,
    ) -> Result<(peers::RelayedPage, runtime::Moment), peers::FollowEnd> {
        let answer = self.ask(from, asked).await;
        let now = runtime::Moment::now();
        let result = self.follower.record_answer(from, asked, now, answer);
        match &result {
            Ok((_, confirmed)) => {
                let topic = self.source.into();
                observe::metrics().record_relay_received(topic, now.saturating_since(*confirmed));
                if !self.is_following() {
                    self.log_end(peers::FollowEnd::Stale, now);
                }
            }
            Err(reason) => self.log_end(*reason, now),
        }
        result
    }

    async fn ask(
        &self,
        from: ids::Position,
        asked: runtime::Moment,
    ) -> Result<peers::PollAnswer, peers::FollowEnd> {
        let client = self.client.as_ref().ok_or(peers::FollowEnd::Unreachable)?;
        let (poll, limit) = self
            .follower
            .poll(from, asked)
            .ok_or(peers::FollowEnd::Stale)?;
        Ok(peers::poll(client, &poll, limit).await?)
    }

    fn log_end(&self, reason: peers::FollowEnd, now: runtime::Moment) {
        observe::metrics().record_follow_end(self.source.into(), reason.into());
        log::info!(target: "peers", source:% = self.source, reason:% = reason,
            age_ms:% = self.follower.age(now).as_millis(); "reads the store for itself");
    }

    /// Records a read of the store by this entry, which continued `from` or was a listing.
    pub(super) fn record_read(
        &mut self,
        duty: &peers::Duty,
        from: Option<ids::Position>,
        batch: &feed::RawBatch,
    ) {
        self.follower.record_read(batch.confirmed);
        if *duty != peers::Duty::Read {
            return;
        }
        self.shared.relays.update(self.source, |log| match from {
            Some(from) => {
                let records = self.relayed(batch);
                log.append(records, from, batch.end.offset, batch.confirmed);
            }
            None => log.restart(batch.end, batch.confirmed),
        });
    }

    /// Returns the records of a batch, with what they tell of an endpoint.
    fn relayed(
        &self,
        batch: &feed::RawBatch,
    ) -> Vec<(peers::RelayRecord, Option<direct::EndpointChange>)> {
        let records = batch.offsets.iter().zip(&batch.records);
        records
            .map(|(offset, (key, value))| {
                let change = match self.source {
                    direct::Source::Endpoints => {
                        // The batch names what is left out when it is decoded itself.
                        let mut left_out = observe::LeftOut::default();
                        feed::decode_record(key, value.as_ref(), &mut left_out)
                    }
                    _ => None,
                };
                let record = peers::RelayRecord {
                    offset: *offset,
                    key: Arc::clone(key),
                    value: value.as_ref().map(|value| value.to_vec()),
                };
                (record, change)
            })
            .collect()
    }

    /// Records a failed read of the store by this entry.
    pub(super) fn record_failure(&self) {
        if self.is_reader {
            self.shared
                .relays
                .update(self.source, peers::RelayLog::fail);
        }
    }
}
