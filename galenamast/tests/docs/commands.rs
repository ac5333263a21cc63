//! Commands shown in the documentation are accepted by the program.

use galenamast::cli::build_command;

use crate::support::{pages, root};

/// Folders of the packages that may hold the targets of `cargo` commands.
const PACKAGES: [&str; 4] = ["galenamast", "gateway", "platform", "program"];
/// Prefixes of command lines that run the program, longest first.
const PROGRAMS: [&str; 3] = ["cargo run --release -- ", "cargo run -- ", "galenamast "];

/// Splits a command line into words; quoted text is one word.
fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split(['"', '\'']).enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Lists the command lines in the indented and fenced code blocks of a page.
fn command_lines(text: &str) -> Vec<String> {
    let joined = text.replace("\\\n", " ");
    let mut fenced = false;
    let mut lines = Vec::new();
    for line in joined.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
            continue;
        }
        if fenced || line.starts_with("    ") {
            let line = line.trim().trim_start_matches("$ ");
            let line = line.split(" | ").next().unwrap_or(line);
            let line = line.split(" > ").next().unwrap_or(line);
            let line = line.split(" # ").next().unwrap_or(line);
            lines.push(line.trim_end_matches(" &").to_owned());
        }
    }
    lines
}

#[test]
fn commands_in_pages_parse() {
    let mut parsed = 0;
    for (path, text) in pages() {
        for line in command_lines(&text) {
            let Some(arguments) = PROGRAMS
                .iter()
                .find_map(|program| line.strip_prefix(program))
            else {
                continue;
            };
            let mut words = vec!["galenamast".to_owned()];
            words.extend(split_words(arguments));
            if let Err(error) = build_command().try_get_matches_from(&words) {
                let shown = error.kind();
                let help = clap::error::ErrorKind::DisplayHelp;
                assert_eq!(shown, help, "{}: {line}: {error}", path.display());
            }
            parsed += 1;
        }
    }
    assert!(parsed >= 10, "only {parsed} commands were found");
}

#[test]
fn cargo_targets_in_pages_exist() {
    for (path, text) in pages() {
        for line in command_lines(&text) {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.first() != Some(&"cargo") {
                continue;
            }
            for pair in words.windows(2) {
                let file = match pair {
                    ["--example", name] => format!("examples/{name}.rs"),
                    ["--test", name] => format!("tests/{name}/main.rs"),
                    ["--bench", name] => format!("benches/{name}.rs"),
                    _ => continue,
                };
                let holders = PACKAGES
                    .iter()
                    .filter(|package| root().join(package).join(&file).exists());
                assert_eq!(holders.count(), 1, "{}: {line}", path.display());
            }
        }
    }
}

#[test]
fn completions_contain_each_visible_command() {
    use clap_complete::Shell;
    use galenamast::commands::completions::completion_script;

    for shell in [Shell::Bash, Shell::Zsh, Shell::Fish] {
        let script = completion_script(build_command(), shell);
        let script = String::from_utf8(script).expect("a script is text");
        for command in build_command().get_subcommands() {
            if command.is_hide_set() {
                continue;
            }
            assert!(
                script.contains(command.get_name()),
                "{shell}: {}",
                command.get_name()
            );
        }
    }
}
