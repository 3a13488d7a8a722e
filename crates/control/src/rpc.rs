//! RPC server of a control process: the methods for nodes and other control processes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::bootstrap;
use crate::claims;
use crate::driver;
use crate::feed;
use crate::group;
use crate::members;
use crate::state::State;
use crate::submit;
use shallotrill_control_client::claim;
use shallotrill_control_client::feed as node_feed;
use shallotrill_control_client::lease;
use shallotrill_replica::claims as claim_messages;
use shallotrill_replica::copy;
use shallotrill_replica::exchange;
use shallotrill_replica::forward;
use shallotrill_replica::hello;
use shallotrill_replica::log as log_messages;
use shallotrill_rpc::server::Error;
use shallotrill_rpc::server::Handle;
use shallotrill_rpc::server::Methods;

/// Maximum number of connections. At the target size one process feeds about 500 nodes.
const CONNECTIONS_MAX: u32 = 5_000;

/// Maximum message size.
const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

/// Starts the RPC server.
pub(crate) async fn serve(
    state: Arc<State>,
    address: SocketAddr,
) -> Result<(Handle, SocketAddr), Error> {
    let mut methods = Methods::new(state);
    methods.add(lease::METHOD, members::lease);
    methods.add(node_feed::METHOD, feed::pull);
    methods.add(claim::METHOD, claims::handle);
    methods.add(claim_messages::METHOD, claims::receive);
    methods.add(copy::METHOD, group::send_page);
    methods.add(exchange::METHOD, members::exchange);
    methods.add(exchange::NODES_METHOD, members::nodes);
    methods.add(forward::METHOD, submit::handle);
    methods.add(hello::METHOD, bootstrap::hello);
    methods.add(log_messages::METHOD, driver::receive);
    methods
        .serve(address, CONNECTIONS_MAX, MESSAGE_BYTES_MAX)
        .await
}
