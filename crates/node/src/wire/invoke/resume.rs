//! Deferred calls that a process before this one accepted and did not finish, and whose class may be repeated.
use super::InvokeApi;
use crate::core::{monotonic_ms, Answer, Call, Failure, NotTaken, Taken};
use crate::life::spawn;
use crate::memory::invocations::{Deferred, Promise, Resumable};
use crate::timers;
use corkbay::{position, Effect, Request};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two tries to find room for a call.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

impl InvokeApi {
    /// Runs again, in what is left of its time, each call that was found open at the start; one that can't be run again
    /// fails, as it may have run.
    pub fn resume(self: &Arc<Self>) {
        let calls = self.invocations.take_resumable();
        if calls.is_empty() {
            return;
        }
        tracing::info!(calls = calls.len(), "deferred calls of an earlier process are run again");
        let api = self.clone();
        spawn(move || calls.into_iter().for_each(|call| api.resume_one(call)));
    }

    fn resume_one(self: &Arc<Self>, Resumable { id, deferred, rerun }: Resumable) {
        let (promise, expires) = (self.invocations.promise_again(&deferred), rerun.expires());
        let Some(call) =
            self.call_again(&deferred, Request { id, expires, ..Request::default() }, rerun.body)
        else {
            return self.fail_resumed(&deferred, promise, id, false);
        };
        match self.take_again(call) {
            Some(taken) => {
                let api = self.clone();
                spawn(move || api.run_again(&taken, promise));
            }
            None => self.fail_resumed(&deferred, promise, id, true),
        }
    }

    /// The call as it was; none where its function has gone or may no longer be repeated.
    fn call_again(&self, deferred: &Deferred, request: Request, body: Vec<u8>) -> Option<Call> {
        let name = deferred.function.clone();
        let function = self.catalog.function(&name)?;
        let class = position(&self.invoker.names.classes, &function.class)?;
        if self.invoker.settings.classes[class].effect != Effect::Repeatable {
            return None;
        }
        let request = Request {
            class,
            tenant: position(&self.invoker.names.tenants, &function.tenant),
            model: function.model(&name),
            memory: function.memory_mb,
            lanes: f64::from(function.lanes),
            cost_hint: function.cost_ms,
            ..request
        };
        Some(Call { request, class_name: function.class.clone(), function: name, key: None, body })
    }

    /// Takes the call in once there is room; none where its time is up before that.
    fn take_again(&self, call: Call) -> Option<Taken> {
        while monotonic_ms() < call.request.expires {
            match self.invoker.take(call.clone()) {
                Ok(taken) => return Some(taken),
                Err(NotTaken::Crowded(_)) => timers::sleep(ROOM_PAUSE),
                Err(NotTaken::Open | NotTaken::Draining) => return None,
            }
        }
        None
    }

    fn run_again(&self, taken: &Taken, promise: Promise) {
        let answer = match self.serve(taken, None) {
            // The earlier process may have had it run.
            Answer::Refused { retry_after, known } => {
                Answer::Refused { retry_after, known: Failure { may_have_run: true, ..known } }
            }
            Answer::Failed(known) => Answer::Failed(Failure { may_have_run: true, ..known }),
            answer => answer,
        };
        self.invocations.finish(taken.call().request.id, None, &answer, Some(promise));
    }

    fn fail_resumed(&self, deferred: &Deferred, promise: Promise, id: corkbay::RequestId, late: bool) {
        tracing::info!(function = %deferred.function, late, "a deferred call can't be run again");
        let answer = Answer::Failed(Failure { may_have_run: true, late });
        self.invocations.finish(id, None, &answer, Some(promise));
    }
}
