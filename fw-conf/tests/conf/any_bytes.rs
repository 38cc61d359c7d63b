//! Property tests: files of any content are accepted or rejected without a panic.

use fw_conf::entry;
use fw_conf::key;
use fw_conf::side;
use proptest::prelude::*;

/// Lines that resemble settings, most with known names of sections or keys.
fn line() -> impl Strategy<Value = String> {
    let sections = entry::Settings::describe();
    let keys: Vec<key::Key> = sections.into_iter().flat_map(|s| s.keys).collect();
    let known = proptest::sample::select(keys);
    prop_oneof![
        known.clone().prop_map(|key| format!("[{}]", key.section)),
        (known, ".{0,12}").prop_map(|(key, value)| format!("{} = {value}", key.name)),
        "[\\[\\]=:;# a-z0-9\"'\\\\]{0,16}",
    ]
}

proptest! {
    #[test]
    fn bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(entry::Settings::parse("f", &bytes).is_err());
        prop_assert!(side::Settings::parse("f", &bytes).is_err());
    }

    #[test]
    fn faults_name_lines_of_the_file(lines in prop::collection::vec(line(), 0..30)) {
        let text = lines.join("\n");
        let count = text.split('\n').count();
        let errs = entry::Settings::parse("f", &text).unwrap_err();
        for problem in errs.problems {
            prop_assert!(problem.line.is_none_or(|line| (1..=count).contains(&line)));
        }
    }

    #[test]
    fn durations_of_any_number_are_read_or_refused(count in any::<u64>(), unit in "[a-zµ]{0,3}") {
        let text = format!("[shutdown]\ndrain_timeout = {count}{unit}\n");
        let errs = side::Settings::parse("f", text).unwrap_err();
        let about_timeout = errs.problems.iter().filter(|p| p.line == Some(2)).count();
        prop_assert!(about_timeout <= 1);
    }
}
