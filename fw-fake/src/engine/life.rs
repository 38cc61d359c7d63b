//! One life of a stand-in engine: its batch, its streams and the loop of steps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fw_base::digest;
use fw_base::id;
use fw_check::event;
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::Shared;
use super::answer;
use super::cache;
use super::http;
use crate::notes;

/// Finished streams kept for resumption.
const MAX_STREAMS: usize = 4_096;

/// Oldest load reports kept.
const MAX_REPORTS: usize = 1_024;

/// What one life shares between its connections and its steps.
#[derive(Debug)]
pub(super) struct Life {
    pub(super) shared: Arc<Shared>,
    pub(super) state: Mutex<State>,
    pub(super) work: Notify,
    pub(super) ids: AtomicU64,
}

#[derive(Debug)]
pub(super) struct State {
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    pub(super) streams: HashMap<SmolStr, Arc<Stream>>,
    ended: VecDeque<SmolStr>,
    pub(super) cache: cache::Cache,
    reports: VecDeque<(Instant, Report)>,
    pub(super) fence: id::Fence,
}

/// What `GET /load` says.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Report {
    pub(super) incarnation: u64,
    pub(super) queued: usize,
    pub(super) running: usize,
    pub(super) prefill_tokens: id::Tokens,
    pub(super) cache_used: id::Tokens,
    pub(super) cache_size: id::Tokens,
    pub(super) batch: usize,
    pub(super) age_ms: u64,
    pub(super) leaving: bool,
}

/// The chunks of one answer so far.
#[derive(Debug)]
pub(super) struct Stream {
    chunks: Mutex<Vec<Arc<str>>>,
    ended: AtomicBool,
    pub(super) cancelled: AtomicBool,
    pub(super) progress: watch::Sender<usize>,
}

impl Stream {
    fn new() -> Self {
        Self {
            chunks: Mutex::default(),
            ended: AtomicBool::new(false),
            cancelled: AtomicBool::new(false),
            progress: watch::Sender::new(0),
        }
    }

    fn push(&self, chunk: &serde_json::Value) {
        self.chunks.lock().push(chunk.to_string().into());
        self.progress.send_modify(|count| *count += 1);
    }

    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.progress.send_modify(|count| *count += 1);
    }

    /// The chunk at `offset`, if it is there.
    pub(super) fn chunk(&self, offset: usize) -> Option<Arc<str>> {
        self.chunks.lock().get(offset).cloned()
    }

    /// Whether no further chunk will come.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// A request to run.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: SmolStr,
    pub(super) program: Option<id::ProgramId>,
    pub(super) model: String,
    pub(super) marks: Vec<cache::Mark>,
    pub(super) tokens: u32,
    /// What to note of the run, if it is recorded.
    pub(super) work: Option<event::Work>,
}

#[derive(Debug)]
struct Sequence {
    req: Request,
    stream: Arc<Stream>,
    digest: digest::Digest,
    prompt: id::Tokens,
    cached: id::Tokens,
    to_prefill: id::Tokens,
    made: u32,
    message_digest: digest::Digest,
    /// Digest of the answer as the record of a run has it.
    answer: digest::Digest,
    /// The run in the record, if there is one.
    run: Option<event::RunId>,
}

impl Sequence {
    fn new(req: Request, cached: id::Tokens) -> Self {
        let last = req.marks.last();
        let prompt = last.map_or(0, |mark| mark.tokens);
        let digest = last.map_or(digest::Digest::EMPTY, |mark| mark.digest);
        let text = answer::text(digest, req.tokens);
        let message = fw_base::chat::Message::text("assistant", &text);
        Self {
            stream: Arc::new(Stream::new()),
            digest,
            prompt,
            cached,
            to_prefill: prompt - cached,
            made: 0,
            message_digest: digest.extend(&message),
            answer: event::message_digest(&message),
            run: None,
            req,
        }
    }

    fn chunk(&self, delta: serde_json::Value, finish: Option<&str>) -> serde_json::Value {
        json!({
            "id": self.req.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.req.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        })
    }

    /// Adds one token; true when the answer is whole.
    fn step(&mut self) -> bool {
        if self.made == 0 {
            let first = json!({ "role": "assistant", "content": "" });
            self.stream.push(&self.chunk(first, None));
        }
        let text = answer::word(self.digest, self.made);
        self.stream
            .push(&self.chunk(json!({ "content": text }), None));
        self.made += 1;
        self.made >= self.req.tokens
    }

