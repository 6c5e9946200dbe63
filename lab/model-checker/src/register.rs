//! Every order of deliveries of a few rounds over three voters, to the end: messages that were sent may be
//! delivered at any later time, any number of times or never, and one voter may lose its memory. The judge knows
//! what proposers take for agreed, and nothing of why.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};

use whinspindle_consensus::{AcceptorState, Ballot, ConsensusRules, RegisterValue, Round, Voter};

/// A value whose changes are letters; each that is agreed on must begin with those before it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Word {
    voter_sets: Vec<Vec<Voter>>,
    letters: String,
}

impl RegisterValue for Word {
    fn voter_sets(&self) -> &[Vec<Voter>] {
        &self.voter_sets
    }
    fn is_bootstrapped(&self) -> bool {
        !self.letters.is_empty()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Sent {
    Prepare(Ballot, u16),
    Promise(Ballot, Voter, Option<(Ballot, Word)>),
    Accept(Ballot, u16, Word),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    votes: BTreeMap<Voter, AcceptorState<Word>>,
    /// The present incarnation of each voter.
    incarnations: Vec<u64>,
    rounds: Vec<Option<Round<Word>>>,
    left: Vec<u8>,
    memories: u8,
    sent: BTreeSet<Sent>,
    /// What proposers have taken for agreed.
    agreed: BTreeSet<String>,
    steps: Vec<char>,
}

/// What is searched.
#[derive(Clone, Copy)]
pub struct Bound {
    /// Rounds that each proposer may begin.
    pub rounds: [u8; 2],
    /// Voters that may lose their memory.
    pub memories: u8,
    /// What each proposer does: a letter to write, or `r` to replace voter 2 by voter 3.
    pub steps: [char; 2],
    /// Promises are heard at once or never; else at any later time.
    pub prompt: bool,
    /// What has happened before the search begins, in its own words.
    pub before: &'static [&'static str],
    pub most_states: usize,
}

#[derive(Debug)]
pub struct Searched {
    pub states: usize,
    /// All states within the bound were seen.
    pub whole: bool,
    /// What is wrong, and the shortest way there.
    pub broken: Option<(String, Vec<String>)>,
}

fn voter(member: u16, incarnation: u64) -> Voter {
    Voter { member, incarnation }
}

impl State {
    fn new(bound: &Bound) -> State {
        State {
            votes: BTreeMap::new(),
            incarnations: vec![1; 4],
            rounds: vec![None, None],
            left: bound.rounds.to_vec(),
            memories: bound.memories,
            sent: BTreeSet::new(),
            agreed: BTreeSet::new(),
            steps: bound.steps.to_vec(),
        }
    }

    fn known() -> Word {
        Word { voter_sets: vec![(0..3).map(|member| voter(member, 1)).collect()], letters: "0".to_string() }
    }

    fn change(&self, proposer: usize, found: &Word) -> Word {
        let mut word = found.clone();
        let step = self.steps[proposer];
        if step == 'r' && word.voter_sets.len() == 1 && !word.letters.contains('r') {
            word.voter_sets.push([0, 1, 3].map(|member| voter(member, 1)).to_vec());
        } else if word.voter_sets.len() == 2 {
            word.voter_sets.remove(0);
        }
        word.letters.push(step);
        word
    }

    /// All that can happen next, in words.
    fn next<L: ConsensusRules>(&self, forgets: bool, prompt: bool) -> Vec<(String, State)> {
        let mut next = Vec::new();
        for proposer in 0..2 {
            if self.left[proposer] > 0 {
                let mut s = self.clone();
                s.left[proposer] -= 1;
                let round = u64::from(self.rounds_begun(proposer)) * 2 + proposer as u64 + 1;
                let ballot = Ballot { epoch: 1, round, member: proposer as u16, start_id: 0 };
                let begun = Round::new(ballot, State::known());
                for asked in begun.awaiting_promise::<L>() {
                    s.sent.insert(Sent::Prepare(ballot, asked.member));
                }
                s.rounds[proposer] = Some(begun);
                next.push((format!("proposer {proposer} begins round {round}"), s));
            }
        }
        if self.memories > 0 {
            let mut s = self.clone();
            s.memories -= 1;
            let old = voter(2, s.incarnations[2]);
            s.votes.remove(&old);
            if !forgets {
                s.incarnations[2] += 1;
            }
            next.push(("voter 2 loses its memory".to_string(), s));
        }
        for sent in &self.sent {
            let Some((words, s)) = self.deliver::<L>(sent) else { continue };
            let promised = s.sent.difference(&self.sent).find(|sent| matches!(sent, Sent::Promise(..)));
            if let (Sent::Prepare(..), Some(promised), true) = (sent, promised, prompt) {
                next.extend(s.deliver::<L>(promised).map(|(_, s)| (format!("{words}, and is heard"), s)));
            }
            if !(prompt && matches!(sent, Sent::Promise(..))) {
                next.push((words, s));
            }
        }
        next
    }

