//! One of three machines is lost during the first start and replaced by another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Machine, status};
use crate::http::{self, Framing};
use crate::record::Record;
use crate::worker::Worker;

/// How long the operator and the clients try.
const TIME: Duration = Duration::from_secs(60);
/// Time until the new machine starts, and until the settings of the others name it (`seed-lag-s` is 3).
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const SEED_LAG: Duration = Duration::from_secs(3);

const DOCUMENT: &str = r#"{"version":"00000001","base-version":"00000000","routes":[
{"name":"r-1","host":"a.example","path-prefix":"/p/","kind":"safe","timeout-s":2,"target-latency-s":0.5,"priority":0,"service":"s1","max-attempts":2}],
"services":[{"name":"s1","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}"#;

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(mut fleet) = Fleet::prepare(record) else {
        return Verdict::NotRun;
    };
    let seeds = fleet.controls();
    for machine in &mut fleet.machines {
        machine.start_all(&seeds, true);
    }
    record.line(&format!("three machines start with the seeds {seeds:?}"));
    let mut running = vec![0, 1, 2];
    if trouble {
        fleet.machines[2].kill();
        record.line("the third machine is lost for good");
        thread::sleep(REPLACED_AFTER);
        fleet.replace(2);
        let seeds: Vec<_> = [0, 1, 3].map(|n: usize| fleet.machines[n].control()).into();
        fleet.machines[3].start_all(&seeds, false);
        record.line(&format!(
            "an empty machine starts at {}",
            fleet.machines[3].ip
        ));
        thread::sleep(SEED_LAG);
        fleet.machines[0].change_seeds(&seeds);
        fleet.machines[1].change_seeds(&seeds);
        record.line(&format!("the settings of all machines name {seeds:?}"));
        running = vec![0, 1, 3];
    }
    let machines: Vec<&Machine> = running.iter().map(|n| &fleet.machines[*n]).collect();
    let controls: Vec<_> = machines.iter().map(|m| m.control()).collect();
    let address = SocketAddr::new(fleet.other_ip.into(), 0);
    let worker = Worker::start(
        "i-1",
        "s1",
        "barre",
        address,
        Duration::from_millis(20),
        record,
    );
    let end = Instant::now() + TIME;
    let (mut acknowledged, mut served) = (false, 0);
    for number in 0.. {
        if Instant::now() > end || served > 10 {
            break;
        }
        for control in &controls {
            if !acknowledged {
                let answer = status("PUT", *control, "/v1/config", DOCUMENT);
                record.line(&format!("configuration sent to {control}: {answer:?}"));
                acknowledged = answer == Some(200);
            }
        }
        worker.announce(&controls);
        for machine in &machines {
            let id = format!("c-{number}-{}", machine.zone);
            let headers = [
                ("Host", "a.example"),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "2000"),
            ];
            let limit = Duration::from_secs(3);
            let answer = http::call(
                machine.front(),
                "GET /p/x",
                &headers,
                b"",
                Framing::Length,
                limit,
            );
            let code = answer.map_or(0, |a| a.status());
            record.line(&format!("request {id} is answered {code}"));
            served += u32::from(code == 200);
        }
        thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!(
        "configuration acknowledged: {acknowledged}; requests served: {served}"
    ));
    if acknowledged && served > 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
