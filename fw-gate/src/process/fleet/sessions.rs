//! Which upstream served a session last.

use std::collections::{HashMap, VecDeque};

use fw_base::id;
use smol_str::SmolStr;

/// Sessions whose upstream is remembered.
const SESSIONS: usize = 4_096;
/// Which upstream served a session last; the oldest is forgotten first.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    last: HashMap<SmolStr, id::UpstreamId>,
    order: VecDeque<SmolStr>,
}

impl Sessions {
    /// The upstream that served `session` last.
    pub(super) fn last(&self, session: &SmolStr) -> Option<id::UpstreamId> {
        self.last.get(session).cloned()
    }

    /// `upstream` serves `session`.
    pub(super) fn put(&mut self, session: &SmolStr, upstream: &id::UpstreamId) {
        if self
            .last
            .insert(session.clone(), upstream.clone())
            .is_none()
        {
            self.order.push_back(session.clone());
        }
        if self.order.len() > SESSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.last.remove(&oldest);
        }
    }
}
