//! Order in which an entry that has just started prepares the calls that waited for it.
//!
//! *Load pattern:* all instances lose power at once and return. Callers have waited meanwhile, and
//! all their calls arrive in the same moment at entries that have a part of a core each.
//!
//! *Without it:* calls are prepared in the order in which their connections were accepted. A call
//! of a program under way, which has lost time already, waits for the processor behind programs
//! that only begin and programs that can no longer be in time.
//!
//! *Rule:* for a short time after the start, a call that begins a program is held while calls of
//! programs under way are being prepared, and a call whose program is over its time while any other
//! call is, but none for longer than [`Options::max_hold`]. The wait for a slot of an upstream
//! comes afterwards, by the queue's own order.
//!
//! *Grounds:* the preparation of a hundred calls takes an entry some hundred milliseconds.
//! [`Options::max_hold`] is a pause that callers accept between two events.

use std::time::Duration;

/// What is known of the program of a call, in the order of preparation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It is under way, or the call belongs to no program.
    UnderWay,
    /// It begins with this call.
    Begins,
    /// It is over its time.
    Overdue,
}

/// Number of classes.
pub const CLASSES: usize = 3;

/// Limits of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time after the start in which calls are ordered.
    pub window: Duration,
    /// Longest time for which a call is held.
    pub max_hold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            max_hold: Duration::from_millis(150),
        }
    }
}

/// Decision about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is prepared.
    Prepare,
    /// It is held until fewer calls are being prepared, at most this long.
    Hold(Duration),
}

/// The class of a call: `continues` if it is known to continue a program, `time_left` until its
/// program is due, if it belongs to one.
pub fn class(continues: bool, time_left: Option<Duration>) -> Class {
    match time_left {
        Some(Duration::ZERO) => Class::Overdue,
        Some(_) if !continues => Class::Begins,
        Some(_) | None => Class::UnderWay,
    }
}

impl Options {
    /// Decides about a call of `class` that was held for `held`, `now` after the start; `preparing`
    /// are the calls of each class that are being prepared or held.
    pub fn decide(
        &self,
        class: Class,
        now: Duration,
        held: Duration,
        preparing: &[u32; CLASSES],
    ) -> Outcome {
        let before = &preparing[..class as usize];
        let left = self.max_hold.saturating_sub(held);
        if now >= self.window || left.is_zero() || before.iter().all(|calls| *calls == 0) {
            return Outcome::Prepare;
        }
        Outcome::Hold(left)
    }
}
