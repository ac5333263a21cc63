//! Decides whether the first waiting request may be sent.
//!
//! Load pattern: a burst that would fill the engines' queues in order of arrival, and that makes
//! engines reject what they have no room for.

use std::time::Duration;

/// Settings of the decision whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnSettings {
    /// Whether requests wait in the host at all.
    pub enabled: bool,
    /// Part of a route's goal that the queue at a server may take.
    pub goal_part: f64,
    /// Queue at a server up to which every request is sent.
    pub min_queue: Duration,
    /// Time within which the service must be able to drain the more urgent requests of other hosts.
    pub urgent_drain: Duration,
    /// Multiple of the bound on a server's queue up to which the mean queue may rise before new
    /// requests whose preferred server is free enter the queue.
    pub pass_factor: f64,
    /// Longest time until the head is looked at again.
    pub recheck: Duration,
}

impl Default for TurnSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            goal_part: 0.25,
            min_queue: Duration::from_millis(50),
            urgent_drain: Duration::from_millis(100),
            pass_factor: 2.0,
            recheck: Duration::from_millis(20),
        }
    }
}

/// What the decision rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TurnInputs {
    /// Queue at the server that placement prefers, in seconds.
    pub preferred_queue: f64,
    /// Shortest queue of all servers that may take the request, in seconds.
    pub shortest_queue: f64,
    /// Mean queue of all servers that may take the request, in seconds.
    pub mean_queue: f64,
    /// Whether the server that placement prefers has no free slot.
    pub is_full: bool,
    /// Goal of the request's route.
    pub goal: Duration,
    /// More urgent work that is known to wait at other hosts, in seconds on a typical server.
    pub urgent_elsewhere: f64,
    /// Work that the servers of the service take, in seconds on a typical server per second.
    pub capacity: f64,
}

/// Whether a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnVerdict {
    /// It is sent to the server that placement prefers.
    Send,
    /// It is sent to the one that placement prefers among the servers with a short queue.
    SendElsewhere,
    /// It waits for the next event.
    Wait,
}

impl TurnSettings {
    /// Returns the longest queue, in seconds, at which a server gets a request of a route with a goal.
    pub fn longest_queue(&self, goal: Duration) -> f64 {
        goal.mul_f64(self.goal_part)
            .max(self.min_queue)
            .as_secs_f64()
    }
}

/// Decides whether the first waiting request may be sent. It waits only if no server's queue is
/// short, so that a wrong estimate of one server delays nothing while another is free. As long as
/// the servers' queues are short on average, the choice of placement stands, unless that server has
/// no free slot.
///
/// ```
/// use std::time::Duration;
///
/// use galenamast_gateway::coordination::backlog::{
///     TurnInputs, TurnSettings, TurnVerdict, decide_turn,
/// };
///
/// let inputs = TurnInputs {
///     preferred_queue: 0.4,
///     shortest_queue: 0.3,
///     mean_queue: 0.5,
///     goal: Duration::from_secs(1),
///     ..TurnInputs::default()
/// };
/// assert_eq!(decide_turn(&inputs, &TurnSettings::default()), TurnVerdict::Wait);
/// ```
pub fn decide_turn(inputs: &TurnInputs, settings: &TurnSettings) -> TurnVerdict {
    let longest = settings.longest_queue(inputs.goal);
    let drained = inputs.capacity * settings.urgent_drain.as_secs_f64();
    if !settings.enabled {
        return TurnVerdict::Send;
    }
    if inputs.urgent_elsewhere > drained {
        return TurnVerdict::Wait;
    }
    let is_preferred =
        inputs.preferred_queue <= longest || (inputs.mean_queue <= longest && !inputs.is_full);
    if is_preferred {
        return TurnVerdict::Send;
    }
    if inputs.shortest_queue <= longest {
        return TurnVerdict::SendElsewhere;
    }
    TurnVerdict::Wait
}

/// Decides whether a new request may be sent without entering the queue. It may if the servers'
/// queues are short on average, or the preferred one's is and the others' are not much longer.
/// Otherwise it enters the queue, which it leaves at once if the host has not used its part of the
/// capacity: with load reports that are old, each host sees some server without a queue also while
/// most are full, and all of them would send there.
pub fn decide_pass(inputs: &TurnInputs, settings: &TurnSettings) -> TurnVerdict {
    let mut longest = settings.longest_queue(inputs.goal);
    if inputs.preferred_queue <= longest {
        longest *= settings.pass_factor;
    }
    if settings.enabled && inputs.mean_queue > longest {
        return TurnVerdict::Wait;
    }
    decide_turn(inputs, settings)
}
