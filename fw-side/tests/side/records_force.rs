//! Record sets that entries send to the side.

use fw_record::document;
use fw_record::key;
use fw_record::set;
use fw_wire::side;
use fw_wire::transport;
use googletest::prelude::*;

use crate::rig;

fn set_at(revision: i64) -> side::Records {
    let name = key::Name::new(key::Kind::Team, "officers");
    let doc = document::Document::parse(name, br#"{"schema": 2, "share": 2.0}"#).unwrap();
    let set = set::Set::from_documents(revision, vec![(revision, doc)]);
    side::Records {
        revision,
        set: set.to_json().into(),
    }
}

// Two entries send their record sets to the side, the outdated one last. A change that is in force
// must not be reverted, and an unparsable set must be ignored.
#[gtest]
#[tokio::test]
async fn an_older_set_changes_nothing() {
    let rig = rig::Rig::new(rig::fast_engine()).await;
    let offer = |records| {
        rig.client
            .records(transport::context(rig::TIMEOUT), records)
    };
    expect_that!(offer(set_at(7)).await.unwrap(), eq(7));
    expect_that!(offer(set_at(5)).await.unwrap(), eq(7));
    let torn = side::Records {
        revision: 9,
        set: "{\"torn\":".into(),
    };
    expect_that!(offer(torn).await.unwrap(), eq(7));
    let beat = rig.heartbeat(side::Heartbeat::default()).await;
    expect_that!(beat.revision, eq(7));
}
