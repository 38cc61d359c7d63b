//! Bytes of messages to and from replicas in other data centres, by kind.
//!
//! *Load pattern:* traffic between data centres is charged for, and each turn sends several messages
//! to all members.
//!
//! The calling process counts requests and replies where it encodes and decodes them; the replica
//! counts nothing, so that each message is counted once. The headers of TCP and IP are left out.

use tarpc::{ClientMessage, Response};

use crate::service;

/// Length prefix of a frame.
const FRAME_HEADER: usize = 4;
/// Encoded length of an upstream's calls in a load report: three bytes of hash, one of count.
const CALLS_LEN: usize = 4;

/// Kind of a message, or of a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Request of a reservation, without the load report.
    Reservation,
    /// Reply to a reservation, without the chain.
    Reply,
    /// Outcome of a turn with its record.
    TurnRecord,
    /// Outcome of a turn without its record.
    Settlement,
    /// Turns of a chain.
    Chain,
    /// Upstream list, configuration and member list.
    Config,
    /// Load and usage reports.
    Load,
    /// Records copied between replicas, and the lists of them.
    Copy,
    /// Events of streams that may be taken up.
    Beginning,
    /// Anything else.
    Other,
}

impl Kind {
    /// Its label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Reservation => "reservation",
            Self::Reply => "reply",
            Self::TurnRecord => "turn",
            Self::Settlement => "settlement",
            Self::Chain => "chain",
            Self::Config => "config",
            Self::Load => "load",
            Self::Copy => "copy",
            Self::Beginning => "beginning",
            Self::Other => "other",
        }
    }
}

/// Counts a request of `len` bytes to a replica in another data centre.
pub(crate) fn count_request(message: &ClientMessage<service::ReplicaRequest>, len: usize) {
    let ClientMessage::Request(req) = message else {
        return count(Kind::Other, len + FRAME_HEADER);
    };
    let (kind, load) = request_kind(&req.message);
    count(kind, (len + FRAME_HEADER).saturating_sub(load));
    count(Kind::Load, load);
}

/// Counts a reply of `len` bytes from a replica in another data centre.
pub(crate) fn count_reply(message: &Response<service::ReplicaResponse>, len: usize) {
    let (kind, chain) = match &message.message {
        Ok(reply) => reply_kind(reply),
        Err(_) => (Kind::Other, 0),
    };
    count(kind, (len + FRAME_HEADER).saturating_sub(chain));
    count(Kind::Chain, chain);
}

fn count(kind: Kind, len: usize) {
    if len > 0 {
        metrics::counter!("fw_replica_remote_bytes_total", "kind" => kind.label())
            .increment(len as u64);
    }
}

/// Kind of a request, and the bytes of the load report in it.
fn request_kind(req: &service::ReplicaRequest) -> (Kind, usize) {
    use service::ReplicaRequest as Request;
    let kind = match req {
        Request::Begin { req } => return (Kind::Reservation, req.load.calls.len() * CALLS_LEN),
        Request::Finish { req }
        | Request::FinishQuorum { req, .. }
        | Request::FinishWithChain { req, .. } => match req.turn {
            Some(_) => Kind::TurnRecord,
            None => Kind::Settlement,
        },
        Request::Chain { .. } | Request::StoreChain { .. } => Kind::Chain,
        Request::ExtendStream { .. } => Kind::Beginning,
        Request::Publish { .. }
        | Request::PollUpdate { .. }
        | Request::AnnounceMembers { .. }
        | Request::ReadClock { .. } => Kind::Config,
        Request::ReportUsage { .. } => Kind::Load,
        Request::List { .. } | Request::Browse { .. } | Request::Fetch { .. } => Kind::Copy,
        _ => Kind::Other,
    };
    (kind, 0)
}

/// Kind of a reply, and the bytes of the chain in it.
fn reply_kind(reply: &service::ReplicaResponse) -> (Kind, usize) {
    use service::ReplicaResponse as Reply;
    let kind = match reply {
        Reply::Begin(reply) => {
            let turns = reply.chain.turns.iter();
            let chain = turns.map(|turn| turn.input.len() + turn.output.len()).sum();
            return (Kind::Reply, chain);
        }
        Reply::Finish(_) | Reply::FinishQuorum(_) | Reply::FinishWithChain(_) => Kind::Settlement,
        Reply::Chain(_) | Reply::StoreChain(_) => Kind::Chain,
        Reply::FindBeginning(_) => Kind::Beginning,
        Reply::Publish(_)
        | Reply::PollUpdate(_)
        | Reply::AnnounceMembers(_)
        | Reply::ReadClock(_) => Kind::Config,
        Reply::ReportUsage(_) => Kind::Load,
        Reply::List(_) | Reply::Browse(_) | Reply::Fetch(_) => Kind::Copy,
        _ => Kind::Other,
    };
    (kind, 0)
}