    fn finish(&self) {
        self.stream.push(&self.chunk(json!({}), Some("stop")));
        self.stream.push(&json!({
            "id": self.req.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.req.model,
            "choices": [],
            "usage": {
                "prompt_tokens": self.prompt,
                "completion_tokens": self.made,
                "total_tokens": self.prompt + id::Tokens::from(self.made),
                "prompt_tokens_details": { "cached_tokens": self.cached },
            },
        }));
    }

    /// What the cache holds once the answer is whole.
    fn marks_after(&self) -> Vec<cache::Mark> {
        let mut marks = self.req.marks.clone();
        marks.push(cache::Mark {
            digest: self.message_digest,
            tokens: self.prompt + id::Tokens::from(self.made),
        });
        marks
    }
}

/// Runs one life, until it is dropped.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    shared.lives.fetch_add(1, Ordering::SeqCst);
    shared.held.lock().clear();
    shared.under_way.store(0, Ordering::SeqCst);
    let _noted = notes::Life(shared.opts.notes.clone());
    let life = Arc::new(Life::new(shared));
    tokio::select! {
        () = http::serve(listener, life.clone()) => {}
        () = steps(&life) => {}
        () = samples(&life) => {}
    }
}

impl Life {
    fn new(shared: Arc<Shared>) -> Self {
        let cache = cache::Cache::new(
            shared.opts.cache,
            shared.opts.cache_gap,
            shared.opts.notes.clone(),
        );
        Self {
            state: Mutex::new(State {
                waiting: VecDeque::new(),
                running: Vec::new(),
                streams: HashMap::new(),
                ended: VecDeque::new(),
                cache,
                reports: VecDeque::new(),
                fence: 0,
            }),
            shared,
            work: Notify::new(),
            ids: AtomicU64::new(1),
        }
    }

    /// Accepts a request; the same id again gives the stream that it has already.
    pub(super) fn submit(&self, req: Request) -> Arc<Stream> {
        let mut state = self.state.lock();
        if let Some(stream) = state.streams.get(&req.id) {
            return stream.clone();
        }
        let id = req.id.clone();
        let mut sequence = Sequence::new(req, 0);
        let stream = sequence.stream.clone();
        self.count_run(sequence.digest);
        sequence.run = self.note_start(sequence.req.work.take());
        state.streams.insert(id, stream.clone());
        state.waiting.push_back(sequence);
        self.shared.under_way.fetch_add(1, Ordering::SeqCst);
        self.work.notify_one();
        stream
    }

    /// Notes that a run begins, if runs are recorded.
    pub(super) fn note_start(&self, work: Option<event::Work>) -> Option<event::RunId> {
        let notes = self.shared.opts.notes.as_ref()?;
        Some(notes.run_started(work?))
    }

    fn note_end(&self, sequence: &Sequence, answer: Option<digest::Digest>) {
        if let (Some(notes), Some(run)) = (&self.shared.opts.notes, sequence.run) {
            notes.run_ended(run, answer);
        }
    }

    /// Counts a run of the prompt with this digest.
    pub(super) fn count_run(&self, digest: digest::Digest) {
        let mut counts = self.shared.counts.lock();
        *counts.runs.entry(String::from(digest)).or_default() += 1;
    }

    /// The state as it is now.
    fn report(&self) -> Report {
        let state = self.state.lock();
        let sequences = state.waiting.iter().chain(&state.running);
        Report {
            incarnation: self.shared.lives.load(Ordering::SeqCst),
            queued: state.waiting.len(),
            running: state.running.len(),
            prefill_tokens: sequences.map(|seq| seq.to_prefill).sum(),
            cache_used: state.cache.used(),
            cache_size: self.shared.opts.cache,
            batch: self.shared.opts.batch,
            age_ms: 0,
            leaving: self.shared.leaving.load(Ordering::SeqCst),
        }
    }

    fn sample(&self) {
        let report = self.report();
        let mut state = self.state.lock();
        if state.reports.len() == MAX_REPORTS {
            state.reports.pop_front();
        }
        state.reports.push_back((Instant::now(), report));
    }

