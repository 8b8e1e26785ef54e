use super::*;

const MINIMAL: &str = "node = \"n\"\nlisten = \"127.0.0.1:0\"\n";
const CLASS: &str = "[[class]]\nname = \"check\"\naim_ms = 100\ngive_up_ms = 1000\neffect = \"pure\"\n";

/// Guards the format of errors: one line that names the key at fault.
#[test]
fn errors_name_the_key_in_one_line() {
    for (text, key) in [
        (format!("{MINIMAL}sockets = \"many\"\n{CLASS}"), "sockets"),
        (format!("{MINIMAL}colour = 1\n{CLASS}"), "colour"),
        (format!("{MINIMAL}{}", CLASS.replace("\"pure\"", "\"pur\"")), "class[0].effect"),
        (format!("{MINIMAL}{}", CLASS.replace("aim_ms = 100", "aim_ms = 0")), "class.aim_ms"),
        (format!("{MINIMAL}{CLASS}{CLASS}"), "class.name"),
        (format!("{MINIMAL}{CLASS}[[worker]]\nname = \"w\"\naddress = \"nowhere\"\n"), "worker.address"),
        (format!("{MINIMAL}{CLASS}[[function]]\nname = \"f\"\nclass = \"x\"\n"), "function.class"),
        (
            format!("{MINIMAL}{CLASS}[[function]]\nname = \"f\"\nclass = \"check\"\nlane = 1\n"),
            "function[0].lane",
        ),
        (MINIMAL.to_string(), "class"),
    ] {
        let end = read::<Deploy>(&text).and_then(|deploy| deploy.check());
        let line = end.expect_err(&text).to_string();
        assert!(line.contains(key) && !line.contains('\n'), "{key}: {line}");
    }
    assert!(read::<Deploy>(&format!("{MINIMAL}{CLASS}")).and_then(|deploy| deploy.check()).is_ok());
}

#[test]
fn decision_settings_match_the_deploy_file() {
    let deploy: Deploy = read(&format!("{MINIMAL}{CLASS}")).expect("reads");
    let settings = corkbay::Settings::from_json(&deploy.settings());
    assert_eq!(settings.max_attempts, 5);
    assert_eq!(settings.classes[0].aim, 100.0);
    assert_eq!(settings.classes[0].effect, corkbay::Effect::Repeatable);
    assert_eq!(settings.on_missing_model, corkbay::MissingModelBehavior::Loads);
}
