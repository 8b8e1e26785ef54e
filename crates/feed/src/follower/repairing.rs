//! Requests records that were left out once there is room for them.
use super::{Follower, FollowerState};
use crate::{BucketNumber, BucketSet, ChangeOrder, FeedRecord, FollowerMessage, LeftOutRecords, Ms, Records};

/// Less room than this is not used, in bytes: hardly any record is smaller.
const MIN_ROOM_BYTES: usize = 512;
/// Maximum number of hashes in a request, which keeps the message below the control node's limit. If the follower holds
/// more records in a bucket, it is sent some of them again.
const MAX_HELD_HASHES: usize = 640;
/// Pauses after consecutive requests that led to nothing, in milliseconds: the first one, doubled each time up to the
/// maximum.
const FIRST_PAUSE_MS: Ms = 1000.0;
const MAX_PAUSE_MS: Ms = 60_000.0;

/// The state of the requests for records that were left out.
#[derive(Debug)]
pub(super) struct Repair {
    /// Whether the control node answers such requests, as those of earlier versions don't.
    is_offered: bool,
    /// The bucket of a request that wasn't answered, or whose answer is being written.
    requested: Option<BucketNumber>,
    /// The bucket of the last request; the next request is for the next bucket after it.
    last: BucketNumber,
    next_at: Ms,
    pause_ms: Ms,
    /// The room at the last request, in bytes.
    room_bytes: usize,
}

impl Repair {
    pub fn new() -> Self {
        Repair {
            is_offered: false,
            requested: None,
            last: BucketNumber(u8::MAX),
            next_at: Ms::MIN,
            pause_ms: FIRST_PAUSE_MS,
            room_bytes: 0,
        }
    }

    pub fn offer(&mut self) {
        self.is_offered = true;
    }

    /// Whether an answer for this bucket is expected.
    pub fn expects(&self, bucket: BucketNumber) -> bool {
        self.requested == Some(bucket)
    }

    /// Abandons a request, as its answer won't come.
    pub fn abandon(&mut self) {
        self.requested = None;
    }

    /// Resets what is known of the control node. A request that wasn't answered counts as one that led to nothing: it may
    /// be the reason why the connection ended.
    pub fn disconnected(&mut self, now: Ms) {
        if self.requested.is_some() {
            self.finished(false, now);
        }
        self.is_offered = false;
    }

    /// Reports that an answer is on disk, and whether a record or bucket less is left out now.
    pub fn finished(&mut self, has_progressed: bool, now: Ms) {
        self.requested = None;
        if has_progressed {
            self.pause_ms = FIRST_PAUSE_MS;
            self.next_at = now;
        } else {
            self.next_at = now + self.pause_ms;
            self.pause_ms = (2.0 * self.pause_ms).min(MAX_PAUSE_MS);
        }
    }

    /// The bucket to request now, if a request is due.
    fn next(&mut self, left_out: &BucketSet, room_bytes: usize, now: Ms) -> Option<BucketNumber> {
        let has_more_room = room_bytes >= self.room_bytes.saturating_add(MIN_ROOM_BYTES);
        let is_due = now >= self.next_at || has_more_room;
        if !self.is_offered || self.requested.is_some() || room_bytes < MIN_ROOM_BYTES || !is_due {
            return None;
        }
        let bucket = left_out.next_after(self.last)?;
        (self.requested, self.last, self.room_bytes) = (Some(bucket), bucket, room_bytes);
        Some(bucket)
    }
}

impl<R: FeedRecord, O: ChangeOrder<R>> Follower<R, O> {
    /// Reports how many bytes of records there is room for. Requests some of the records that were left out, if that is
    /// due. To be called regularly.
    pub fn report_room(&mut self, room_bytes: usize, records: &impl Records<R>, now: Ms) {
        let Some(progress) = self.progress else { return };
        let is_following = matches!(self.state, FollowerState::Following { .. });
        if !is_following || !self.in_flight.is_empty() {
            return;
        }
        let Some(bucket) = self.repair.next(&progress.left_out, room_bytes, now) else { return };
        let held = records.bucket(bucket).into_iter().map(|(_, hash)| hash).take(MAX_HELD_HASHES).collect();
        self.send(FollowerMessage::Repair { bucket, held, max_bytes: room_bytes as u64 });
    }

    /// Notes the result of a repair that is on disk.
    pub(super) fn finish_repair(
        &mut self,
        bucket: BucketNumber,
        records: usize,
        left_out: LeftOutRecords,
        now: Ms,
    ) {
        if !self.repair.expects(bucket) {
            return;
        }
        let is_complete = self.progress.is_some_and(|progress| !progress.left_out.contains(bucket));
        self.repair.finished(is_complete || records > left_out.count(), now);
    }
}
