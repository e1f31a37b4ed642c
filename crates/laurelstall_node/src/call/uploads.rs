//! Paces the bodies of attempts at guards on other hosts, and refuses those that the link cannot send in time.

use super::{Call, Destination};
use crate::{
    body::full_body,
    call_request::CallOutcome,
    link_pacer::LinkPacer,
    paced_body::{Sending, pace},
    target_guard::ADMITTED_BODY_TIMEOUT,
};
use http::HeaderMap;
use http_body::Body;
use laurelstall_balance::service_balancer::AttemptResult;
use laurelstall_guard::refusal::RefusalReason;
use laurelstall_link::{link_admission::LinkCall, link_scheduler::SMALL_BODY_BYTES};
use laurelstall_peer::attempt::AttemptBody;
use std::sync::Arc;

impl Call<'_> {
    /// Returns the pacer if the call's service uses it and the destination is on another host.
    fn upload_link(&self, destination: &Destination) -> Option<&Arc<LinkPacer>> {
        let link = self.context.link.as_ref()?;
        let is_used = destination.host != self.context.host && self.service.balancer().limits().load.link;
        is_used.then_some(link)
    }

    /// Refuses the call if its body cannot be sent to the destination in time.
    ///
    /// A call with a ticket is not refused here: only the guard of the ticket can rule out that the call runs.
    pub(super) fn refuse_upload(&mut self, destination: &Destination) -> Option<CallOutcome> {
        let bytes = match self.body.as_ref()? {
            AttemptBody::Whole(bytes) => bytes.len() as u64,
            AttemptBody::Stream(body) => body.size_hint().lower(),
        };
        let link = self.upload_link(destination).filter(|_| self.request.ticket.is_none())?;
        let useful_us = self.useful_us(self.context.clock.now_us());
        let is_sent_after_admission = self.sends_body_after_admission(false);
        let admitted_us = ADMITTED_BODY_TIMEOUT.as_micros() as u64;
        let call = LinkCall {
            class: self.request.class,
            importance: self.importance(),
            is_nested: self.request.is_nested,
            useful_us: if is_sent_after_admission { useful_us.min(admitted_us) } else { useful_us },
        };
        let refusal = link.admit_upload(&call, bytes).err()?;
        self.record_result(destination, AttemptResult::NotRun);
        self.last_refusal = Some(refusal);
        Some(self.give_up(RefusalReason::Busy))
    }

    /// Wraps a body that is sent to a guard on another host so that it is paced.
    pub(super) fn paced_upload(&mut self, destination: &Destination, body: AttemptBody) -> AttemptBody {
        let Some(link) = self.upload_link(destination) else { return body };
        let sending = Sending { importance: self.importance(), read_ahead_bytes: 0, learned_class: None };
        let no_headers = HeaderMap::new();
        match body {
            AttemptBody::Whole(bytes) if bytes.len() as u64 <= SMALL_BODY_BYTES => {
                link.count_unpaced(bytes.len() as u64);
                AttemptBody::Whole(bytes)
            }
            AttemptBody::Whole(bytes) => {
                AttemptBody::Stream(pace(link, sending, &no_headers, full_body(bytes)))
            }
            // A refused attempt returns the stream, which is then paced already.
            AttemptBody::Stream(body) if self.is_stream_paced => AttemptBody::Stream(body),
            AttemptBody::Stream(body) => {
                let body = pace(link, sending, &no_headers, body);
                self.is_stream_paced = true;
                AttemptBody::Stream(body)
            }
        }
    }
}