    /// The state as it was `load_lag` ago.
    pub(super) fn lagged_report(&self) -> Report {
        let lag = self.shared.opts.load_lag;
        if lag.is_zero() {
            return self.report();
        }
        let state = self.state.lock();
        let mut old = state.reports.iter().filter(|(at, _)| at.elapsed() >= lag);
        let found = old.next_back().or_else(|| state.reports.front());
        let mut report = found.map_or_else(Report::default, |(at, report)| Report {
            age_ms: at.elapsed().as_millis() as u64,
            ..report.clone()
        });
        report.incarnation = self.shared.lives.load(Ordering::SeqCst);
        report.leaving = self.shared.leaving.load(Ordering::SeqCst);
        report
    }

    /// Publishes what the cache holds to the test.
    pub(super) fn show_cache(&self) {
        let held = self.state.lock().cache.held();
        *self.shared.held.lock() = held;
    }

    /// One step of the batch. Returns how long it takes.
    fn step(&self) -> Duration {
        let mut state = self.state.lock();
        self.drop_cancelled(&mut state);
        self.admit(&mut state);
        let taken_in = self.prefill(&mut state);
        self.decode(&mut state);
        drop(state);
        self.show_cache();
        let opts = &self.shared.opts;
        let usual = opts.step + opts.prefill * u32::try_from(taken_in).unwrap_or(u32::MAX);
        usual * self.shared.slow_percent.load(Ordering::SeqCst) / 100
    }

    fn admit(&self, state: &mut State) {
        while state.running.len() < self.shared.opts.batch {
            let Some(mut sequence) = state.waiting.pop_front() else {
                break;
            };
            let program = sequence.req.program.as_deref().unwrap_or_default();
            sequence.cached = state.cache.cached(program, &sequence.req.marks);
            sequence.to_prefill = sequence.prompt - sequence.cached;
            self.shared.counts.lock().cached += sequence.cached;
            state.running.push(sequence);
        }
        let mut counts = self.shared.counts.lock();
        counts.widest = counts.widest.max(state.running.len());
    }

    fn prefill(&self, state: &mut State) -> id::Tokens {
        let mut left = self.shared.opts.chunk;
        for sequence in &mut state.running {
            let part = sequence.to_prefill.min(left);
            sequence.to_prefill -= part;
            left -= part;
        }
        let taken_in = self.shared.opts.chunk - left;
        self.shared.counts.lock().prefilled += taken_in;
        taken_in
    }

    fn decode(&self, state: &mut State) {
        let mut running = std::mem::take(&mut state.running);
        running.retain_mut(|sequence| {
            if sequence.to_prefill > 0 || !sequence.step() {
                return true;
            }
            self.note_end(sequence, Some(sequence.answer));
            sequence.finish();
            if let Some(program) = &sequence.req.program {
                state.cache.put(program, sequence.marks_after());
            }
            self.shared.counts.lock().finished += 1;
            self.end(state, sequence);
            false
        });
        state.running = running;
    }

    fn drop_cancelled(&self, state: &mut State) {
        let all = state.waiting.drain(..).map(|sequence| (false, sequence));
        let all: Vec<_> = all
            .chain(state.running.drain(..).map(|sequence| (true, sequence)))
            .collect();
        for (was_running, sequence) in all {
            if sequence.stream.cancelled.load(Ordering::SeqCst) {
                self.note_end(&sequence, None);
                self.end(state, &sequence);
            } else if was_running {
                state.running.push(sequence);
            } else {
                state.waiting.push_back(sequence);
            }
        }
    }

    fn end(&self, state: &mut State, sequence: &Sequence) {
        sequence.stream.end();
        self.shared.under_way.fetch_sub(1, Ordering::SeqCst);
        state.ended.push_back(sequence.req.id.clone());
        if state.ended.len() > MAX_STREAMS
            && let Some(oldest) = state.ended.pop_front()
        {
            state.streams.remove(&oldest);
        }
    }

    fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.waiting.is_empty() && state.running.is_empty()
    }
}

/// Runs steps for as long as there is work; the times of steps add up without drift.
async fn steps(life: &Life) {
    let mut next = tokio::time::Instant::now();
    loop {
        if life.is_idle() {
            life.work.notified().await;
            next = tokio::time::Instant::now();
            continue;
        }
        if life.shared.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            next = tokio::time::Instant::now();
            continue;
        }
        let took = life.step();
        if took.is_zero() {
            tokio::task::yield_now().await;
            continue;
        }
        next += took;
        tokio::time::sleep_until(next).await;
    }
}

/// Samples the load, so that a late report can be given.
async fn samples(life: &Life) {
    const EVERY: Duration = Duration::from_millis(5);
    loop {
        life.sample();
        tokio::time::sleep(EVERY).await;
    }
}
