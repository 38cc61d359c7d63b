//! Builds records event by event.

use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;
use fw_check::check;
use fw_check::check::Promise;
use fw_check::event;
use fw_check::event::Entry;
use fw_check::event::Event;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Builder of a record. Each event is recorded one millisecond after the previous one.
#[derive(Clone, Default)]
pub struct Scenario {
    pub entries: Vec<Entry>,
    now: Duration,
    next_id: u64,
}

pub fn digest(text: &str) -> Digest {
    Digest::of_bytes(text.as_bytes())
}

/// The message that a turn adds.
pub fn user_message(program: &str, turn: id::Turn) -> Digest {
    digest(&format!("{program} asks {turn}"))
}

/// The answer that the first run of a turn produces.
pub fn answer(program: &str, turn: id::Turn) -> Digest {
    digest(&format!("answer to {program} {turn}"))
}

/// The history of a program through `last`.
pub fn history(program: &str, last: id::Turn) -> Vec<Digest> {
    let turns = (1..=last).flat_map(|turn| [user_message(program, turn), answer(program, turn)]);
    turns.collect()
}

impl Scenario {
    pub fn push(&mut self, event: Event) -> &mut Self {
        self.now += Duration::from_millis(1);
        let at = self.now;
        self.entries.push(Entry { at, event });
        self
    }

    pub fn wait(&mut self, time: Duration) -> &mut Self {
        self.now += time;
        self
    }

    pub fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub fn send(&mut self, program: &str, turn: id::Turn) -> event::CallId {
        self.send_message(program, turn, user_message(program, turn))
    }

    /// Sends a turn with a given text, which other programs may send as well.
    pub fn send_text(&mut self, program: &str, turn: id::Turn, text: &str) -> event::CallId {
        self.send_message(program, turn, digest(text))
    }

    fn send_message(&mut self, program: &str, turn: id::Turn, message: Digest) -> event::CallId {
        let call = self.id();
        self.push(Event::TurnSent(event::TurnSent {
            call,
            caller: "caller-1".into(),
            to: "entry-1".into(),
            program: program.into(),
            turn,
            messages: vec![message],
        }));
        call
    }

    pub fn send_plain(&mut self, key: Option<&str>, text: &str) -> event::CallId {
        let call = self.id();
        self.push(Event::PlainSent(event::PlainSent {
            call,
            caller: "caller-1".into(),
            to: "entry-1".into(),
            request: digest(text),
            key: key.map(SmolStr::from),
            idempotent: key.is_none(),
        }));
        call
    }

    pub fn start(&mut self, prompt: Vec<Digest>) -> event::RunId {
        self.start_at("engine-1", event::Work::Turn(prompt))
    }

    pub fn start_at(&mut self, upstream: &str, work: event::Work) -> event::RunId {
        let run = self.id();
        let upstream = upstream.into();
        self.push(Event::RunStarted {
            run,
            upstream,
            work,
        });
        run
    }

    pub fn end(&mut self, run: event::RunId, answer: Digest) -> &mut Self {
        let answer = Some(answer);
        self.push(Event::RunEnded { run, answer })
    }

    pub fn answer(&mut self, call: event::CallId, answer: Digest) -> &mut Self {
        self.push(Event::Answered {
            call,
            answer,
            whole: true,
            tokens: 100,
        })
    }

    pub fn refuse(&mut self, call: event::CallId, kind: error::Kind) -> &mut Self {
        let ran = kind.row().ran;
        self.push(Event::Refused { call, kind, ran })
    }

    pub fn lose(&mut self, call: event::CallId) -> &mut Self {
        self.push(Event::Lost {
            call,
            sent: true,
            by_caller: false,
        })
    }

    /// The prompt of a turn with the correct history.
    pub fn prompt(program: &str, turn: id::Turn) -> Vec<Digest> {
        let mut prompt = history(program, turn - 1);
        prompt.push(user_message(program, turn));
        prompt
    }

    /// A turn that succeeds.
    pub fn turn(&mut self, program: &str, turn: id::Turn) -> &mut Self {
        let call = self.send(program, turn);
        let run = self.start(Self::prompt(program, turn));
        self.end(run, answer(program, turn));
        self.answer(call, answer(program, turn))
    }

    /// A plain call that succeeds.
    pub fn plain(&mut self, key: Option<&str>, text: &str) -> &mut Self {
        let call = self.send_plain(key, text);
        let run = self.start_at("shop-1", event::Work::Plain(digest(text)));
        let answer = digest(&format!("answer to {text}"));
        self.end(run, answer);
        self.answer(call, answer)
    }

    pub fn read_history(&mut self, program: &str, messages: Vec<Digest>) -> &mut Self {
        let program = program.into();
        self.push(Event::HistoryRead { program, messages })
    }

    pub fn accept(&mut self, revision: id::Revision) -> &mut Self {
        self.push(Event::RecordAccepted {
            revision,
            name: "services/agent".into(),
            value: Some(digest(&format!("value {revision}"))),
        })
    }

    pub fn in_force(&mut self, process: u32, revision: id::Revision) -> &mut Self {
        let name = SmolStr::from("services/agent");
        let value = digest(&format!("value {revision}"));
        self.push(Event::RecordInForce {
            process: format_smolstr!("entry-{process}"),
            revision,
            values: Some([(name, value)].into()),
        })
    }

    pub fn report(&self) -> check::Report {
        check::verify(&self.entries, &check::Options::default())
    }

    /// The violated promises.
    pub fn violated(&self) -> Vec<Promise> {
        let report = self.report();
        let is_violated = |p: &Promise| {
            let verdict = report.verdict(*p);
            matches!(verdict, check::Verdict::Violated { .. })
        };
        Promise::ALL.into_iter().filter(is_violated).collect()
    }
}
