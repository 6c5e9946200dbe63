//! What became of a schedule: questions that tests ask of its end.

use whinspindle_fleet_policy::{LeaseState, Member, MemberRules, Record};

use super::schedule::{VOTERS, clock};
use super::world::{Place, World};
use crate::net::Net;

impl<L: MemberRules> World<L> {
    /// The number in force in the end, as each running member knows it.
    pub fn in_force(&self) -> Vec<Option<u64>> {
        let number = |place: &Place<L>| place.member.as_ref().map(|member| member.record().policy.number);
        self.places.iter().map(number).collect()
    }

    /// Whether units may be let out in the end, and how many steps the record has made.
    pub fn halted(&self) -> Vec<(bool, u64)> {
        let members = self.places.iter().filter_map(|place| place.member.as_ref());
        members.map(|member| (member.record().halt.is_some(), member.record().version)).collect()
    }

    /// How many deliveries there were.
    pub fn deliveries(&self) -> usize {
        self.events
    }

    /// Whether each voter that runs counts as one, by all that know the record.
    pub fn births_agree(&self) -> bool {
        let members = || self.places.iter().filter_map(|place| place.member.as_ref());
        let voters: Vec<_> = members().map(Member::voter).collect();
        let counted = |record: &Record| voters.iter().filter(|voter| record.is_voter(**voter)).count();
        members().all(|member| counted(member.record()) == VOTERS as usize)
    }

    /// Who votes in the end, as each running member knows it.
    pub fn voters(&self) -> Vec<Vec<u16>> {
        let members = self.places.iter().filter_map(|place| place.member.as_ref());
        let voters = |member: &Member<Net, L>| {
            member.record().voter_sets.iter().flatten().map(|voter| voter.member).collect()
        };
        members.map(voters).collect()
    }

    /// What became of the release, and how many units are changed, as each running member knows it.
    pub fn releases(&self) -> Vec<String> {
        let members = self.places.iter().filter_map(|place| place.member.as_ref());
        let told = |member: &Member<Net, L>| {
            let record = member.record();
            let past = record.past_releases.iter().map(|past| format!("{:?} {}", past.outcome, past.changed));
            let on = record.release.iter().map(|on| format!("{:?} {}", on.direction, on.changed.count()));
            past.chain(on).collect::<Vec<_>>().join(" ")
        };
        members.map(told).collect()
    }

    /// How many supervisors have had their balancers out, and have them back.
    pub fn released(&self) -> usize {
        self.places.iter().filter(|place| place.released > 0 && place.member.is_some()).count()
    }

    /// By what each running member decides in the end.
    pub fn rights(&self) -> Vec<Option<LeaseState>> {
        let right = |(me, place): (usize, &Place<L>)| {
            place.member.as_ref().map(|member| member.lease_state(clock(me as u16, self.step - place.began)))
        };
        self.places.iter().enumerate().map(right).collect()
    }
}
