//! Resumes deferred calls that an earlier process accepted and did not finish, if their class may be repeated.
use super::InvokeApi;
use crate::core::{monotonic_ms, AcceptedRequest, AdmissionError, Answer, Call, Failure};
use crate::lifecycle::spawn;
use crate::state::invocations::{AcceptedCall, Deferred, Resumable};
use crate::timers;
use corkbay::{position, Effect, Request};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two attempts to have a call accepted while the invoker is full.
const FULL_RETRY_PAUSE: Duration = Duration::from_millis(50);

impl InvokeApi {
    /// Runs each call again that was found unfinished at the start, within the time left to its deadline. A call that
    /// can't be run again fails with "may have run".
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
        let (accepted_call, expires) = (self.invocations.accept_again(&deferred), rerun.expires());
        let Some(call) =
            self.call_again(&deferred, Request { id, expires, ..Request::default() }, rerun.body)
        else {
            return self.fail_resumed(&deferred, accepted_call, id, false);
        };
        match self.accept_again(call) {
            Some(accepted) => {
                let api = self.clone();
                spawn(move || api.run_accepted(&accepted, accepted_call));
            }
            None => self.fail_resumed(&deferred, accepted_call, id, true),
        }
    }

    /// Rebuilds the call; none when its function was removed or may no longer be repeated.
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

    /// Submits the call until there is room for it; none when its deadline passes first, or when it can't be
    /// accepted.
    fn accept_again(&self, call: Call) -> Option<AcceptedRequest> {
        while monotonic_ms() < call.request.expires {
            match self.invoker.accept(call.clone()) {
                Ok(accepted) => return Some(accepted),
                Err(AdmissionError::Overloaded(_)) => timers::sleep(FULL_RETRY_PAUSE),
                Err(AdmissionError::DuplicateId | AdmissionError::RepeatedId | AdmissionError::Draining) => {
                    return None
                }
            }
        }
        None
    }

    fn run_accepted(&self, accepted: &AcceptedRequest, accepted_call: AcceptedCall) {
        let answer = match self.serve(accepted, None) {
            // An attempt of the earlier process may have run.
            Answer::Refused { retry_after, known } => {
                Answer::Refused { retry_after, known: Failure { may_have_run: true, ..known } }
            }
            Answer::Failed(known) => Answer::Failed(Failure { may_have_run: true, ..known }),
            answer => answer,
        };
        self.invocations.finish(accepted.call().request.id, None, &answer, Some(accepted_call));
    }

    fn fail_resumed(
        &self,
        deferred: &Deferred,
        accepted_call: AcceptedCall,
        id: corkbay::RequestId,
        late: bool,
    ) {
        tracing::info!(function = %deferred.function, late, "a deferred call can't be run again");
        let answer = Answer::Failed(Failure { may_have_run: true, late });
        self.invocations.finish(id, None, &answer, Some(accepted_call));
    }
}
