//! Replies about turns that a replica does not have.

use fw_replica::service::Replica;
use fw_replica::{member, server, service};
use googletest::prelude::*;

async fn request_chain(server: &server::Server, epoch: member::Epoch) -> service::Chain {
    let cx = tarpc::context::current();
    server.clone().chain(cx, epoch, "t".into()).await
}

// Guards against a stored turn reported as unknown. A member is suspended and replaced; a turn is
// stored on its successor and one of the others, which then goes down. An entry with the old member
// list queries the suspended member, which runs again, and the third, neither of which has the
// turn. Both reported certain absence, though the turn was on as many disks as required.
#[gtest]
#[tokio::test]
async fn absence_is_not_certain_for_an_outdated_list() {
    let dir = tempfile::tempdir().unwrap();
    let shared = server::Shared::open(dir.path(), server::Options::default()).unwrap();
    shared.set_voting(true);
    let list = member::List::default();
    shared.update_view(member::View { epoch: 2, list }).await;
    let server = server::Server(shared);
    expect_true!(request_chain(&server, 2).await.certain);
    expect_true!(request_chain(&server, 3).await.certain);
    expect_false!(request_chain(&server, 1).await.certain);
}
