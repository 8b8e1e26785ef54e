//! Sends followers records that they left out for want of room, as they ask for them.
use super::{Feed, SessionNumber};
use crate::repair::{MissingRecords, RepairRequest};
use crate::session::Stage;
use crate::{CloseReason, ControlMessage, FeedRecord, Ms, Records};

impl<R: FeedRecord> Feed<R> {
    /// Notes in how many buckets a follower left out records. The first time, tells it that it may ask for them.
    pub(super) fn note_left_out(&mut self, number: SessionNumber, left_out_buckets: u16, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.left_out_buckets = left_out_buckets;
        if left_out_buckets > 0 && !std::mem::replace(&mut session.is_repair_offered, true) {
            self.send(number, ControlMessage::OfferRepair, now);
        }
    }

    /// Queues a request; it is answered as far as the rate limit of differences allows. A request that crosses the
    /// beginning of a comparison is ignored, as the comparison leads to the same records.
    pub(super) fn handle_repair(&mut self, number: SessionNumber, request: RepairRequest) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        match session.stage {
            Stage::Following(_) if session.repair.is_none() => {
                session.repair = Some(request);
                self.copies.queue_page(number);
            }
            Stage::AwaitingBuckets => {}
            _ => self.close(number, CloseReason::Unexpected),
        }
    }

    /// Answers the request of a session, if it has one.
    pub(super) fn send_missing(&mut self, number: SessionNumber, records: &impl Records<R>, now: Ms) {
        let Some(session) = self.sessions.get_mut(&number) else { return };
        let Some(request) = session.repair.take() else { return };
        let missing = MissingRecords::select(&request, records, self.limits.page_bytes);
        self.copies.tokens.consume(missing.bytes);
        self.counters.repairs += 1;
        self.counters.repair_bytes += missing.bytes as u64;
        let MissingRecords { records, skipped, .. } = missing;
        self.send(number, ControlMessage::Missing { bucket: request.bucket, records, skipped }, now);
    }
}
