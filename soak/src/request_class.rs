//! The kinds of request that callers send.

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A stream of events that may be resumed.
    Stream,
    /// A request that runs once at most.
    Unsafe,
    /// A request that may run again.
    Safe,
}

impl RequestKind {
    /// Returns the kind's name in a configuration.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Unsafe => "unsafe",
            Self::Safe => "safe",
        }
    }
}

/// A kind of request with its rate and limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass {
    /// Name, also of its route.
    pub(crate) name: &'static str,
    /// How it may be repeated.
    pub(crate) kind: RequestKind,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time limit in seconds.
    pub(crate) limit: f64,
    /// Milliseconds within which the response should begin.
    pub(crate) goal_ms: u64,
    /// Events of a stream.
    pub(crate) events: u64,
    /// Tokens of the prompt.
    pub(crate) tokens: usize,
}

/// The classes of the rental desk.
pub(crate) const CLASSES: [RequestClass; 5] = [
    RequestClass {
        name: "fitting-advice",
        kind: RequestKind::Stream,
        rate: 9.71,
        limit: 20.0,
        goal_ms: 3000,
        events: 40,
        tokens: 17_020,
    },
    RequestClass {
        name: "damage-review",
        kind: RequestKind::Stream,
        rate: 4.14,
        limit: 10.0,
        goal_ms: 2000,
        events: 17,
        tokens: 9_190,
    },
    RequestClass {
        name: "counter-reply",
        kind: RequestKind::Stream,
        rate: 12.6,
        limit: 25.0,
        goal_ms: 2000,
        events: 57,
        tokens: 1_460,
    },
    RequestClass {
        name: "deposit-hold",
        kind: RequestKind::Unsafe,
        rate: 6.61,
        limit: 3.0,
        goal_ms: 300,
        events: 0,
        tokens: 75,
    },
    RequestClass {
        name: "gear-lookup",
        kind: RequestKind::Safe,
        rate: 5.29,
        limit: 3.0,
        goal_ms: 300,
        events: 0,
        tokens: 0,
    },
];

/// The class of a route that every other configuration has.
pub(crate) const SEASONAL: RequestClass = RequestClass {
    name: "season-offer",
    kind: RequestKind::Safe,
    rate: 0.0,
    limit: 3.0,
    goal_ms: 300,
    events: 0,
    tokens: 0,
};

impl RequestClass {
    /// Returns the class whose route has a path; `None` if there is none.
    pub(crate) fn of_path(path: &str) -> Option<&'static Self> {
        let name = path.split('/').nth(1)?;
        let mut classes = CLASSES.iter().chain(std::iter::once(&SEASONAL));
        classes.find(|class| class.name == name)
    }

    /// Returns whether the response is a stream.
    pub(crate) fn is_stream(&self) -> bool {
        self.kind == RequestKind::Stream
    }
}
