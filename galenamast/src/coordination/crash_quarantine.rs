//! Refuses requests whose content crashed backend servers.
//!
//! A death counts against a request only if the request ran on the server when it died, and the
//! evidence depends on the company: a death with at most [`MAX_SUSPECTS`] requests in flight counts
//! two points against each of them, a crowded one a single point. A request is refused at four
//! points from different servers or incarnations, that is after two plain deaths. When more than
//! [`MAX_CORRELATED_CRASHES`] servers die within [`CORRELATION_WINDOW`], the deaths beyond that
//! bound count against nobody, so that a failing rack quarantines no ordinary request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::state::{ServerName, TimePoint, WorkspaceName};

/// Greatest number of requests on a server whose death counts as a plain one.
pub const MAX_SUSPECTS: usize = 8;
/// Greatest number of servers that may die within the window before further deaths count.
pub const MAX_CORRELATED_CRASHES: usize = 4;
/// Window in which deaths of several servers are taken to have a common cause.
pub const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Points of a death with few requests in flight.
const PLAIN_POINTS: u32 = 2;
/// Points of a death with many requests in flight.
const CROWDED_POINTS: u32 = 1;
/// Points at which a request is refused.
const REFUSAL_POINTS: u32 = 4;
/// Greatest number of fingerprints that are kept.
const MAX_FINGERPRINTS: usize = 10_000;

/// Keyed hash of a workspace and a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashFingerprint(pub u64);

impl CrashFingerprint {
    /// Computes the fingerprint of a request.
    ///
    /// ```
    /// use galenamast::coordination::CrashFingerprint;
    ///
    /// let key = [7; 16];
    /// let first = CrashFingerprint::of_request(&key, &"alta".into(), b"body");
    /// assert_eq!(first, CrashFingerprint::of_request(&key, &"alta".into(), b"body"));
    /// assert_ne!(first, CrashFingerprint::of_request(&key, &"other".into(), b"body"));
    /// ```
    pub fn of_request(key: &[u8; 16], workspace: &WorkspaceName, body: &[u8]) -> Self {
        let mut hasher = SipHasher13::new_with_key(key);
        hasher.write(workspace.as_str().as_bytes());
        hasher.write_u8(0);
        hasher.write(body);
        Self(hasher.finish())
    }
}

/// News for other entry hosts that a server died while it ran a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashNote {
    /// Fingerprint of the request.
    pub fingerprint: CrashFingerprint,
    /// Server that died.
    pub server: ServerName,
    /// Incarnation of the server that died.
    pub incarnation: u64,
    /// Points that the death counts against the request.
    pub points: u32,
    /// Time for which the note counts from its arrival.
    pub valid_for: Duration,
}

/// The death of a server, as the entry host saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCrash {
    /// Server that died.
    pub server: ServerName,
    /// Incarnation of the server that died.
    pub incarnation: u64,
    /// Requests of this host that ran on it.
    pub suspects: Vec<CrashFingerprint>,
}

/// A death on the record of a fingerprint.
#[derive(Clone, Copy, Debug)]
struct DeathEntry {
    points: u32,
    expiry: TimePoint,
}

/// Deaths on the record of one fingerprint, by server and incarnation.
type DeathSet = BTreeMap<(ServerName, u64), DeathEntry>;

/// Fingerprints of requests that servers died of.
#[derive(Debug)]
pub struct CrashQuarantine {
    quarantine_time: Duration,
    fingerprint_count: BTreeMap<CrashFingerprint, DeathSet>,
    recent: VecDeque<(TimePoint, ServerName)>,
}

impl CrashQuarantine {
    /// Returns how many fingerprints have a death on record.
    pub fn fingerprint_count(&self) -> usize {
        self.fingerprint_count.len()
    }

