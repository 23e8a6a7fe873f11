//! Choice of the instance that writes a claim shard, and the way there.
//!
//! Every instance takes the live member that a rendezvous hash puts first, so that in the ordinary
//! case one instance writes each shard and the claims of all share its writes. While views differ
//! two may write; the versions of the store keep that safe.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::sync::watch;

use crate::claims::ClaimRoute;
use crate::gossip::Member;
use crate::link::Links;
use crate::member::{Members, weight};

/// Time for the answer of a shard's writer. After it the shard is written here.
const WAIT: Duration = Duration::from_secs(1);

/// The route of this instance's claims.
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
        let carried = async move {
            let answer = links.call(writer.address, WAIT, |client, context| async move {
                client.claim(context, call).await
            });
            answer.await.ok().flatten()
        };
        Some(carried.boxed())
    })
}

/// The live member that comes first for `shard`.
fn writer<'a>(shard: u16, members: impl IntoIterator<Item = &'a Member>) -> Option<&'a Member> {
    let key = format!("claim/{shard}");
    let live = members.into_iter().filter(|m| m.state.is_live());
    live.max_by_key(|m| weight(&key, &m.name))
}

#[cfg(test)]
mod tests;
