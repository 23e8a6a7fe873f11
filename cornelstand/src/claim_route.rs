//! Routing of claims to the instance that writes their shard.
//!
//! Every instance chooses the live member that a rendezvous hash ranks first, so that normally one
//! instance writes each shard and all claims share its writes. While membership views differ, two
//! instances may write; conditional writes keep that safe.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::sync::watch;

use crate::claims::ClaimRoute;
use crate::gossip::Member;
use crate::link::Links;
use crate::member::{Members, weight};

/// Timeout of a call to a shard's writer, after which the shard is written locally.
const WRITER_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates the route of this instance's claims.
pub(crate) fn claim_route(members: &watch::Receiver<Arc<Members>>, links: &Links) -> ClaimRoute {
    let (members, links) = (members.clone(), links.clone());
    Arc::new(move |shard, call| {
        let writer = {
            let members = members.borrow();
            let writer = writer(shard, members.all())?;
            if writer.name == members.me().name {
                return None;
            }
            writer.clone()
        };
        let (links, call) = (links.clone(), call.clone());
        let forwarded = async move {
            let answer = links.call(
                writer.address,
                WRITER_TIMEOUT,
                |client, context| async move { client.claim(context, call).await },
            );
            answer.await.ok().flatten()
        };
        Some(forwarded.boxed())
    })
}

/// Live member with the highest weight for `shard`.
fn writer<'a>(shard: u16, members: impl IntoIterator<Item = &'a Member>) -> Option<&'a Member> {
    let key = format!("claim/{shard}");
    let live = members.into_iter().filter(|m| m.state.is_live());
    live.max_by_key(|m| weight(&key, &m.name))
}

#[cfg(test)]
mod tests;
