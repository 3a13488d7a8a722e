//! Application of each action to the state. An action changes the state only after all its checks have passed.

use std::sync::Arc;

use crate::action::Action;
use crate::command::Command;
use crate::command::Origin;
use crate::entry;
use crate::field;
use crate::group;
use crate::group::Group;
use crate::member;
use crate::member::Member;
use crate::patch::Patch;
use crate::release;
use crate::release::Release;
use crate::removal::Object;
use crate::reply::Refusal;
use crate::state::DeletedClaimRegion;
use crate::state::State;
use shallotrill_model::class;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

impl State {
    /// Executes a command that was not applied before. Returns the origin of the change that it made.
    pub(crate) fn execute(&mut self, command: &Command) -> Result<Origin, Refusal> {
        field::check_operator(&command.operator)?;
        let origin = Origin {
            revision: self.revision.next(),
            operator: Arc::clone(&command.operator),
            at: command.at,
        };
        let base = command.base;
        match &command.action {
            Action::CreateService(spec) => self.create(spec, &origin)?,
            Action::ChangeService { name, patch } => self.patch(name, base, patch, &origin)?,
            Action::DeleteService { name } => self.delete(name, base, &origin)?,
            Action::Classify { name, rule } => self.classify(name, base, rule, &origin)?,
            Action::Drain { instance } => self.drain(instance, &origin)?,
            Action::Undrain { instance } => self.undrain(instance, &origin)?,
            Action::AddMember(member) => self.upsert_member(member, &origin),
            Action::ReplaceMember { old, new } => self.replace_member(*old, new, &origin)?,
            Action::FormGroup { region, members } => {
                if let Some(existing) = self.group(region) {
                    return Err(group::Refusal::Formed(existing.epoch).into());
                }
                self.upsert_group(Group::form(region.clone(), members)?, &origin);
            }
            Action::ReplaceSeat {
                region,
                epoch,
                old,
                new,
                disk,
            } => {
                let group = self.group(region).ok_or(group::Refusal::Missing)?;
                self.upsert_group(group.replace(*epoch, *old, *new, *disk)?, &origin);
            }
            Action::AdmitSeat {
                region,
                epoch,
                member,
            } => {
                let group = self.group(region).ok_or(group::Refusal::Missing)?;
                self.upsert_group(group.admit(*epoch, *member)?, &origin);
            }
            Action::Release { service, digest } => self.release(service, *digest, &origin)?,
        }
        Ok(origin)
    }

    pub(crate) fn find(&self, name: &service::Name) -> Result<usize, usize> {
        self.services.binary_search_by(|e| e.value.name.cmp(name))
    }

    fn missing_service(&self, name: &service::Name) -> Refusal {
        let removal = self.removals.find(&Object::Service(name.clone()));
        Refusal::Missing(name.clone(), removal.map(|removal| removal.origin.clone()))
    }

    /// Finds the index of a service. Refuses if the service has changed since `base`.
    fn find_unchanged(
        &self,
        name: &service::Name,
        base: Option<Revision>,
    ) -> Result<usize, Refusal> {
        let base = base.ok_or(Refusal::BaseMissing)?;
        let current = self.revision;
        if base > current {
            return Err(Refusal::Future { base, current });
        }
        let index = self.find(name).or(Err(self.missing_service(name)))?;
        let current = &self.services[index].origin;
        if current.revision > base {
            let current = current.clone();
            return Err(Refusal::Conflict { base, current });
        }
        Ok(index)
    }

    fn upsert_service(&mut self, spec: service::Spec, origin: &Origin) -> Result<(), Refusal> {
        field::check_service(&spec)?;
        let origin = origin.clone();
        entry::upsert(&mut self.services, Arc::new(spec), origin, |s| {
            s.name.clone()
        });
        Ok(())
    }

    fn create(&mut self, spec: &service::Spec, origin: &Origin) -> Result<(), Refusal> {
        if let Some(entry) = self.service(&spec.name) {
            return Err(Refusal::Exists(entry.origin.clone()));
        }
        let entry = self
            .deleted_claim_regions
            .binary_search_by(|h| h.service.cmp(&spec.name));
        if let Ok(index) = entry
            && self.deleted_claim_regions[index].region != spec.claim_region
        {
            return Err(Refusal::ClaimRegion(
                self.deleted_claim_regions[index].region.clone(),
            ));
        }
        self.upsert_service(spec.clone(), origin)
    }

