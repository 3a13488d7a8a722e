//! How each action changes the state. Nothing changes before all checks of an action have passed.

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
use crate::state::Home;
use crate::state::State;
use shallotrill_model::class;
use shallotrill_model::digest::Digest;
use shallotrill_model::instance;
use shallotrill_model::region;
use shallotrill_model::revision::Revision;
use shallotrill_model::service;

impl State {
    /// Makes the change of a command that was not applied before.
    pub(crate) fn change(&mut self, command: &Command) -> Result<Origin, Refusal> {
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
            Action::AddMember(member) => self.put_member(member, &origin),
            Action::ReplaceMember { old, new } => self.replace_member(*old, new, &origin)?,
            Action::FormGroup { region, members } => {
                if let Some(held) = self.group(region) {
                    return Err(group::Refusal::Formed(held.epoch).into());
                }
                self.put_group(Group::form(region.clone(), members)?, &origin);
            }
            Action::ReplaceSeat {
                region,
                epoch,
                old,
                new,
                disk,
            } => {
                let group = self.group(region).ok_or(group::Refusal::Missing)?;
                self.put_group(group.replace(*epoch, *old, *new, *disk)?, &origin);
            }
            Action::AdmitSeat {
                region,
                epoch,
                member,
            } => {
                let group = self.group(region).ok_or(group::Refusal::Missing)?;
                self.put_group(group.admit(*epoch, *member)?, &origin);
            }
            Action::Release { service, digest } => self.release(service, *digest, &origin)?,
        }
        Ok(origin)
    }

    pub(crate) fn find(&self, name: &service::Name) -> Result<usize, usize> {
        self.services.binary_search_by(|e| e.value.name.cmp(name))
    }

    fn missing(&self, name: &service::Name) -> Refusal {
        let removal = self.removals.find(&Object::Service(name.clone()));
        Refusal::Missing(name.clone(), removal.map(|removal| removal.origin.clone()))
    }

    /// The place of a service that has not changed since `base`.
    fn find_at(&self, name: &service::Name, base: Option<Revision>) -> Result<usize, Refusal> {
        let base = base.ok_or(Refusal::BaseMissing)?;
        let current = self.revision;
        if base > current {
            return Err(Refusal::Future { base, current });
        }
        let index = self.find(name).or(Err(self.missing(name)))?;
        let current = &self.services[index].origin;
        if current.revision > base {
            let current = current.clone();
            return Err(Refusal::Conflict { base, current });
        }
        Ok(index)
    }

    fn put_service(&mut self, spec: service::Spec, origin: &Origin) -> Result<(), Refusal> {
        field::check_service(&spec)?;
        let origin = origin.clone();
        entry::put(&mut self.services, Arc::new(spec), origin, |s| {
            s.name.clone()
        });
        Ok(())
    }

    fn create(&mut self, spec: &service::Spec, origin: &Origin) -> Result<(), Refusal> {
        if let Some(entry) = self.service(&spec.name) {
            return Err(Refusal::Exists(entry.origin.clone()));
        }
        let home = self.homes.binary_search_by(|h| h.service.cmp(&spec.name));
        if let Ok(index) = home
            && self.homes[index].region != spec.claim_region
        {
            return Err(Refusal::ClaimRegion(self.homes[index].region.clone()));
        }
        self.put_service(spec.clone(), origin)
    }

    fn patch(
        &mut self,
        name: &service::Name,
        base: Option<Revision>,
        patch: &Patch,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let index = self.find_at(name, base)?;
        if patch.is_empty() {
            return Err(field::empty_patch().into());
        }
        self.put_service(patch.apply(&self.services[index].value), origin)
    }

    fn delete(
        &mut self,
        name: &service::Name,
        base: Option<Revision>,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let index = self.find_at(name, base)?;
        let entry = self.services.remove(index);
        if let Err(place) = self.homes.binary_search_by(|h| h.service.cmp(name)) {
            let home = Home {
                service: name.clone(),
                region: entry.value.claim_region.clone(),
            };
            self.homes.insert(place, home);
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
        let index = self.find_at(name, base)?;
        let mut spec = service::Spec::clone(&self.services[index].value);
        let same = |held: &class::Rule| held.method == rule.method && held.path == rule.path;
        match spec.rules.iter().position(same) {
            Some(place) => spec.rules[place] = rule.clone(),
            None => spec.rules.push(rule.clone()),
        }
        self.put_service(spec, origin)
    }

    fn drain(&mut self, instance: &instance::Name, origin: &Origin) -> Result<(), Refusal> {
        let place = self.drains.binary_search_by(|e| e.value.cmp(instance));
        if let Ok(index) = place {
            return Err(Refusal::Drained(self.drains[index].origin.clone()));
        }
        let instance = instance.clone();
        entry::put(&mut self.drains, instance, origin.clone(), Clone::clone);
        Ok(())
    }

    fn undrain(&mut self, instance: &instance::Name, origin: &Origin) -> Result<(), Refusal> {
        let place = self.drains.binary_search_by(|e| e.value.cmp(instance));
        let index = place.or(Err(Refusal::NotDrained(instance.clone())))?;
        self.drains.remove(index);
        let object = Object::Drain(instance.clone());
        self.removals.push(object, origin.clone());
        Ok(())
    }

    fn put_member(&mut self, member: &Member, origin: &Origin) {
        entry::put(&mut self.members, member.clone(), origin.clone(), |m| m.id);
    }

    fn replace_member(
        &mut self,
        old: member::Id,
        new: &Member,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        let place = self.members.binary_search_by_key(&old, |e| e.value.id);
        let index = place.or(Err(Refusal::NoMember(old)))?;
        let listed = self.members.binary_search_by_key(&new.id, |e| e.value.id);
        if new.id != old && listed.is_ok() {
            return Err(Refusal::Listed(new.id));
        }
        self.members.remove(index);
        self.removals.push(Object::Member(old), origin.clone());
        self.put_member(new, origin);
        Ok(())
    }

    fn group(&self, region: &region::Name) -> Option<&Group> {
        let index = self
            .groups
            .binary_search_by(|e| e.value.region.cmp(region))
            .ok()?;
        self.groups.get(index).map(|entry| &entry.value)
    }

    fn put_group(&mut self, group: Group, origin: &Origin) {
        let origin = origin.clone();
        entry::put(&mut self.groups, group, origin, |g| g.region.clone());
    }

    fn release(
        &mut self,
        service: &service::Name,
        digest: Digest,
        origin: &Origin,
    ) -> Result<(), Refusal> {
        if self.find(service).is_err() {
            return Err(self.missing(service));
        }
        let release = Release {
            service: service.clone(),
            digest,
            revision: origin.revision,
        };
        entry::put(&mut self.releases, release, origin.clone(), |r| {
            (r.service.clone(), r.digest)
        });
        if self.releases.len() > release::RETAINED {
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
