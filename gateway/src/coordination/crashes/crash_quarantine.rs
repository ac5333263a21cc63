//! Refuses requests that crash servers, and requests with a prompt part that does.
//!
//! A crash is held against everything that was unanswered on the server. A part that occurs in several
//! crashes, none of its requests answered since, is refused; crashes that it explains count against
//! nothing else. An answer shows that none of its prompt's parts crashes servers, so parts that sound
//! requests share with crashing ones need far more evidence, and are released by their next answer.
//! Hosts share crashes and, for parts that become suspect, answers. What they hold against requests and
//! parts they repeat to one another, so that it outlives the replacement of each of them.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::coordination::crashes::{CrashLog, CrashSettings, SuspectKey};
use crate::state::{CrashReport, CrashSuspect, PartReport, RequestReport, ServerCrash};

/// Number of crashes with a part from which hosts report that it was answered.
const SUSPICIOUS_CRASHES: usize = 2;
/// Shortest time between two reports of a host that a part was answered.
const ANSWER_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Greatest number of parts in one report.
const MAX_REPORTED_PARTS: usize = 32;
/// Greatest number of requests in one report; if there are more, reports name them in turn.
const MAX_REPORTED_REQUESTS: usize = 32;
/// Greatest number of crashes of a request in one report; a request is refused for fewer.
const MAX_REPORTED_CRASHES: usize = 4;
/// Greatest size of the requests in one report, in bytes.
const MAX_REQUEST_REPORT_BYTES: usize = 1_000;
/// Greatest size of a reported request without its crashes, and of a crash without its server's
/// identifier, in bytes.
const REPORT_HEAD_BYTES: usize = 11;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashRefusal {
    /// The request crashed servers.
    Request,
    /// Requests with the part of this digest crashed servers.
    Part(u64),
}

/// What follows from a crash, an answer or a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashVerdict {
    /// Number of crashes that are held against the request.
    pub crashes: usize,
    /// Parts that are refused from now on.
    pub refused: Vec<u64>,
    /// Parts that are no longer refused.
    pub released: Vec<u64>,
    /// Parts that this host saw answered, for the other hosts.
    pub answered: Vec<PartReport>,
}

/// A refused part.
#[derive(Clone, Copy, Debug)]
struct RefusedPart {
    crashes: usize,
    crashed_at: TimePoint,
    refused_at: TimePoint,
    // Number of trial intervals since `crashed_at` at this host's last trial.
    trial: u64,
}

/// Requests and prompt parts that crash servers.
#[derive(Clone, Debug, Default)]
pub struct CrashQuarantine {
    host: Arc<str>,
    hosts: Vec<Arc<str>>,
    settings: CrashSettings,
    log: CrashLog,
    refused: BTreeMap<u64, RefusedPart>,
    answered: BTreeMap<u64, TimePoint>,
    reported: BTreeMap<u64, TimePoint>,
    // Requests that this host saw answered after they were suspects.
    cleared: BTreeMap<u64, TimePoint>,
    // Number of reports of suspected requests so far.
    request_reports: usize,
}

impl CrashQuarantine {
    /// Creates the quarantine of a host that knows of no crash.
    pub fn new(host: Arc<str>, settings: CrashSettings) -> Self {
        Self {
            host,
            settings,
            log: CrashLog::new(settings),
            ..Self::default()
        }
    }

    /// Sets the names of the listed hosts, of which one at a time tries refused parts.
    pub fn set_hosts(&mut self, hosts: Vec<Arc<str>>) {
        self.hosts = hosts;
    }

    /// Returns a time as it is recorded: later by the time for which a part is refused, so that what
    /// happened before the start of the process can be recorded too.
    fn recorded_time(&self, at: TimePoint) -> TimePoint {
        at + self.settings.refusal_time
    }

    /// Records that a connection to a server broke, whatever request it carried.
    pub fn record_disconnect(&mut self, server: &Arc<str>, now: TimePoint) {
        let now = self.recorded_time(now);
        self.log.record_loss(server, now);
    }

