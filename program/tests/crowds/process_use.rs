//! Memory and descriptors of a process, as the kernel counts them.

use std::collections::BTreeSet;
use std::fs;

use crate::front_process::FrontProcess;

/// Size of a page of memory in bytes.
const PAGE_BYTES: usize = 4_096;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUse {
    /// Memory of the process and bytes that it has received and not read, in bytes.
    pub(crate) memory_bytes: usize,
    /// Part of it that is unread.
    pub(crate) unread_bytes: usize,
    /// Number of open descriptors.
    pub(crate) descriptors: usize,
}

impl ProcessUse {
    /// Reads the use of a host's process.
    pub(crate) fn read(host: &FrontProcess) -> Self {
        let folder = format!("/proc/{}", host.id());
        let memory = fs::read_to_string(format!("{folder}/statm")).expect("the host runs");
        let pages = memory
            .split_whitespace()
            .nth(1)
            .and_then(|pages| pages.parse().ok());
        let resident = pages.unwrap_or(0) * PAGE_BYTES;
        let descriptors = fs::read_dir(format!("{folder}/fd")).expect("the host runs");
        let targets: Vec<String> = descriptors
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.to_string_lossy().into_owned())
            .collect();
        let sockets: BTreeSet<&str> = targets
            .iter()
            .filter_map(|target| target.strip_prefix("socket:[")?.strip_suffix(']'))
            .collect();
        let unread = unread_bytes(host.callers.port(), &sockets);
        Self {
            memory_bytes: resident + unread,
            unread_bytes: unread,
            descriptors: targets.len(),
        }
    }

    /// Returns the most of each of two uses.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Returns the bytes that wait in open sockets, and in connections to a port that are not accepted yet.
fn unread_bytes(port: u16, sockets: &BTreeSet<&str>) -> usize {
    let port = format!(":{port:04X}");
    let table = fs::read_to_string("/proc/net/tcp").expect("the table is readable");
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_listening = fields.get(3) == Some(&"0A");
        let is_waiting = fields.get(1)?.ends_with(&port) && fields.get(9) == Some(&"0");
        if is_listening || !(is_waiting || sockets.contains(fields.get(9)?)) {
            return None;
        }
        let (_, received) = fields.get(4)?.split_once(':')?;
        usize::from_str_radix(received, 16).ok()
    });
    unread.sum()
}
