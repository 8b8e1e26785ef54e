use super::*;

const LEAST: &str = "node = \"n\"\nlisten = \"127.0.0.1:0\"\n";
const CLASS: &str = "[[class]]\nname = \"check\"\naim_ms = 100\ngive_up_ms = 1000\neffect = \"pure\"\n";

/// Guards the promise that a bad file is named by its key in one line.
#[test]
fn errors_name_the_key_in_one_line() {
    for (text, key) in [
        (format!("{LEAST}sockets = \"many\"\n{CLASS}"), "sockets"),
        (format!("{LEAST}colour = 1\n{CLASS}"), "colour"),
        (format!("{LEAST}{}", CLASS.replace("\"pure\"", "\"pur\"")), "class[0].effect"),
        (format!("{LEAST}{}", CLASS.replace("aim_ms = 100", "aim_ms = 0")), "class.aim_ms"),
        (format!("{LEAST}{CLASS}{CLASS}"), "class.name"),
        (format!("{LEAST}{CLASS}[[worker]]\nname = \"w\"\naddress = \"nowhere\"\n"), "worker.address"),
        (format!("{LEAST}{CLASS}[[function]]\nname = \"f\"\nclass = \"x\"\n"), "function.class"),
        (
            format!("{LEAST}{CLASS}[[function]]\nname = \"f\"\nclass = \"check\"\nlane = 1\n"),
            "function[0].lane",
        ),
        (LEAST.to_string(), "class"),
    ] {
        let end = read::<Deploy>(&text).and_then(|deploy| deploy.check());
        let line = end.expect_err(&text).to_string();
        assert!(line.contains(key) && !line.contains('\n'), "{key}: {line}");
    }
    assert!(read::<Deploy>(&format!("{LEAST}{CLASS}")).and_then(|deploy| deploy.check()).is_ok());
}

#[test]
fn settings_are_read_back_by_the_decisions() {
    let deploy: Deploy = read(&format!("{LEAST}{CLASS}")).expect("reads");
    let settings = corkbay::Settings::from_json(&deploy.settings());
    assert_eq!(settings.max_attempts, 5);
    assert_eq!(settings.classes[0].aim, 100.0);
    assert_eq!(settings.classes[0].effect, corkbay::Effect::Repeatable);
    assert_eq!(settings.lacking, corkbay::Lacking::Loads);
}