    /// Creates a quarantine without any fingerprint.
    pub fn new(quarantine_time: Duration) -> Self {
        Self {
            quarantine_time,
            fingerprint_count: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Changes the time for which deaths count from now on.
    pub fn set_quarantine_time(&mut self, quarantine_time: Duration) {
        self.quarantine_time = quarantine_time;
    }

    /// Takes in the death of a server and returns the notes for other hosts.
    pub fn record_crash(&mut self, death: &ServerCrash, now: TimePoint) -> Vec<CrashNote> {
        self.recent.push_back((now, death.server.clone()));
        self.recent
            .retain(|(at, _)| now.since(*at) <= CORRELATION_WINDOW);
        let dead: BTreeSet<&ServerName> = self.recent.iter().map(|(_, name)| name).collect();
        if dead.len() > MAX_CORRELATED_CRASHES {
            return Vec::new();
        }
        let points = if death.suspects.len() > MAX_SUSPECTS {
            CROWDED_POINTS
        } else {
            PLAIN_POINTS
        };
        let notes: Vec<CrashNote> = death
            .suspects
            .iter()
            .map(|fingerprint| CrashNote {
                fingerprint: *fingerprint,
                server: death.server.clone(),
                incarnation: death.incarnation,
                points,
                valid_for: self.quarantine_time,
            })
            .collect();
        for note in &notes {
            self.apply_note(note, now);
        }
        notes
    }

    /// Takes in a note; a repeated one changes nothing but its expiry.
    pub fn apply_note(&mut self, note: &CrashNote, now: TimePoint) {
        self.expire(now);
        if self.fingerprint_count.len() >= MAX_FINGERPRINTS
            && !self.fingerprint_count.contains_key(&note.fingerprint)
        {
            return;
        }
        let expiry = now + note.valid_for.min(self.quarantine_time);
        let deaths = self.fingerprint_count.entry(note.fingerprint).or_default();
        let points = note.points.min(PLAIN_POINTS);
        deaths.insert(
            (note.server.clone(), note.incarnation),
            DeathEntry { points, expiry },
        );
    }

    /// Returns the deaths on record for a host that may not know them, the longest valid first.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast::coordination::{CrashFingerprint, CrashQuarantine, ServerDeath};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut quarantine = CrashQuarantine::new(Duration::from_secs(60));
    /// let death = ServerDeath {
    ///     server: "engine".into(),
    ///     incarnation: 1,
    ///     suspects: vec![CrashFingerprint(7)],
    /// };
    /// quarantine.record_death(&death, TimePoint::ZERO);
    /// let notes = quarantine.notes(8, TimePoint::from_millis(10_000));
    /// assert_eq!(notes[0].valid_for, Duration::from_secs(50));
    /// ```
    pub fn notes(&self, limit: usize, now: TimePoint) -> Vec<CrashNote> {
        let mut notes = Vec::new();
        for (fingerprint, deaths) in &self.fingerprint_count {
            let valid = deaths.iter().filter(|(_, entry)| entry.expiry > now);
            notes.extend(valid.map(|((server, incarnation), entry)| CrashNote {
                fingerprint: *fingerprint,
                server: server.clone(),
                incarnation: *incarnation,
                points: entry.points,
                valid_for: entry.expiry.since(now),
            }));
        }
        notes.sort_by_key(|note| std::cmp::Reverse(note.valid_for));
        notes.truncate(limit);
        notes
    }

    /// Takes in a note that another host kept, unless the death is on record already.
    pub fn merge_note(&mut self, note: &CrashNote, now: TimePoint) {
        self.expire(now);
        let death = (note.server.clone(), note.incarnation);
        let deaths = self.fingerprint_count.get(&note.fingerprint);
        if !deaths.is_some_and(|deaths| deaths.contains_key(&death)) {
            self.apply_note(note, now);
        }
    }

    /// Returns for how long a request is still refused.
    pub fn refused_for(&self, fingerprint: CrashFingerprint, now: TimePoint) -> Option<Duration> {
        let deaths = self.fingerprint_count.get(&fingerprint)?;
        let mut entries: Vec<DeathEntry> = deaths.values().copied().collect();
        entries.retain(|entry| entry.expiry > now);
        entries.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.expiry));
        let mut points = 0;
        for entry in entries {
            points += entry.points;
            if points >= REFUSAL_POINTS {
                return Some(entry.expiry.since(now));
            }
        }
        None
    }

    /// Forgets what has expired.
    fn expire(&mut self, now: TimePoint) {
        self.fingerprint_count.retain(|_, deaths| {
            deaths.retain(|_, entry| entry.expiry > now);
            !deaths.is_empty()
        });
    }
}
