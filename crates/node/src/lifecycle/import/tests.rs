use super::*;

fn summary(imported: &Imported) -> Vec<(&str, &str, &str, f64, State)> {
    let workers = imported.file.workers.iter();
    workers.map(|w| (w.name.as_str(), w.address.as_str(), w.zone.as_str(), w.weight, w.state)).collect()
}

#[test]
fn workers_properties_with_templates_and_macros() {
    let text = "# fleet\nbase=10.0.0\nworker.list=lb, \\\n  jkstatus\n\
        worker.t.type=ajp13\nworker.t.lbfactor=3\nworker.t.socket_timeout=5\n\
        worker.a.reference=worker.t\nworker.a.host=$(base).1\nworker.a.port=8010\nworker.a.domain=hall-a\n\
        worker.b.host=$(base).2\nworker.b.activation=D\n\
        worker.lb.type=lb\nworker.lb.balance_workers=a,b\nworker.lb.sticky_session=1\n";
    let imported = read(text).expect("reads");
    assert_eq!(
        summary(&imported),
        [("a", "10.0.0.1:8010", "hall-a", 3.0, State::Up), ("b", "10.0.0.2:8009", "", 1.0, State::Draining)]
    );
    let notes: Vec<String> = imported.unsupported.iter().map(LineNote::to_string).collect();
    assert_eq!(notes, ["line 16: worker.lb.sticky_session is not supported"]);
}

#[test]
fn proxy_sections() {
    let text = "<Proxy \"balancer://fleet\">\n  BalancerMember http://10.0.0.1:9000 route=a loadfactor=2.5\n\
        \x20 BalancerMember \"http://[::1]:9001\" status=+D retry=5\n  ProxySet lbmethod=bytraffic\n</Proxy>\n\
        BalancerMember balancer://fleet http://c.example status=+S\n";
    let imported = read(text).expect("reads");
    assert_eq!(
        summary(&imported),
        [
            ("a", "10.0.0.1:9000", "", 2.5, State::Up),
            ("::1:9001", "[::1]:9001", "", 1.0, State::Draining),
            ("c.example:80", "c.example:80", "", 1.0, State::Removed)
        ]
    );
    let notes: Vec<String> = imported.unsupported.iter().map(LineNote::to_string).collect();
    assert_eq!(notes, ["line 3: retry is not supported", "line 4: ProxySet is not supported"]);
}

/// Guards against importing a faulty file in part.
#[test]
fn errors_name_their_line() {
    for (text, line) in [
        ("worker.a.port=x\n", 1),
        ("worker.a.host=h\nworker.a.type=fast\n", 2),
        ("worker.a.host=$(none)\n", 1),
        ("worker.lb.type=lb\nworker.lb.balance_workers=a\n", 2),
        ("worker.a.host\n", 1),
        ("<Proxy balancer://x>\nBalancerMember http://a:0\n</Proxy>\n", 2),
        ("<Proxy balancer://x>\nBalancerMember http://a\n", 1),
        ("<Proxy balancer://x>\nBalancerMember https://a\n</Proxy>\n", 2),
        ("BalancerMember http://a\n", 1),
        ("# nothing\n", 0),
    ] {
        assert_eq!(read(text).expect_err(text).line, line, "{text}");
    }
}

#[test]
fn written_workers_files_are_readable() {
    let imported = read("worker.a.host=10.0.0.1\n").expect("reads");
    let text = toml::to_string(&imported.file).expect("writes");
    assert_eq!(super::super::deploy::read::<WorkersFile>(&text), Ok(imported.file));
}