    /// Records that a server crashed while a request of any host was unanswered there.
    pub fn record_crash(
        &mut self,
        server: &Arc<str>,
        suspect: &CrashSuspect,
        now: TimePoint,
    ) -> CrashVerdict {
        let now = self.recorded_time(now);
        self.hold_crash(server, suspect, now)
    }

    /// Holds a crash against a request and its parts.
    fn hold_crash(
        &mut self,
        server: &Arc<str>,
        suspect: &CrashSuspect,
        now: TimePoint,
    ) -> CrashVerdict {
        let refused = |part| self.refused.contains_key(&part);
        let is_explained = self.log.record_crash(server, suspect, refused, now);
        let known_part = suspect.parts.iter().find(|part| refused(**part)).copied();
        if let Some(part) = known_part.filter(|_| is_explained)
            && let Some(entry) = self.refused.get_mut(&part)
        {
            (entry.crashes, entry.crashed_at, entry.trial) = (entry.crashes + 1, now, 0);
        }
        let refused = self.refuse_suspected(now);
        let key = SuspectKey::Request(suspect.fingerprint);
        CrashVerdict {
            crashes: self.log.count(key, None, now),
            refused,
            ..CrashVerdict::default()
        }
    }

    /// Records a crash that another host saw. The verdict names the parts that this host saw answered,
    /// if the other hosts may be about to refuse them.
    pub fn record_report(&mut self, report: &CrashReport, now: TimePoint) -> CrashVerdict {
        let now = self.recorded_time(now);
        let verdict = self.hold_crash(&report.server, &report.suspect, now);
        let parts = report.suspect.parts.iter().copied();
        let due: Vec<u64> = parts
            .filter(|part| self.is_answer_due(*part, now))
            .collect();
        let answered = due.into_iter().map(|part| self.answer_report(part, now));
        CrashVerdict {
            answered: answered.collect(),
            ..verdict
        }
    }

    /// Records that a server answered a request of this host. The verdict names the parts that are
    /// refused or suspect.
    pub fn record_answer(&mut self, suspect: &CrashSuspect, now: TimePoint) -> CrashVerdict {
        let now = self.recorded_time(now);
        let mut verdict = CrashVerdict::default();
        if !self.log.is_empty() && self.log.clear_request(suspect.fingerprint) {
            self.note_cleared(suspect.fingerprint, now);
        }
        for part in suspect.parts.iter().copied() {
            let key = SuspectKey::Part(part);
            let crashes = self.log.count(key, self.answered_at(part), now);
            let is_suspect = self.refused.contains_key(&part) || crashes >= SUSPICIOUS_CRASHES;
            if self.note_answer(part, now) {
                verdict.released.push(part);
            }
            if is_suspect {
                verdict.answered.push(self.answer_report(part, now));
            }
        }
        if !verdict.released.is_empty() {
            verdict.refused = self.refuse_suspected(now);
        }
        verdict
    }

    /// Records parts that another host saw answered.
    pub fn record_answer_reports(
        &mut self,
        reports: &[PartReport],
        now: TimePoint,
    ) -> CrashVerdict {
        let now = self.recorded_time(now);
        let mut verdict = CrashVerdict::default();
        for report in reports.iter().take(MAX_REPORTED_PARTS) {
            let age = Duration::from_millis(u64::from(report.age_ms));
            if self.note_answer(report.digest, now - age) {
                verdict.released.push(report.digest);
            }
        }
        if !verdict.released.is_empty() {
            verdict.refused = self.refuse_suspected(now);
        }
        verdict
    }