    fn rounds_begun(&self, proposer: usize) -> u8 {
        let ballots = self.sent.iter().filter_map(|sent| match sent {
            Sent::Prepare(ballot, _) if ballot.member == proposer as u16 => Some(ballot.round),
            _ => None,
        });
        ballots.collect::<BTreeSet<u64>>().len() as u8
    }

    fn deliver<L: ConsensusRules>(&self, sent: &Sent) -> Option<(String, State)> {
        let mut s = self.clone();
        let words = match sent {
            Sent::Prepare(ballot, member) => {
                let me = voter(*member, s.incarnations[*member as usize]);
                let votes = s.votes.entry(me).or_default();
                votes.prepare(*ballot).ok()?;
                let accepted = votes.accepted.clone();
                s.sent.insert(Sent::Promise(*ballot, me, accepted));
                format!("voter {member} promises round {}", ballot.round)
            }
            Sent::Accept(ballot, member, word) => {
                let me = voter(*member, s.incarnations[*member as usize]);
                s.votes.entry(me).or_default().accept::<L>(*ballot, word.clone()).ok()?;
                // The vote is heard at once, or never if its proposer has gone on: both bring out the most.
                let round = s.rounds[ballot.member as usize].as_mut();
                let round = round.filter(|round| round.ballot == *ballot);
                if let Some(word) = round.and_then(|round| round.record_vote::<L>(me)) {
                    s.agreed.insert(word.letters.clone());
                }
                format!("voter {member} votes for {:?} of round {}", word.letters, ballot.round)
            }
            Sent::Promise(ballot, from, accepted) => {
                let proposer = ballot.member as usize;
                let round = s.rounds[proposer].as_mut().filter(|round| round.ballot == *ballot)?;
                if round.is_proposing() {
                    return None;
                }
                round.record_promise(*from, accepted.clone());
                for asked in round.awaiting_promise::<L>() {
                    s.sent.insert(Sent::Prepare(*ballot, asked.member));
                }
                if let Some(found) = round.prepared_value::<L>().cloned() {
                    let word = self.change(proposer, &found);
                    for asked in s.rounds[proposer].as_mut()?.propose::<L>(word.clone()) {
                        s.sent.insert(Sent::Accept(*ballot, asked.member, word.clone()));
                    }
                }
                format!("proposer {proposer} hears the promise of voter {}", from.member)
            }
        };
        Some((words, s))
    }

    /// What is agreed on grows by steps: each is the one before and a letter more.
    fn judge(&self) -> Result<(), String> {
        let mut agreed: Vec<&String> = self.agreed.iter().collect();
        agreed.sort_by_key(|letters| letters.len());
        match agreed.windows(2).find(|pair| !pair[1].starts_with(pair[0].as_str())) {
            Some(pair) => Err(format!("{:?} and {:?} are both agreed on", pair[0], pair[1])),
            None => Ok(()),
        }
    }

    fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Breadth first, so that what is found has the shortest way. `forgets` lets a voter without its memory keep its
/// incarnation.
pub fn search<L: ConsensusRules>(bound: &Bound, forgets: bool) -> Searched {
    let mut first = State::new(bound);
    for words in bound.before {
        let next = first.next::<L>(forgets, bound.prompt);
        let known = next.into_iter().find(|(said, _)| said == words);
        let Some((_, next)) = known else {
            return Searched { states: 0, whole: false, broken: None };
        };
        first = next;
    }
    let mut came: HashMap<u64, (u64, String)> = HashMap::from([(first.print(), (0, String::new()))]);
    let mut open = VecDeque::from([first]);
    let mut whole = true;
    while let Some(state) = open.pop_front() {
        let from = state.print();
        for (words, next) in state.next::<L>(forgets, bound.prompt) {
            let print = next.print();
            if came.contains_key(&print) {
                continue;
            }
            came.insert(print, (from, words));
            if let Err(broken) = next.judge() {
                let mut way = Vec::new();
                let mut at = print;
                while let Some((before, words)) = came.get(&at).filter(|(before, _)| *before != 0) {
                    way.push(words.clone());
                    at = *before;
                }
                way.reverse();
                return Searched { states: came.len(), whole: false, broken: Some((broken, way)) };
            }
            if came.len() < bound.most_states {
                open.push_back(next);
            } else {
                whole = false;
            }
        }
    }
    Searched { states: came.len(), whole, broken: None }
}