    fn patch(
        &mut self,
        name: &service::Name,
        base: Option<Revision>,
        patch: &Patch,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let index = self.find_unchanged(name, base)?;
        if patch.is_empty() {
            return Err(field::empty_patch().into());
        }
        self.upsert_service(patch.apply(&self.services[index].value), origin)
    }

    fn delete(
        &mut self,
        name: &service::Name,
        base: Option<Revision>,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let index = self.find_unchanged(name, base)?;
        let entry = self.services.remove(index);
        if let Err(position) = self
            .deleted_claim_regions
            .binary_search_by(|h| h.service.cmp(name))
        {
            let entry = DeletedClaimRegion {
                service: name.clone(),
                region: entry.value.claim_region.clone(),
            };
            self.deleted_claim_regions.insert(position, entry);
        }
        let object = Object::Service(name.clone());
        self.removals.push(object, origin.clone());
        Ok(())
    }

    fn classify(
        &mut self,
        name: &service::Name,
        base: Option<Revision>,
        rule: &class::Rule,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let index = self.find_unchanged(name, base)?;
        let mut spec = service::Spec::clone(&self.services[index].value);
        let same =
            |existing: &class::Rule| existing.method == rule.method && existing.path == rule.path;
        match spec.rules.iter().position(same) {
            Some(position) => spec.rules[position] = rule.clone(),
            None => spec.rules.push(rule.clone()),
        }
        self.upsert_service(spec, origin)
    }

    fn drain(&mut self, instance: &instance::Name, origin: &Origin) -> Result<(), Refusal> {
        let position = self.drains.binary_search_by(|e| e.value.cmp(instance));
        if let Ok(index) = position {
            return Err(Refusal::Drained(self.drains[index].origin.clone()));
        }
        let instance = instance.clone();
        entry::upsert(&mut self.drains, instance, origin.clone(), Clone::clone);
        Ok(())
    }

    fn undrain(&mut self, instance: &instance::Name, origin: &Origin) -> Result<(), Refusal> {
        let position = self.drains.binary_search_by(|e| e.value.cmp(instance));
        let index = position.or(Err(Refusal::NotDrained(instance.clone())))?;
        self.drains.remove(index);
        let object = Object::Drain(instance.clone());
        self.removals.push(object, origin.clone());
        Ok(())
    }

    fn upsert_member(&mut self, member: &Member, origin: &Origin) {
        entry::upsert(&mut self.members, member.clone(), origin.clone(), |m| m.id);
    }

    fn replace_member(
        &mut self,
        old: member::Id,
        new: &Member,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let position = self.members.binary_search_by_key(&old, |e| e.value.id);
        let index = position.or(Err(Refusal::NoMember(old)))?;
        let listed = self.members.binary_search_by_key(&new.id, |e| e.value.id);
        if new.id != old && listed.is_ok() {
            return Err(Refusal::Listed(new.id));
        }
        self.members.remove(index);
        self.removals.push(Object::Member(old), origin.clone());
        self.upsert_member(new, origin);
        Ok(())
    }

    fn group(&self, region: &region::Name) -> Option<&Group> {
        let index = self
            .groups
            .binary_search_by(|e| e.value.region.cmp(region))
            .ok()?;
        self.groups.get(index).map(|entry| &entry.value)
    }

    fn upsert_group(&mut self, group: Group, origin: &Origin) {
        let origin = origin.clone();
        entry::upsert(&mut self.groups, group, origin, |g| g.region.clone());
    }

    fn release(
        &mut self,
        service: &service::Name,
        digest: Digest,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        if self.find(service).is_err() {
            return Err(self.missing_service(service));
        }
        let release = Release {
            service: service.clone(),
            digest,
            revision: origin.revision,
        };
        entry::upsert(&mut self.releases, release, origin.clone(), |r| {
            (r.service.clone(), r.digest)
        });
        if self.releases.len() > release::RELEASES_MAX {
            self.drop_oldest_release(origin);
        }
        Ok(())
    }

    fn drop_oldest_release(&mut self, origin: &Origin) {
        let releases = self.releases.iter().enumerate();
        let oldest = releases.min_by_key(|(_, entry)| entry.origin.revision);
        if let Some((index, _)) = oldest {
            let release = self.releases.remove(index).value;
            let object = Object::Release(release.service, release.digest);
            self.removals.push(object, origin.clone());
        }
    }
}