    /// Records parts that another host refuses. The verdict names those that this host saw answered.
    pub fn record_refusal_reports(
        &mut self,
        reports: &[PartReport],
        now: TimePoint,
    ) -> CrashVerdict {
        let now = self.recorded_time(now);
        let mut verdict = CrashVerdict::default();
        for report in reports.iter().take(MAX_REPORTED_PARTS) {
            let part = report.digest;
            let crashed_at = now - Duration::from_millis(u64::from(report.age_ms));
            let crashes = usize::try_from(report.crashes).unwrap_or(usize::MAX);
            if self.is_cleared(part, crashes, crashed_at) {
                verdict.answered.push(self.answer_report(part, now));
                continue;
            }
            let known = self.refused.get(&part).copied();
            let fresh = RefusedPart {
                crashes,
                crashed_at,
                refused_at: now,
                trial: 0,
            };
            let entry = known.map_or(fresh, |known| RefusedPart {
                crashes: known.crashes.max(crashes),
                crashed_at: known.crashed_at.max(crashed_at),
                ..known
            });
            if known.is_none() {
                verdict.refused.push(part);
            }
            self.insert_refused(part, entry);
        }
        verdict
    }

    /// Returns the refused parts, for hosts that missed the crashes.
    pub fn refusal_reports(&mut self, now: TimePoint) -> Vec<PartReport> {
        let now = self.recorded_time(now);
        let refusal_time = self.settings.refusal_time;
        self.refused
            .retain(|_, part| now.since(part.crashed_at) < refusal_time);
        let mut parts: Vec<_> = self.refused.iter().collect();
        parts.sort_unstable_by_key(|(_, part)| std::cmp::Reverse(part.crashed_at));
        let report = |(digest, part): (&u64, &RefusedPart)| PartReport {
            digest: *digest,
            crashes: u32::try_from(part.crashes).unwrap_or(u32::MAX),
            age_ms: age_ms(part.crashed_at, now),
        };
        parts
            .into_iter()
            .take(MAX_REPORTED_PARTS)
            .map(report)
            .collect()
    }

    /// Returns the requests that crashes are held against, for hosts that missed the crashes: refused
    /// ones before suspects, and as many as a report may hold.
    pub fn request_reports(&mut self, now: TimePoint) -> Vec<RequestReport> {
        let now = self.recorded_time(now);
        let counts = self.log.suspected_requests(now).into_iter();
        let is_refused = |(_, count): &(u64, usize)| *count >= self.settings.request_crashes;
        let (mut refused, mut suspected): (Vec<_>, Vec<_>) = counts.partition(is_refused);
        for group in [&mut refused, &mut suspected] {
            let turn = self.request_reports.wrapping_mul(MAX_REPORTED_REQUESTS);
            let start = turn.checked_rem(group.len()).unwrap_or(0);
            group.rotate_left(start);
        }
        self.request_reports = self.request_reports.wrapping_add(1);
        let mut bytes = 0;
        let chosen = refused.into_iter().chain(suspected);
        let reports = chosen
            .take(MAX_REPORTED_REQUESTS)
            .filter_map(|(fingerprint, _)| {
                let report = self.request_report(fingerprint, now)?;
                let size = report_bytes(&report);
                let fits = bytes + size <= MAX_REQUEST_REPORT_BYTES;
                bytes += if fits { size } else { 0 };
                fits.then_some(report)
            });
        reports.collect()
    }

    /// Records the crashes that another host holds against requests; returns the number of those that
    /// were unknown.
    pub fn record_request_reports(&mut self, reports: &[RequestReport], now: TimePoint) -> usize {
        let now = self.recorded_time(now);
        let mut news = 0;
        for report in reports.iter().take(MAX_REPORTED_REQUESTS) {
            let cleared_at = self.cleared.get(&report.fingerprint);
            let cleared_for = cleared_at.map(|at| now.since(*at));
            let crashes = report.crashes.iter().take(MAX_REPORTED_CRASHES);
            let aged = crashes.map(|crash| {
                let age = Duration::from_millis(u64::from(crash.age_ms));
                (crash.server.clone(), age)
            });
            let counted: Vec<_> = aged
                .filter(|(_, age)| cleared_for.is_none_or(|time| *age < time))
                .collect();
            news += self.log.merge_request(report.fingerprint, &counted, now);
        }
        news
    }

