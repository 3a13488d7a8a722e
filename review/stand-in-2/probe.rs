//! Exploration.
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Operator;
use crate::fleet::Record;
use crate::target;
use crate::target::Runs;
use crate::target::Target;

pub fn run(record: &Record, _trouble: bool) -> Outcome {
    let e = |e: std::io::Error| e.to_string();
    let fleet = Fleet::new(record.clone()).map_err(e)?;
    let operator = Operator { record: record.clone() };
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut core: Vec<Machine> = Vec::new();
    for host in 1..=5 {
        core.push(fleet.machine(&format!("core-{host}"), host, None).map_err(e)?);
    }
    let mut side = Vec::new();
    let mut targets = Vec::new();
    for (host, service) in [(11, "catalogue"), (12, "bookings"), (13, "catalogue"), (14, "bookings")] {
        let mut m = fleet.machine(&format!("side-{host}"), host, Some(service)).map_err(e)?;
        m.start().map_err(e)?;
        targets.push(Target::start(record, &runs, m.ip, &format!("i-{host}"), service).map_err(e)?);
        side.push(m);
    }
    for m in &mut core { m.start().map_err(e)?; }
    thread::sleep(Duration::from_secs(1));
    let all: Vec<_> = core.iter().map(Machine::admin).collect();
    operator.order(&all, "POST", "/api/Config.Patch", &fleet::first_config(7), Duration::from_secs(10));
    thread::sleep(Duration::from_secs(3));
    for n in [50, 90, 95, 100, 150, 400] {
        let mut fields = String::new();
        for k in 0..n { fields += &format!("f{k}: 1\r\n"); }
        for i in 0..2 {
            let a = target::request(record, side[i].outbound(), ("GET", "/look/a", &format!("n{n}x{i}")), &fields, Duration::from_secs(1));
            println!("   {n} fields {} bytes: {:?}", fields.len(), a.map(|a| a.status));
        }
    }
    let raw = |name: &str, host: usize, text: &str| {
        let mut s = TcpStream::connect(side[host].outbound()).unwrap();
        s.write_all(text.as_bytes()).unwrap();
        let a = fleet::read_answer(&mut s, Instant::now() + Duration::from_secs(3));
        println!("RAW {name} at {host}: {:?}", a.map(|a| (a.status, a.head.replace("\r\n", " | "), a.text())));
    };
    for h in [0, 1] {
        raw("head", h, &format!("HEAD /look/h HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: hd{h}\r\nConnection: close\r\n\r\n"));
        raw("abs", h, &format!("GET http://jepu9.example/look/h?x=1&&y HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: ab{h}\r\n\r\n"));
        raw("expect", h, &format!("POST /order/h HTTP/1.1\r\nHost: jepu9.example\r\nExpect: 100-continue\r\nContent-Length: 3\r\nShallotrill-Attempt-Id: ex{h}\r\n\r\nabc"));
        raw("chunked", h, &format!("POST /order/h HTTP/1.1\r\nHost: jepu9.example\r\nTransfer-Encoding: chunked\r\nTrailer: Shallotrill-Tenant\r\nShallotrill-Attempt-Id: ch{h}\r\n\r\n3\r\nabc\r\n0\r\nShallotrill-Tenant: x\r\n\r\n"));
        raw("delete", h, &format!("DELETE /order/h/%2e%2e/;p=1?q HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: de{h}\r\n\r\n"));
        raw("odd path", h, &format!("GET /look/a|b{{c}}\"d^e`f\\\\g HTTP/1.1\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: od{h}\r\n\r\n"));
        raw("http10", h, &format!("GET /look/ten HTTP/1.0\r\nHost: jepu9.example\r\nShallotrill-Attempt-Id: te{h}\r\n\r\n"));
        raw("no id", h, "GET /look/noid HTTP/1.1\r\nHost: jepu9.example\r\n\r\n");
    }
    Ok(true)
}
