//! Where the keys of an INI text stand.

use std::collections::BTreeMap;

/// Lines of the sections and keys of an INI text, from one.
#[derive(Clone, Debug, Default)]
pub(crate) struct IniLines {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

/// A section or key that stands more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RepeatedLine {
    /// Line of the repetition.
    pub(crate) line: usize,
    /// Line where it stood first.
    pub(crate) first: usize,
    /// Section or key as it would be written.
    pub(crate) subject: String,
}

impl IniLines {
    /// Finds the lines of a text.
    pub(crate) fn scan(text: &str) -> Self {
        let mut lines = Self::default();
        let mut section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with([';', '#']) {
                continue;
            }
            let header = line
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'));
            if let Some(name) = header {
                section = name.trim().to_owned();
                let known = lines.sections.entry(section.clone()).or_default();
                known.push(index + 1);
            } else if let Some((name, _)) = line.split_once(['=', ':']) {
                let key = (section.clone(), name.trim().to_owned());
                lines.keys.entry(key).or_default().push(index + 1);
            }
        }
        lines
    }

    /// Returns the line of a key, or of its section, or the first line.
    pub(crate) fn line_of(&self, section: &str, name: &str) -> usize {
        let key = (section.to_owned(), name.to_owned());
        let lines = self.keys.get(&key);
        let line = lines.and_then(|lines| lines.first()).copied();
        line.unwrap_or_else(|| self.line_of_section(section))
    }

    /// Returns the line of a section, or the first line.
    pub(crate) fn line_of_section(&self, section: &str) -> usize {
        let lines = self.sections.get(section);
        lines.and_then(|lines| lines.first()).copied().unwrap_or(1)
    }

    /// Lists the sections and keys that stand more than once.
    pub(crate) fn repeated(&self) -> Vec<RepeatedLine> {
        let mut repeated = Vec::new();
        for (section, lines) in &self.sections {
            repeated.extend(repetitions(lines, &format!("section [{section}]")));
        }
        for ((section, name), lines) in &self.keys {
            repeated.extend(repetitions(lines, &format!("key `{name}` of [{section}]")));
        }
        repeated
    }
}

/// Describes every line but the first.
fn repetitions(lines: &[usize], subject: &str) -> Vec<RepeatedLine> {
    let Some((first, rest)) = lines.split_first() else {
        return Vec::new();
    };
    let describe = |line: &usize| RepeatedLine {
        line: *line,
        first: *first,
        subject: subject.to_owned(),
    };
    rest.iter().map(describe).collect()
}
