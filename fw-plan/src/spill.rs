//! Spill-over: what a call to an upstream in another data centre costs, by the room that near ones
//! have.
//!
//! *Load pattern:* callers move from one data centre to another in waves, upstreams are spread over
//! all of them, and each byte between data centres is charged for.
//!
//! *Without it:* the cost of another data centre is a round trip, less than the difference between an
//! idle upstream and one that runs three calls, so two calls of three leave their data centre while
//! near slots are free.
//!
//! *Rule:* while near upstreams have more than a reserve of free slots, by the estimate of all
//! entries' calls, a call elsewhere costs its round trip and a price for each of its bytes. As the
//! free slots fall below the reserve, the price falls, to nothing when all slots are taken. Calls thus
//! spill over before they wait, and return when the wave has passed. A cached prompt or a warm object
//! elsewhere still wins if it saves more time than the bytes cost.
//!
//! *Grounds:* the reserve covers calls that other entries have sent since their last report: a
//! data centre has several entries, each of which sends a call every 20 ms or so.

use std::time::Duration;

/// Price of bytes and the reserve.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time that a call may lose for each KiB that stays in its data centre. A turn of 6 KiB then
    /// stays at a near upstream that is 24 ms slower: less than a wait for a slot, and a tenth of what
    /// callers' deadlines leave.
    pub cost_per_kib: Duration,
    /// Share of the near slots that has to be free for the whole price.
    pub reserve: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cost_per_kib: Duration::from_millis(4),
            reserve: 0.25,
        }
    }
}

/// Slots of the usable upstreams in the own data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    slots: f64,
    free: f64,
}

impl Room {
    /// Adds an upstream with the calls expected there now. Calls beyond its slots leave the free
    /// slots of the others as they are.
    pub fn add(&mut self, slots: u32, load: f64) {
        let slots = f64::from(slots.max(1));
        self.slots += slots;
        self.free += (slots - load).max(0.0);
    }

    /// Share of the price that applies: 1 with more free slots than the reserve, 0 with none.
    fn price_share(self, options: &Options) -> f64 {
        let reserve = (self.slots * options.reserve).max(1.0);
        (self.free / reserve).min(1.0)
    }
}

/// Cost of another data centre for a call of `bytes`, with its answer; `round_trip` is the cost
/// without a price for bytes.
pub fn remote_cost(options: &Options, near: Room, round_trip: Duration, bytes: u32) -> Duration {
    let price = options.cost_per_kib.mul_f64(f64::from(bytes) / 1024.0);
    round_trip + price.mul_f64(near.price_share(options))
}
