//! One incarnation of a stand-in engine: batch scheduler, streams and step loop.

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
use crate::recording;

/// Maximum number of finished streams retained for resumption.
const MAX_FINISHED_STREAMS: usize = 4_096;

/// Maximum number of past load reports retained.
const MAX_REPORTS: usize = 1_024;

/// State of one incarnation, shared by its connections and its step loop.
#[derive(Debug)]
pub(super) struct Incarnation {
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
    finished: VecDeque<SmolStr>,
    pub(super) cache: cache::Cache,
    reports: VecDeque<(Instant, Report)>,
    pub(super) fence: id::Fence,
}

/// Response body of `GET /load`.
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

/// Chunks of one answer that have been generated so far.
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

    /// The chunk at `offset`, if it has been generated.
    pub(super) fn chunk(&self, offset: usize) -> Option<Arc<str>> {
        self.chunks.lock().get(offset).cloned()
    }

    /// Whether the stream is complete or cancelled.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// An accepted chat request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: SmolStr,
    pub(super) program: Option<id::ProgramId>,
    pub(super) model: String,
    pub(super) marks: Vec<cache::Mark>,
    pub(super) tokens: u32,
    /// The work to record for the run; `None` if runs are not recorded.
    pub(super) work: Option<event::Work>,
}

#[derive(Debug)]
struct Sequence {
    req: Request,
    stream: Arc<Stream>,
    digest: digest::Digest,
    prompt: id::Tokens,
    cached: id::Tokens,
    left_to_prefill: id::Tokens,
    generated: u32,
    digest_after: digest::Digest,
    /// Digest of the answer message, as recorded at the end of the run.
    answer: digest::Digest,
    /// Identifier of the recorded run, if runs are recorded.
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
            left_to_prefill: prompt - cached,
            generated: 0,
            digest_after: digest.extend(&message),
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

    /// Generates one token; returns true when the answer is complete.
    fn step(&mut self) -> bool {
        if self.generated == 0 {
            let first = json!({ "role": "assistant", "content": "" });
            self.stream.push(&self.chunk(first, None));
        }
        let text = answer::word(self.digest, self.generated);
        self.stream
            .push(&self.chunk(json!({ "content": text }), None));
        self.generated += 1;
        self.generated >= self.req.tokens
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
                "completion_tokens": self.generated,
                "total_tokens": self.prompt + id::Tokens::from(self.generated),
                "prompt_tokens_details": { "cached_tokens": self.cached },
            },
        }));
    }

    /// Cache entry of the program once the answer is complete.
    fn marks_after(&self) -> Vec<cache::Mark> {
        let mut marks = self.req.marks.clone();
        marks.push(cache::Mark {
            digest: self.digest_after,
            tokens: self.prompt + id::Tokens::from(self.generated),
        });
        marks
    }
}

/// Runs one incarnation until the future is dropped.
pub(super) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    shared.incarnations.fetch_add(1, Ordering::SeqCst);
    shared.cached.lock().clear();
    shared.in_flight.store(0, Ordering::SeqCst);
    let _crash_guard = recording::CrashGuard(shared.opts.recording.clone());
    let engine = Arc::new(Incarnation::new(shared));
    tokio::select! {
        () = http::serve(listener, engine.clone()) => {}
        () = run_steps(&engine) => {}
        () = sample_load(&engine) => {}
    }
}

impl Incarnation {
    fn new(shared: Arc<Shared>) -> Self {
        let cache = cache::Cache::new(
            shared.opts.cache,
            shared.opts.cache_gap,
            shared.opts.recording.clone(),
        );
        Self {
            state: Mutex::new(State {
                waiting: VecDeque::new(),
                running: Vec::new(),
                streams: HashMap::new(),
                finished: VecDeque::new(),
                cache,
                reports: VecDeque::new(),
                fence: 0,
            }),
            shared,
            work: Notify::new(),
            ids: AtomicU64::new(1),
        }
    }

    /// Enqueues a request. A repeated request id returns the existing stream.
    pub(super) fn submit(&self, req: Request) -> Arc<Stream> {
        let mut state = self.state.lock();
        if let Some(stream) = state.streams.get(&req.id) {
            return stream.clone();
        }
        let id = req.id.clone();
        let mut sequence = Sequence::new(req, 0);
        let stream = sequence.stream.clone();
        self.count_run(sequence.digest);
        sequence.run = self.record_start(sequence.req.work.take());
        state.streams.insert(id, stream.clone());
        state.waiting.push_back(sequence);
        self.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        self.work.notify_one();
        stream
    }

    /// Records the start of a run, if runs are recorded.
    pub(super) fn record_start(&self, work: Option<event::Work>) -> Option<event::RunId> {
        let recording = self.shared.opts.recording.as_ref()?;
        Some(recording.record_run_start(work?))
    }

