//! State machine of one program: idle, running and ended.
//!
//! A turn enters the history only when it is finished, so that a failed attempt leaves the history
//! unchanged.

mod turn;

use std::time::Duration;

use fw_base::chat;
use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_base::id;

use crate::ledger;
pub use crate::program::turn::Answer;
pub use crate::program::turn::Begin;
pub use crate::program::turn::Committed;
pub use crate::program::turn::Held;
pub use crate::program::turn::History;
pub use crate::program::turn::Outcome;
pub use crate::program::turn::Run;
pub use crate::program::turn::Saved;
pub use crate::program::turn::Turn;

/// Assumed bytes of message text per token, for estimates before an engine has counted the tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// Status of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No turn is running.
    Idle,
    /// A turn is running.
    Running,
    /// The program was ended and accepts no further turn.
    Ended,
}

impl Status {
    /// The status's name in the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Running => "running",
            Self::Ended => "ended",
        }
    }
}

/// The running turn.
#[derive(Clone, Debug, PartialEq)]
struct Running {
    attempt: id::AttemptId,
    turn: id::Turn,
    prompt: Digest,
    params: Digest,
    messages: Vec<chat::Message>,
    since: Duration,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Idle,
    Running(Box<Running>),
    Ended,
}

/// One program.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    team: id::TeamId,
    parent: Option<id::ProgramId>,
    digest: Digest,
    history: Vec<chat::Message>,
    last: Option<Committed>,
    state: State,
    ledger: ledger::Ledger,
    limits: ledger::Limits,
    last_used_at: Duration,
}

/// Whether a request is for the next turn or repeats the last committed one.
enum RequestKind {
    NextTurn(Vec<chat::Message>),
    Repetition,
}

impl Program {
    /// A program without turns.
    pub fn new(team: id::TeamId, parent: Option<id::ProgramId>, now: Duration) -> Self {
        Self {
            team,
            parent,
            digest: Digest::EMPTY,
            history: Vec::new(),
            last: None,
            state: State::Idle,
            ledger: ledger::Ledger::default(),
            limits: ledger::Limits::default(),
            last_used_at: now,
        }
    }

    /// The team.
    pub fn team(&self) -> &id::TeamId {
        &self.team
    }

    /// The program that this one is a sub-agent of.
    pub fn parent(&self) -> Option<&id::ProgramId> {
        self.parent.as_ref()
    }

    /// Its status.
    pub fn status(&self) -> Status {
        match self.state {
            State::Idle => Status::Idle,
            State::Running(_) => Status::Running,
            State::Ended => Status::Ended,
        }
    }

    /// Number of the last committed turn; 0 before the first.
    pub fn turn(&self) -> id::Turn {
        self.last.as_ref().map_or(0, |last| last.turn)
    }

    /// Digest of the committed history.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The committed messages.
    pub fn history(&self) -> &[chat::Message] {
        &self.history
    }

    /// The last committed turn.
    pub fn last(&self) -> Option<&Committed> {
        self.last.as_ref()
    }

    /// The running attempt.
    pub fn attempt(&self) -> Option<id::AttemptId> {
        self.running().map(|running| running.attempt)
    }

    /// The amounts that it has spent and reserved.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// Tokens that the budget has left; `None` if it sets no limit.
    pub fn tokens_left(&self) -> Option<id::Tokens> {
        self.ledger.tokens_left(&self.limits)
    }

    /// Time of its last use, as the `now` that was passed then.
    pub fn last_used_at(&self) -> Duration {
        self.last_used_at
    }

    /// Requests a turn.
    pub fn begin(&mut self, begin: Begin, now: Duration) -> Outcome {
        match self.try_begin(begin, now) {
            Ok(outcome) => outcome,
            Err(err) => Outcome::Refused(err),
        }
    }

    /// Commits the turn of `attempt`; `None` if that attempt is not the running one, as with
    /// answers that arrive late or out of order.
    pub fn finish(
        &mut self,
        attempt: id::AttemptId,
        answer: Answer,
        now: Duration,
    ) -> Option<Turn> {
        let running = self.take_running(attempt)?;
        let spent = ledger::Amount {
            turns: 1,
            tokens: answer.usage.prompt.saturating_add(answer.usage.completion),
            time: now.saturating_sub(running.since),
        };
        let turn = Turn {
            committed: Committed {
                turn: running.turn,
                attempt,
                base: self.digest,
                prompt: running.prompt,
                params: running.params,
                answer,
            },
            messages: running.messages,
            spent,
        };
        self.ledger.settle(attempt, ledger::Amount::default());
        self.apply(&turn, now);
        Some(turn)
    }

