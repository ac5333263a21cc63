//! Tests of parsing and checking a host's settings file.

use galenamast::config::{Settings, check_files, parse_settings};

#[test]
fn every_default_parses_to_the_default_settings() {
    for key in Settings::keys() {
        let required = key.section == "host" && key.default.is_empty();
        let mut settings = Settings::default();
        let accepted = (key.apply)(&mut settings, key.default);
        assert!(accepted || required, "[{}] {}", key.section, key.name);
        if accepted {
            assert_eq!(
                settings,
                Settings::default(),
                "[{}] {}",
                key.section,
                key.name
            );
        }
    }
}

#[test]
fn errors_name_line_key_and_accepted_values() {
    let cases = [
        (
            "[host]\nname = a\ndomain = d\n[callers]\nmax_body_bytes = 7\n",
            "f:5: [callers] max_body_bytes = 7: must be 1024 to 67108864 (bytes)",
        ),
        (
            "[host]\nname = a\ndomain = d\n[calers]\nlisten = 1\n",
            "f:5: unknown section [calers]; did you mean `callers`?",
        ),
        (
            "[host]\nname = a\ndomian = d\n",
            "f:3: unknown key `domian` in [host]; did you mean `domain`?",
        ),
        (
            "[host]\nname = a\n",
            "f:1: [host] needs the key `domain`, which is missing or empty",
        ),
    ];
    for (text, expected) in cases {
        let error = parse_settings("f", text)
            .expect_err("the text is invalid")
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn repeated_keys_and_sections_are_refused() {
    let base = "[host]\nname = a\ndomain = d\n";
    let cases = [
        (
            format!("{base}name = b\n"),
            "f:4: key `name` of [host] is repeated; first on line 2",
        ),
        (
            format!("{base}[callers]\n[callers]\n"),
            "f:5: section [callers] is repeated; first on line 4",
        ),
    ];
    for (text, expected) in cases {
        let error = parse_settings("f", &text).expect_err("the text is invalid");
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[test]
fn files_named_in_settings_are_checked() {
    let directory = tempfile::tempdir().expect("a temporary directory can be made");
    let path = |name: &str| directory.path().join(name).display().to_string();
    std::fs::write(path("text"), "no certificate\n").expect("the file can be written");
    std::fs::write(path("tokens"), "ana root 00\n").expect("the file can be written");
    let base = "[host]\nname = a\ndomain = d\n[operators]\n";
    let cases = [
        (
            format!("tls_certificate = {}\n", path("missing")),
            ":5: [operators] tls_certificate: cannot read ",
        ),
        (
            format!("client_authority = {}\n", path("text")),
            "holds no PEM certificate",
        ),
        (
            format!("tokens_file = {}\n", path("tokens")),
            "tokens:1: role `root` must be read, operate or administer",
        ),
        (
            format!("tls_key = {}\n", path("missing")),
            ":4: [operators] needs both a certificate and a key, or neither",
        ),
    ];
    for (line, expected) in cases {
        let file = directory.path().join("host.ini");
        std::fs::write(&file, format!("{base}{line}")).expect("the file can be written");
        let error = check_files(&file).expect_err("a file named in the settings is invalid");
        assert!(error.to_string().contains(expected), "{error}");
    }
    let missing = directory.path().join("missing.ini");
    let error = check_files(&missing).expect_err("the file is missing");
    assert!(error.to_string().starts_with("cannot read "), "{error}");
}