    fn record_end(&self, sequence: &Sequence, answer: Option<digest::Digest>) {
        if let (Some(recording), Some(run)) = (&self.shared.opts.recording, sequence.run) {
            recording.record_run_end(run, answer);
        }
    }

    /// Counts a run of the prompt that has this digest.
    pub(super) fn count_run(&self, digest: digest::Digest) {
        let mut counts = self.shared.counts.lock();
        *counts.runs.entry(String::from(digest)).or_default() += 1;
    }

    /// Current load.
    fn report(&self) -> Report {
        let state = self.state.lock();
        let sequences = state.waiting.iter().chain(&state.running);
        Report {
            incarnation: self.shared.incarnations.load(Ordering::SeqCst),
            queued: state.waiting.len(),
            running: state.running.len(),
            prefill_tokens: sequences.map(|seq| seq.left_to_prefill).sum(),
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

    /// Load as of `load_lag` ago; the incarnation number and the leaving flag are current.
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
        report.incarnation = self.shared.incarnations.load(Ordering::SeqCst);
        report.leaving = self.shared.leaving.load(Ordering::SeqCst);
        report
    }

    /// Copies the cache contents to where the test reads them.
    pub(super) fn publish_cache(&self) {
        let cached = self.state.lock().cache.contents();
        *self.shared.cached.lock() = cached;
    }

    /// Runs one step of the batch. Returns the duration of the step.
    fn step(&self) -> Duration {
        let mut state = self.state.lock();
        self.remove_cancelled(&mut state);
        self.admit(&mut state);
        let prefilled = self.prefill(&mut state);
        self.decode(&mut state);
        drop(state);
        self.publish_cache();
        let opts = &self.shared.opts;
        let normal = opts.step + opts.prefill * u32::try_from(prefilled).unwrap_or(u32::MAX);
        normal * self.shared.slow_percent.load(Ordering::SeqCst) / 100
    }

    fn admit(&self, state: &mut State) {
        while state.running.len() < self.shared.opts.batch {
            let Some(mut sequence) = state.waiting.pop_front() else {
                break;
            };
            let program = sequence.req.program.as_deref().unwrap_or_default();
            sequence.cached = state.cache.cached(program, &sequence.req.marks);
            sequence.left_to_prefill = sequence.prompt - sequence.cached;
            self.shared.counts.lock().cached += sequence.cached;
            state.running.push(sequence);
        }
        let mut counts = self.shared.counts.lock();
        counts.peak_batch = counts.peak_batch.max(state.running.len());
    }

    fn prefill(&self, state: &mut State) -> id::Tokens {
        let mut left = self.shared.opts.chunk;
        for sequence in &mut state.running {
            let part = sequence.left_to_prefill.min(left);
            sequence.left_to_prefill -= part;
            left -= part;
        }
        let prefilled = self.shared.opts.chunk - left;
        self.shared.counts.lock().prefilled += prefilled;
        prefilled
    }

    fn decode(&self, state: &mut State) {
        let mut running = std::mem::take(&mut state.running);
        running.retain_mut(|sequence| {
            if sequence.left_to_prefill > 0 || !sequence.step() {
                return true;
            }
            self.record_end(sequence, Some(sequence.answer));
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

    fn remove_cancelled(&self, state: &mut State) {
        let all = state.waiting.drain(..).map(|sequence| (false, sequence));
        let all: Vec<_> = all
            .chain(state.running.drain(..).map(|sequence| (true, sequence)))
            .collect();
        for (was_running, sequence) in all {
            if sequence.stream.cancelled.load(Ordering::SeqCst) {
                self.record_end(&sequence, None);
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
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        state.finished.push_back(sequence.req.id.clone());
        if state.finished.len() > MAX_FINISHED_STREAMS
            && let Some(oldest) = state.finished.pop_front()
        {
            state.streams.remove(&oldest);
        }
    }

    fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.waiting.is_empty() && state.running.is_empty()
    }
}

/// Runs steps while there is work, each scheduled from the previous deadline to avoid drift.
async fn run_steps(engine: &Incarnation) {
    let mut next = tokio::time::Instant::now();
    loop {
        if engine.is_idle() {
            engine.work.notified().await;
            next = tokio::time::Instant::now();
            continue;
        }
        if engine.shared.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            next = tokio::time::Instant::now();
            continue;
        }
        let step_time = engine.step();
        if step_time.is_zero() {
            tokio::task::yield_now().await;
            continue;
        }
        next += step_time;
        tokio::time::sleep_until(next).await;
    }
}

/// Samples the load periodically, so that reports can lag by `load_lag`.
async fn sample_load(engine: &Incarnation) {
    const INTERVAL: Duration = Duration::from_millis(5);
    loop {
        engine.sample();
        tokio::time::sleep(INTERVAL).await;
    }
}