    /// Returns why a request is refused. A request with a refused part may be let through as a trial,
    /// by one host at a time.
    pub fn refusal(&mut self, suspect: &CrashSuspect, now: TimePoint) -> Option<CrashRefusal> {
        let recorded_now = self.recorded_time(now);
        let is_refused = |part: &&u64| self.refused.contains_key(*part);
        let refused: Vec<u64> = suspect.parts.iter().filter(is_refused).copied().collect();
        let denied = refused
            .into_iter()
            .find(|part| !self.take_trial(*part, recorded_now));
        if let Some(part) = denied {
            return Some(CrashRefusal::Part(part));
        }
        self.is_request_refused(suspect, now)
            .then_some(CrashRefusal::Request)
    }

    /// Returns whether a request is refused for its own crashes.
    pub fn is_request_refused(&self, suspect: &CrashSuspect, now: TimePoint) -> bool {
        let now = self.recorded_time(now);
        let key = SuspectKey::Request(suspect.fingerprint);
        let crashes = if self.log.is_empty() {
            0
        } else {
            self.log.count(key, None, now)
        };
        crashes >= self.settings.request_crashes
    }

    /// Returns whether a server crashed, too long ago for a common cause with a loss at `now`.
    pub fn has_crashed_before(&self, server: &str, now: TimePoint) -> bool {
        let now = self.recorded_time(now);
        self.log.has_crashed_before(server, now)
    }

    /// Returns whether a connection to a server broke so recently that a loss at `now` may have the same
    /// cause.
    pub fn was_lost_recently(&self, server: &str, now: TimePoint) -> bool {
        let now = self.recorded_time(now);
        self.log.was_lost_recently(server, now)
    }

    /// Returns the number of crashes for which a part is refused; 0 if it is not refused.
    pub fn crashes_of(&self, part: u64) -> usize {
        self.refused.get(&part).map_or(0, |entry| entry.crashes)
    }

    /// Returns whether a part of a request was refused after the request was sent at `sent_at`.
    pub fn is_refused_since(&self, suspect: &CrashSuspect, sent_at: TimePoint) -> bool {
        let sent_at = self.recorded_time(sent_at);
        let mut parts = suspect
            .parts
            .iter()
            .filter_map(|part| self.refused.get(part));
        parts.any(|part| part.refused_at >= sent_at)
    }

    /// Refuses the parts that enough crashes are held against; returns them.
    fn refuse_suspected(&mut self, now: TimePoint) -> Vec<u64> {
        let mut refused = Vec::new();
        loop {
            let needed = |part| self.needed_crashes(part);
            let suspected = self
                .log
                .suspected_parts(needed, |part| self.answered_at(part), now);
            let Some((part, crashes)) = suspected.first().copied() else {
                return refused;
            };
            let entry = RefusedPart {
                crashes,
                crashed_at: now,
                refused_at: now,
                trial: 0,
            };
            self.insert_refused(part, entry);
            refused.push(part);
        }
    }

    /// Returns the report of a request; `None` if no crash is held against it.
    fn request_report(&self, fingerprint: u64, now: TimePoint) -> Option<RequestReport> {
        let crashes = self.log.crashes_of_request(fingerprint, now);
        let report = |(server, age): (Arc<str>, Duration)| ServerCrash {
            server,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        };
        let crashes: Vec<_> = crashes
            .into_iter()
            .take(MAX_REPORTED_CRASHES)
            .map(report)
            .collect();
        (!crashes.is_empty()).then_some(RequestReport {
            fingerprint,
            crashes,
        })
    }