    /// Abandons the turn of `attempt`, which may then be requested again under the same number.
    /// Returns the amount charged; `None` if that attempt is not the running one.
    ///
    /// An attempt that may have run is charged all the tokens that it had reserved: the true amount
    /// is unknown, and a program that could make its turns fail would otherwise spend without
    /// limit.
    pub fn fail(
        &mut self,
        attempt: id::AttemptId,
        ran: error::Ran,
        now: Duration,
    ) -> Option<ledger::Amount> {
        let running = self.take_running(attempt)?;
        let reserved = self.ledger.reserved(attempt);
        let used = match ran {
            error::Ran::No => ledger::Amount::default(),
            error::Ran::Maybe | error::Ran::Yes => ledger::Amount {
                turns: 0,
                tokens: reserved.tokens,
                time: now.saturating_sub(running.since),
            },
        };
        self.ledger.settle(attempt, used);
        self.last_used_at = now;
        Some(used)
    }

    /// Ends the program and returns the attempt to cancel, if a turn is running.
    pub fn end(&mut self, now: Duration) -> Option<id::AttemptId> {
        let attempt = self.attempt();
        if let Some(attempt) = attempt {
            self.ledger.settle(attempt, ledger::Amount::default());
        }
        self.state = State::Ended;
        self.last_used_at = now;
        attempt
    }

    /// Reserves budget for a sub-agent's attempt.
    ///
    /// # Errors
    ///
    /// [`Kind::BudgetExhausted`] when nothing is left, [`Kind::ProgramEnded`] after the end.
    pub fn reserve(
        &mut self,
        attempt: id::AttemptId,
        request: ledger::Request,
    ) -> Result<ledger::Grant, error::Error> {
        self.check_not_ended()?;
        self.ledger.reserve(attempt, request, &self.limits)
    }

    /// Adds an amount that was spent without a committed turn.
    pub fn charge(&mut self, used: ledger::Amount) {
        self.ledger.charge(used);
    }

    /// Replaces a sub-agent's reservation by the amount that it used.
    pub fn settle(&mut self, attempt: id::AttemptId, used: ledger::Amount) {
        self.ledger.settle(attempt, used);
    }

    /// Whether `turn` is the next turn and follows exactly the committed history.
    pub fn continues(&self, turn: &Committed) -> bool {
        turn.turn == self.turn() + 1 && turn.base == self.digest
    }

    /// The turn that was answered under an earlier keeper, if it continues the history and no turn
    /// is running.
    pub(crate) fn recover_turn(&self, held: Held) -> Option<Turn> {
        let is_next = held.turn == self.turn() + 1 && held.team == self.team;
        // Digests are chained over all messages: equal digests mean equal histories.
        let continues = held.base == self.digest;
        if !is_next || !continues || self.status() != Status::Idle {
            return None;
        }
        let prompt = self.digest.extend_all(&held.messages);
        let usage = held.answer.usage;
        Some(Turn {
            committed: Committed {
                turn: held.turn,
                attempt: held.attempt,
                base: self.digest,
                prompt,
                params: held.params,
                answer: held.answer,
            },
            messages: held.messages,
            spent: ledger::Amount {
                turns: 1,
                tokens: usage.prompt.saturating_add(usage.completion),
                time: held.ran,
            },
        })
    }

    /// Applies a turn that was finished here or read from the journal.
    pub fn apply(&mut self, turn: &Turn, now: Duration) {
        self.history.extend_from_slice(&turn.messages);
        self.history.push(turn.committed.answer.message.clone());
        self.digest = turn.committed.prompt.extend(&turn.committed.answer.message);
        self.last = Some(turn.committed.clone());
        self.ledger.charge(turn.spent);
        self.last_used_at = now;
    }

