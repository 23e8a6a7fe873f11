//! What an instance knows of its fleet, for quick look-ups from any task.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::gossip::{CellClaim, Member, MemberState};
use crate::name::{CellId, InstanceName};
use crate::route::Owner;

/// Owners of cells and addresses of instances. Clones share the content.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    content: Arc<RwLock<Content>>,
}

#[derive(Debug, Default)]
struct Content {
    members: BTreeMap<InstanceName, Member>,
    cells: BTreeMap<CellId, CellClaim>,
}

impl FleetView {
    /// Takes in what is known of a member.
    pub(crate) fn set_member(&self, member: Member) {
        self.write().members.insert(member.name.clone(), member);
    }

    /// Takes in who owns a cell.
    pub(crate) fn set_cell(&self, claim: CellClaim) {
        self.write().cells.insert(claim.cell.clone(), claim);
    }

    /// Address of an instance, if it is known.
    pub(crate) fn address(&self, instance: &InstanceName) -> Option<SocketAddr> {
        self.read().members.get(instance).map(|m| m.address)
    }

    /// Present owner of a cell, if it is known and not known to be gone.
    pub(crate) fn owner(&self, cell: &CellId) -> Option<Owner> {
        let content = self.read();
        let claim = content.cells.get(cell)?;
        let member = content.members.get(&claim.owner)?;
        let ended = matches!(member.state, MemberState::Dead | MemberState::Left);
        (!ended).then(|| Owner {
            instance: claim.owner.clone(),
            address: member.address,
        })
    }

    /// Expected wait of a new request at a cell.
    pub(crate) fn delay(&self, cell: &CellId) -> Duration {
        let content = self.read();
        let claim = content.cells.get(cell);
        Duration::from_millis(claim.map_or(0, |c| c.delay.into()))
    }

    /// All known members by name.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.read().members.values().cloned().collect()
    }

    /// The other instances that may answer.
    pub(crate) fn peers_of(&self, own: &InstanceName) -> Vec<Member> {
        let mut members = self.members();
        members.retain(|m| {
            let has_ended = matches!(m.state, MemberState::Dead | MemberState::Left);
            !has_ended && m.name != *own
        });
        members
    }

    /// All known owners of cells.
    pub(crate) fn cells(&self) -> Vec<CellClaim> {
        self.read().cells.values().cloned().collect()
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Content> {
        self.content.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, Content> {
        self.content.write().unwrap_or_else(PoisonError::into_inner)
    }
}
