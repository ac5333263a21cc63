//! Tests of the settings file.

use galenamast::config::{Settings, check_settings};

#[test]
fn every_default_is_accepted() {
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
fn problems_name_line_key_and_range() {
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
        let error = check_settings("f", text)
            .expect_err("the text is invalid")
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
}
