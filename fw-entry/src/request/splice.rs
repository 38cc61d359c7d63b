//! Splices the event streams of a turn's successive runs into one answer.
//!
//! When an upstream or a keeper dies during a streamed turn, the turn runs again and its events start
//! from the beginning, while the caller already has a part of the answer. If the new run begins with
//! exactly the delivered text, the rest is passed on and the caller sees only a pause. If it differs,
//! the caller receives an error, never a mix of two answers.

use fw_base::error;
use fw_wire::attempt;
use serde::Deserialize;
use serde_json::Value;

/// Splicer for one caller of one turn, with the events delivered so far.
#[derive(Debug, Default)]
pub struct Splice {
    delivered: Vec<attempt::Event>,
    /// Text that the new run must still repeat; `None` while events are passed on unchanged.
    expected: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
    tool_calls: Option<Value>,
}

impl Splice {
    /// Whether nothing was delivered yet.
    pub fn is_empty(&self) -> bool {
        self.delivered.is_empty()
    }

    /// Starts a new run, whose events follow from its beginning.
    ///
    /// # Errors
    ///
    /// When a tool call was delivered in part, since two runs cannot be compared then.
    pub fn restart(&mut self) -> Result<(), error::Error> {
        if self.is_empty() {
            return Ok(());
        }
        let mut text = String::new();
        for event in &self.delivered {
            let chunk = parse(event)?;
            for choice in chunk.choices {
                if choice.delta.tool_calls.is_some() {
                    return Err(diverged("a tool call was delivered in part"));
                }
                text.push_str(choice.delta.content.as_deref().unwrap_or_default());
            }
        }
        self.expected = Some(text);
        Ok(())
    }

    /// The part of `event` to pass on to the caller, if any.
    ///
    /// # Errors
    ///
    /// When the new run differs from what was delivered.
    pub fn pass(&mut self, event: attempt::Event) -> Result<Option<attempt::Event>, error::Error> {
        let Some(expected) = self.expected.take() else {
            self.delivered.push(event.clone());
            return Ok(Some(event));
        };
        let chunk = parse(&event)?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            self.expected = Some(expected);
            return Ok(None);
        };
        let content = choice.delta.content.unwrap_or_default();
        if let Some(rest) = expected.strip_prefix(content.as_str()) {
            return self.hold_back(rest, choice.finish_reason.is_some(), event);
        }
        let Some(tail) = content.strip_prefix(expected.as_str()) else {
            return Err(diverged("the new run's answer differs"));
        };
        let rest = with_content(&event, tail)?;
        self.delivered.push(rest.clone());
        Ok(Some(rest))
    }

    fn hold_back(
        &mut self,
        rest: &str,
        ends: bool,
        event: attempt::Event,
    ) -> Result<Option<attempt::Event>, error::Error> {
        if ends && !rest.is_empty() {
            return Err(diverged("the new run's answer is shorter"));
        }
        if ends {
            self.delivered.push(event.clone());
            return Ok(Some(event));
        }
        self.expected = Some(rest.to_owned());
        Ok(None)
    }
}

fn parse(event: &str) -> Result<Chunk, error::Error> {
    serde_json::from_str(event).map_err(|err| diverged(&format!("a chunk is malformed: {err}")))
}

fn with_content(event: &str, content: &str) -> Result<attempt::Event, error::Error> {
    let malformed = |err| diverged(&format!("a chunk is malformed: {err}"));
    let mut value: Value = serde_json::from_str(event).map_err(malformed)?;
    if let Some(delta) = value.pointer_mut("/choices/0/delta/content") {
        *delta = content.into();
    }
    Ok(value.to_string().into())
}

fn diverged(why: &str) -> error::Error {
    let message = format!(
        "the turn ran again after a failure and its answer cannot be continued: {why}; send it again"
    );
    error::Error::new(error::Kind::UpstreamCrashed, message)
}
