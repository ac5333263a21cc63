//! Refuses requests whose content crashed backend servers.
//!
//! A crash counts against a request only if the request ran on the server at that time. A crash
//! with at most [`MAX_SUSPECTS`] requests in flight counts two points against each of them, a crash
//! with more requests a single point. A request is refused at four points from different servers or
//! incarnations, for example after two crashes with few requests in flight. When more than
//! [`MAX_CORRELATED_CRASHES`] servers crash within [`CORRELATION_WINDOW`], the crashes beyond that
//! number count against no request, so that a failing rack quarantines no ordinary request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::state::{ServerName, TimePoint, WorkspaceName};

/// Maximum number of requests on a crashed server for which each of them gets the full points.
pub const MAX_SUSPECTS: usize = 8;
/// Maximum number of servers that may crash within the window; further crashes are not counted.
pub const MAX_CORRELATED_CRASHES: usize = 4;
/// Window within which crashes of several servers are taken to have a common cause.
pub const CORRELATION_WINDOW: Duration = Duration::from_secs(1);
/// Points of a crash with at most [`MAX_SUSPECTS`] requests in flight.
const FEW_SUSPECTS_POINTS: u32 = 2;
/// Points of a crash with more than [`MAX_SUSPECTS`] requests in flight.
const MANY_SUSPECTS_POINTS: u32 = 1;
/// Number of points at which a request is refused.
const REFUSAL_POINTS: u32 = 4;
/// Maximum number of fingerprints on record; notes about further ones are dropped.
const MAX_FINGERPRINTS: usize = 10_000;

/// Keyed hash of a workspace and a request body, which identifies the content of a request.
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

/// Message to other entry hosts that a server crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashNote {
    /// Fingerprint of the request.
    pub fingerprint: CrashFingerprint,
    /// Server that crashed.
    pub server: ServerName,
    /// Incarnation of the server that crashed.
    pub incarnation: u64,
    /// Points that the crash counts against the request.
    pub points: u32,
    /// Time for which the note counts from its arrival.
    pub valid_for: Duration,
}

/// Crash of a server, as observed by an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCrash {
    /// Server that crashed.
    pub server: ServerName,
    /// Incarnation of the server that crashed.
    pub incarnation: u64,
    /// Requests of this host that ran on the server when it crashed.
    pub suspects: Vec<CrashFingerprint>,
}

/// Crash on the record of a fingerprint.
#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    points: u32,
    expiry: TimePoint,
}

/// Crashes on the record of one fingerprint, by server and incarnation.
type CrashRecord = BTreeMap<(ServerName, u64), CrashEntry>;

/// Record of the requests that were running on servers when these crashed.
#[derive(Debug)]
pub struct CrashQuarantine {
    quarantine_time: Duration,
    records: BTreeMap<CrashFingerprint, CrashRecord>,
    /// Crashes within the correlation window.
    recent: VecDeque<(TimePoint, ServerName)>,
}

impl CrashQuarantine {
    /// Returns the number of fingerprints with a crash on record.
    pub fn fingerprint_count(&self) -> usize {
        self.records.len()
    }

    /// Creates a quarantine without records.
    pub fn new(quarantine_time: Duration) -> Self {
        Self {
            quarantine_time,
            records: BTreeMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Changes the time for which new crashes count.
    pub fn set_quarantine_time(&mut self, quarantine_time: Duration) {
        self.quarantine_time = quarantine_time;
    }

    /// Records the crash of a server and returns the notes for other hosts.
    pub fn record_crash(&mut self, crash: &ServerCrash, now: TimePoint) -> Vec<CrashNote> {
        self.recent.push_back((now, crash.server.clone()));
        self.recent
            .retain(|(at, _)| now.since(*at) <= CORRELATION_WINDOW);
        let crashed: BTreeSet<&ServerName> = self.recent.iter().map(|(_, name)| name).collect();
        if crashed.len() > MAX_CORRELATED_CRASHES {
            return Vec::new();
        }
        let points = if crash.suspects.len() > MAX_SUSPECTS {
            MANY_SUSPECTS_POINTS
        } else {
            FEW_SUSPECTS_POINTS
        };
        let notes: Vec<CrashNote> = crash
            .suspects
            .iter()
            .map(|fingerprint| CrashNote {
                fingerprint: *fingerprint,
                server: crash.server.clone(),
                incarnation: crash.incarnation,
                points,
                valid_for: self.quarantine_time,
            })
            .collect();
        for note in &notes {
            self.apply_note(note, now);
        }
        notes
    }

    /// Applies a note. A repeated note only renews the expiry of its crash.
    pub fn apply_note(&mut self, note: &CrashNote, now: TimePoint) {
        self.expire(now);
        if self.records.len() >= MAX_FINGERPRINTS && !self.records.contains_key(&note.fingerprint) {
            return;
        }
        let expiry = now + note.valid_for.min(self.quarantine_time);
        let record = self.records.entry(note.fingerprint).or_default();
        let points = note.points.min(FEW_SUSPECTS_POINTS);
        record.insert(
            (note.server.clone(), note.incarnation),
            CrashEntry { points, expiry },
        );
    }

    /// Returns up to `limit` crashes on record for a host that may not know them, those that are
    /// valid longest first.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast::coordination::{CrashFingerprint, CrashQuarantine, ServerCrash};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut quarantine = CrashQuarantine::new(Duration::from_secs(60));
    /// let crash = ServerCrash {
    ///     server: "engine".into(),
    ///     incarnation: 1,
    ///     suspects: vec![CrashFingerprint(7)],
    /// };
    /// quarantine.record_crash(&crash, TimePoint::ZERO);
    /// let notes = quarantine.notes(8, TimePoint::from_millis(10_000));
    /// assert_eq!(notes[0].valid_for, Duration::from_secs(50));
    /// ```
    pub fn notes(&self, limit: usize, now: TimePoint) -> Vec<CrashNote> {
        let mut notes = Vec::new();
        for (fingerprint, record) in &self.records {
            let valid = record.iter().filter(|(_, entry)| entry.expiry > now);
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

    /// Applies a note from another host's record, unless the crash is on record already.
    pub fn merge_note(&mut self, note: &CrashNote, now: TimePoint) {
        self.expire(now);
        let crash = (note.server.clone(), note.incarnation);
        let record = self.records.get(&note.fingerprint);
        if !record.is_some_and(|record| record.contains_key(&crash)) {
            self.apply_note(note, now);
        }
    }

    /// Returns the remaining time for which a request is refused; `None` if it is not refused.
    pub fn refused_for(&self, fingerprint: CrashFingerprint, now: TimePoint) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let mut entries: Vec<CrashEntry> = record.values().copied().collect();
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

    /// Removes expired crashes, and fingerprints without any other.
    fn expire(&mut self, now: TimePoint) {
        self.records.retain(|_, record| {
            record.retain(|_, entry| entry.expiry > now);
            !record.is_empty()
        });
    }
}
