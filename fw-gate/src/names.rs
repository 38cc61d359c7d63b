//! The headers that the entry reads and sets on requests and answers.
//!
//! The platform defines their names, so its adapter supplies them; the fields here give their meanings.

use hyper::header::HeaderName;

/// Names of headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the caller's attempt; upstreams echo it.
    pub request_id: HeaderName,
    /// Milliseconds within which the receiver has to answer.
    pub deadline_ms: HeaderName,
    /// Cookie with the id of the object that a request concerns.
    pub object_cookie: &'static str,
    /// Signature by which an upstream marks an answer as its own.
    pub signature: HeaderName,
    /// Id of the upstream that the request is meant for; any other refuses it.
    pub expect_upstream: HeaderName,
    /// Running requests, waiting requests and slots of the upstream, separated by commas.
    pub load: HeaderName,
    /// Set on an answer if the upstream has not run the request.
    pub not_run: HeaderName,
    /// Number of prompt tokens and maximum number of generated tokens, separated by a comma.
    pub tokens: HeaderName,
    /// The parts of the prompt in order, each as a hexadecimal id, a colon and its tokens, separated by
    /// commas.
    pub prompt_parts: HeaderName,
    /// The program that a call belongs to.
    pub program: HeaderName,
    /// The session that a call belongs to: a sequence of turns, each continuing the one before.
    pub session: HeaderName,
    /// Milliseconds until the program's deadline.
    pub program_deadline_ms: HeaderName,
    /// Maximum number of tokens that all turns of the program may generate together.
    pub budget: HeaderName,
    /// The turn that this one continues.
    pub previous: HeaderName,
    /// The team that a request belongs to, as sent to upstreams.
    pub team: HeaderName,
    /// Id of the last event that the caller received.
    pub resume_after: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream that it takes up.
    pub resumed_stream: HeaderName,
    /// Headers that only the entry may set on a request to an upstream; a caller's are removed.
    pub reserved: Vec<HeaderName>,
}