    /// Restores a program from a snapshot.
    pub fn restore(saved: Saved) -> Self {
        let ended = saved.ended;
        Self {
            team: saved.team,
            parent: saved.parent,
            digest: Digest::EMPTY.extend_all(&saved.history),
            history: saved.history,
            last: saved.last,
            state: if ended { State::Ended } else { State::Idle },
            ledger: ledger::Ledger::new(saved.spent),
            limits: ledger::Limits::default(),
            last_used_at: saved.last_used_at,
        }
    }

    /// The program's state for a snapshot: all that is committed, without a running turn.
    pub fn save(&self) -> Saved {
        Saved {
            team: self.team.clone(),
            parent: self.parent.clone(),
            history: self.history.clone(),
            last: self.last.clone(),
            spent: self.ledger.spent(),
            ended: self.state == State::Ended,
            last_used_at: self.last_used_at,
        }
    }

    fn running(&self) -> Option<&Running> {
        match &self.state {
            State::Running(running) => Some(running),
            State::Idle | State::Ended => None,
        }
    }

    fn take_running(&mut self, attempt: id::AttemptId) -> Option<Running> {
        if self.attempt() != Some(attempt) {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Running(running) => Some(*running),
            State::Idle | State::Ended => None,
        }
    }

    fn check_not_ended(&self) -> Result<(), error::Error> {
        match self.state {
            State::Ended => Err(error::Error::new(
                Kind::ProgramEnded,
                "the program was ended; start another under a new id",
            )),
            State::Idle | State::Running(_) => Ok(()),
        }
    }

    fn check_team(&self, team: &id::TeamId) -> Result<(), error::Error> {
        if *team == self.team {
            return Ok(());
        }
        Err(error::Error::new(
            Kind::ForeignProgram,
            "the program belongs to another team; choose another `x-program`",
        ))
    }

    fn try_begin(&mut self, begin: Begin, now: Duration) -> Result<Outcome, error::Error> {
        self.check_team(&begin.team)?;
        self.check_not_ended()?;
        self.last_used_at = now;
        match self.classify(&begin)? {
            RequestKind::Repetition => self.replay(&begin),
            RequestKind::NextTurn(messages) => self.start_next(begin, messages, now),
        }
    }

    /// Distinguishes a repetition of the last committed turn from the next turn.
    fn classify(&self, begin: &Begin) -> Result<RequestKind, error::Error> {
        if let Some(turn) = begin.turn {
            return self.classify_numbered(begin, turn);
        }
        match begin.history {
            History::Full => self.classify_full(begin),
            History::Delta => self.classify_delta(begin),
        }
    }

    fn classify_numbered(
        &self,
        begin: &Begin,
        turn: id::Turn,
    ) -> Result<RequestKind, error::Error> {
        let committed = self.turn();
        if turn == committed && turn > 0 {
            return Ok(RequestKind::Repetition);
        }
        if turn != committed + 1 {
            let next = committed + 1;
            return Err(error::Error::new(
                Kind::WrongTurn,
                format!("`x-turn` is {turn}, and the program's next turn is {next}"),
            ));
        }
        match begin.history {
            History::Full => self.strip_history(begin).map(RequestKind::NextTurn),
            History::Delta => {
                self.check_base(begin)?;
                Ok(RequestKind::NextTurn(begin.messages.clone()))
            }
        }
    }

    /// A client library without support for turns retries a call by sending the same messages.
    fn classify_full(&self, begin: &Begin) -> Result<RequestKind, error::Error> {
        if self.repeats_last(begin) {
            return Ok(RequestKind::Repetition);
        }
        self.strip_history(begin).map(RequestKind::NextTurn)
    }

    /// Messages alone don't distinguish a repetition from a next turn with the same messages.
    fn classify_delta(&self, begin: &Begin) -> Result<RequestKind, error::Error> {
        let Some(base) = begin.base else {
            if self.turn() == 0 {
                return Ok(RequestKind::NextTurn(begin.messages.clone()));
            }
            return Err(error::Error::new(
                Kind::BadRequest,
                "`x-history: delta` needs `x-turn`, else a repeated call would run as a new turn",
            ));
        };
        let repeats = |last: &Committed| last.base == base;
        if base != self.digest && self.last.as_ref().is_some_and(repeats) {
            return Ok(RequestKind::Repetition);
        }
        self.check_base(begin)?;
        Ok(RequestKind::NextTurn(begin.messages.clone()))
    }

