//! Under which headers callers and upstreams say what the entry has to know.
//!
//! The names belong to the platform, so its adapter gives them; here are their meanings.

use hyper::header::HeaderName;

/// Names of headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the caller's attempt; upstreams echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the receiver may take.
    pub deadline_ms: HeaderName,
    /// Name of the cookie that names the object a request concerns.
    pub object_cookie: &'static str,
    /// Proof that an answer is the upstream's.
    pub signature: HeaderName,
    /// The upstream that the entry means; any other refuses.
    pub expect_upstream: HeaderName,
    /// Requests running, waiting, and slots at the upstream, separated by commas.
    pub load: HeaderName,
    /// Present if the upstream has not run the request.
    pub not_run: HeaderName,
    /// Prompt tokens, and tokens generated at most, separated by a comma.
    pub tokens: HeaderName,
    /// The program that a call belongs to.
    pub program: HeaderName,
    /// The line of turns that a call belongs to.
    pub session: HeaderName,
    /// Milliseconds until the program should be finished.
    pub program_deadline_ms: HeaderName,
    /// Tokens that all turns of the program may generate.
    pub budget: HeaderName,
    /// The turn that this one continues.
    pub previous: HeaderName,
    /// The team that a request belongs to, towards upstreams.
    pub team: HeaderName,
    /// The last event that the caller has.
    pub resume_after: HeaderName,
    /// Headers that only the entry may set towards an upstream: from a caller they are dropped.
    pub reserved: Vec<HeaderName>,
}
