//! The first records, stored through the entry's admin address as an operator would.

use std::net::SocketAddr;
use std::time::Duration;

use fw_local::caller;
use fw_local::system;
use serde_json::json;

/// Interval between attempts to store a record.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Stores records that offer the engines and the plain services, retrying until the entry whose
/// admin address is `admin` accepts them.
pub async fn put_first(admin: SocketAddr) {
    let agents = json!({ "schema": 2, "kind": "llm", "models": [system::MODEL] });
    let tools = json!({ "schema": 2, "kind": "plain" });
    let route = json!({ "schema": 2, "path": "/", "service": system::TOOLS });
    let records = [
        (format!("service/{}", system::AGENTS), agents),
        (format!("service/{}", system::TOOLS), tools),
        ("route/tools".to_owned(), route),
    ];
    let caller = caller::Caller::new();
    for (name, record) in records {
        let path = format!("/admin/records/{name}?revision=0");
        loop {
            let body = record.to_string().into();
            let answer = caller.plain(admin, "PUT", &path, &[], body).await;
            if answer.status == 200 {
                println!("record   {name} stored");
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
    println!("ready");
}