    fn repeats_last(&self, begin: &Begin) -> bool {
        let Some(last) = &self.last else {
            return false;
        };
        let prompt_len = self.history.len() - 1;
        let same_len = begin.messages.len() == prompt_len;
        same_len && Digest::EMPTY.extend_all(&begin.messages) == last.prompt
    }

    /// The messages after the committed history, with which the request must begin. The digest
    /// covers every message in order, so the history of another program is not accepted.
    fn strip_history(&self, begin: &Begin) -> Result<Vec<chat::Message>, error::Error> {
        let committed = self.history.len();
        let Some((before, after)) = begin.messages.split_at_checked(committed) else {
            let sent = begin.messages.len();
            return Err(mismatch(format!(
                "the committed history has {committed} messages, and the request has only {sent}; \
                 send all of it, or `x-history: delta`"
            )));
        };
        if Digest::EMPTY.extend_all(before) != self.digest {
            return Err(mismatch(format!(
                "the first {committed} messages differ from the committed history; read it at \
                 GET /v1/programs/{{id}}"
            )));
        }
        self.check_base(begin)?;
        Ok(after.to_vec())
    }

    fn check_base(&self, begin: &Begin) -> Result<(), error::Error> {
        match begin.base {
            Some(base) if base != self.digest => Err(mismatch(format!(
                "the request follows history {base}, and the committed one is {}",
                self.digest
            ))),
            _ => Ok(()),
        }
    }

    fn replay(&self, begin: &Begin) -> Result<Outcome, error::Error> {
        let Some(last) = &self.last else {
            return Err(turn_changed(0));
        };
        let prompt = match begin.history {
            History::Full => Digest::EMPTY.extend_all(&begin.messages),
            History::Delta => last.base.extend_all(&begin.messages),
        };
        if prompt != last.prompt || begin.params != last.params {
            return Err(turn_changed(last.turn));
        }
        Ok(Outcome::Replay {
            attempt: last.attempt,
            turn: last.turn,
            answer: last.answer.clone(),
        })
    }

    fn start_next(
        &mut self,
        begin: Begin,
        messages: Vec<chat::Message>,
        now: Duration,
    ) -> Result<Outcome, error::Error> {
        if messages.is_empty() {
            return Err(mismatch(
                "the request adds no message to the committed history".to_owned(),
            ));
        }
        let prompt = self.digest.extend_all(&messages);
        if let Some(running) = self.running() {
            return running.attach(prompt, begin.params);
        }
        self.limits = begin.limits;
        let prompt_tokens = self.estimate_prompt(&messages);
        let request = ledger::Request {
            prompt: prompt_tokens,
            completion: begin.max_tokens,
        };
        let grant = self.ledger.reserve(begin.attempt, request, &begin.limits)?;
        let turn = self.turn() + 1;
        self.state = State::Running(Box::new(Running {
            attempt: begin.attempt,
            turn,
            prompt,
            params: begin.params,
            messages: messages.clone(),
            since: now,
        }));
        Ok(Outcome::Run(Run {
            attempt: begin.attempt,
            turn,
            base: self.digest,
            messages,
            digest: prompt,
            prompt_tokens,
            max_tokens: grant.completion,
            time_left: grant.time,
        }))
    }

    fn estimate_prompt(&self, messages: &[chat::Message]) -> id::Tokens {
        let counted = self.last.as_ref().map_or(0, |last| {
            last.answer.usage.prompt + last.answer.usage.completion
        });
        let added: u64 = messages.iter().map(|m| m.as_str().len() as u64).sum();
        counted + added.div_ceil(BYTES_PER_TOKEN)
    }
}

impl Running {
    fn attach(&self, prompt: Digest, params: Digest) -> Result<Outcome, error::Error> {
        if prompt != self.prompt || params != self.params {
            return Err(turn_changed(self.turn));
        }
        Ok(Outcome::Attach {
            attempt: self.attempt,
            turn: self.turn,
        })
    }
}

fn mismatch(message: String) -> error::Error {
    error::Error::new(Kind::HistoryMismatch, message)
}

fn turn_changed(turn: id::Turn) -> error::Error {
    error::Error::new(
        Kind::TurnChanged,
        format!("turn {turn} was sent with another body; send it unchanged or start the next turn"),
    )
}