    /// Notes that a suspected request was answered, so that earlier crashes are not held against it again.
    fn note_cleared(&mut self, fingerprint: u64, now: TimePoint) {
        let evidence_time = self.settings.evidence_time;
        self.cleared.retain(|_, at| now.since(*at) < evidence_time);
        if self.cleared.len() >= self.settings.max_parts {
            let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.cleared.remove(&oldest);
            }
        }
        self.cleared.insert(fingerprint, now);
    }

    /// Returns whether to report that a suspect part was answered.
    fn is_answer_due(&self, part: u64, now: TimePoint) -> bool {
        let reported_at = self.reported.get(&part);
        self.answered.contains_key(&part)
            && reported_at.is_none_or(|at| now.since(*at) >= ANSWER_REPORT_INTERVAL)
            && self.log.occurrences(part) >= SUSPICIOUS_CRASHES
    }

    /// Adds or replaces a refused part.
    fn insert_refused(&mut self, part: u64, entry: RefusedPart) {
        let is_new = !self.refused.contains_key(&part);
        if is_new && self.refused.len() >= self.settings.max_parts {
            let oldest = self.refused.iter().min_by_key(|(_, part)| part.crashed_at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.refused.remove(&oldest);
            }
        }
        self.refused.insert(part, entry);
        self.log.assign_cause(part);
    }

    /// Notes an answer to a request with a part; returns whether the part is no longer refused.
    fn note_answer(&mut self, part: u64, at: TimePoint) -> bool {
        if self.answered.len() >= self.settings.max_parts && !self.answered.contains_key(&part) {
            let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.answered.remove(&oldest);
            }
        }
        let answered_at = self.answered.entry(part).or_insert(at);
        *answered_at = at.max(*answered_at);
        let Some(entry) = self.refused.get(&part).copied() else {
            return false;
        };
        let is_cleared = self.is_cleared(part, entry.crashes, entry.crashed_at);
        if is_cleared {
            self.refused.remove(&part);
            self.log.withdraw_cause(part);
        }
        is_cleared
    }

    /// Returns whether answers outweigh the crashes of a part.
    fn is_cleared(&self, part: u64, crashes: usize, crashed_at: TimePoint) -> bool {
        let is_later = |answered_at| answered_at > crashed_at;
        self.answered_at(part).is_some_and(is_later) || crashes < self.needed_crashes(part)
    }

    /// Returns the number of crashes from which a part is refused.
    fn needed_crashes(&self, part: u64) -> usize {
        if self.answered.contains_key(&part) {
            return self.settings.answered_part_crashes;
        }
        self.settings.part_crashes
    }

    /// Returns when a request with a part was last answered, if it ever was.
    fn answered_at(&self, part: u64) -> Option<TimePoint> {
        self.answered.get(&part).copied()
    }

    /// Returns the report of an answered part.
    fn answer_report(&mut self, part: u64, now: TimePoint) -> PartReport {
        let interval = ANSWER_REPORT_INTERVAL;
        self.reported.retain(|_, at| now.since(*at) < interval);
        self.reported.insert(part, now);
        PartReport {
            digest: part,
            crashes: 0,
            age_ms: self.answered_at(part).map_or(0, |at| age_ms(at, now)),
        }
    }

    /// Takes the trial of a refused part, if it is this host's turn and the trial was not used.
    fn take_trial(&mut self, part: u64, now: TimePoint) -> bool {
        let Some(entry) = self.refused.get_mut(&part) else {
            return true;
        };
        let interval = self.settings.trial_interval.as_micros().max(1);
        let trial = now.since(entry.crashed_at).as_micros() / interval;
        let trial = u64::try_from(trial).unwrap_or(u64::MAX);
        if trial <= entry.trial {
            return false;
        }
        let rank = |host: &&Arc<str>| trial_rank(part, trial, host);
        let holder = self.hosts.iter().max_by_key(rank);
        if holder.is_some_and(|holder| *holder != self.host) {
            return false;
        }
        entry.trial = trial;
        true
    }
}

/// Returns the rendezvous hash of a host for a trial of a part.
fn trial_rank(part: u64, trial: u64, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(part);
    hasher.write_u64(trial);
    hasher.write(host.as_bytes());
    hasher.finish()
}

/// Returns the time since `at` in milliseconds.
fn age_ms(at: TimePoint, now: TimePoint) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the greatest size of a request in a report, in bytes.
fn report_bytes(report: &RequestReport) -> usize {
    let crashes = report.crashes.iter();
    let sizes = crashes.map(|crash| REPORT_HEAD_BYTES + crash.server.len());
    REPORT_HEAD_BYTES + sizes.sum::<usize>()
}
