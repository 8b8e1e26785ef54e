//! The ration of orders to load, counted where the rule counts it: orders as they come whole to hosts, requests as
//! clients that keep the protocol write them.
mod support;

use std::time::{Duration, Instant};
use support::platform::{dispatch, fields, Fixture};
use support::workers::Behaviour;

/// The rule's window, what is always allowed in it, and what each request adds.
const WINDOW: Duration = Duration::from_secs(2);
const FREE: f64 = 3.0;
const SHARE: f64 = 0.1;
/// Requests of the client that keeps the protocol, and the pause between two.
const CALLS: u64 = 1600;
const PAUSE: Duration = Duration::from_millis(4);

fn request(seqid: i32, id: u64, model: u64) -> Vec<u8> {
    let (id, model) = (format!("{id:016x}"), format!("{model:016x}"));
    let mut fields = fields("check", &id, "900");
    fields.iter_mut().filter(|field| field.0 == "lookup").for_each(|field| field.1 = &model);
    dispatch(seqid, &fields, b"x")
}

/// Guards the rule on loads, by its bare figure: hosts that are read late and break connections, so that orders are
/// lost or come in bunches; clients that send one request a hundred times, or a name of their own each time.
#[test]
fn orders_keep_the_ration_where_the_rule_counts_them() {
    let fixture = Fixture::with_settings(&[Behaviour::Miss], 6, 1024, 192, |settings| {
        settings["specifics"]["notLoaded"] = "miss".into();
        settings["specifics"]["placementCalls"] = true.into();
        settings["specifics"]["loadFloor"] = FREE.into();
        settings["specifics"]["loadPart"] = SHARE.into();
        settings["specifics"]["loadSpanMs"] = (WINDOW.as_millis() as u64).into();
        settings["prices"] = serde_json::json!({"probe": 0.01, "crossZone": 0.0});
    });
    fixture.fleet.make_connections_unreliable();
    let mut good = fixture.client();
    let mut drain = good.socket.try_clone().expect("cloned");
    std::thread::spawn(move || std::io::copy(&mut drain, &mut std::io::sink()));
    let address = fixture.daemon.address;
    let rude = std::thread::spawn(move || {
        for round in 0..40u64 {
            let mut client = support::platform::Client::new(address);
            let known = round % 20 + 1;
            for repeat in 0..100 {
                // Both the same request over and over, and ever new names.
                let made_up = 0xbad0_0000_0000_0000 + round * 1000 + repeat;
                let bytes = [
                    request(repeat as i32 + 500, 0xeeee_0000 + round, known),
                    request(repeat as i32 + 5000, made_up, made_up),
                ];
                if std::io::Write::write_all(&mut client.socket, &bytes.concat()).is_err() {
                    break;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    });
    let mut taken = Vec::new();
    for call in 0..CALLS {
        taken.push(Instant::now());
        good.send(&request(call as i32 + 1, 0x1000 + call, call * call % 23 + 1));
        std::thread::sleep(PAUSE);
    }
    rude.join().expect("no panic");
    let ordered = fixture.fleet.load_orders();
    assert!(ordered.len() > 40, "the ration is used: {}", ordered.len());
    let within = |times: &[Instant], at: &Instant| {
        times.iter().filter(|time| *time <= at && at.duration_since(**time) <= WINDOW).count() as f64
    };
    let over = |at: &Instant| within(&ordered, at) - FREE - SHARE * within(&taken, at);
    let most = ordered.iter().map(over).fold(f64::MIN, f64::max);
    println!("{} orders, {} requests; most over the rule: {most:.1}", ordered.len(), taken.len());
    assert!(most <= 0.0, "{most} orders over the rule");
}
