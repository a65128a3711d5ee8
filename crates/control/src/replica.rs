//! A control replica: votes on numbers, publishes, and keeps what was decided.

use serde::{Deserialize, Serialize};

use crate::acceptor::{Acceptor, Answer, Ballot, Vote};
use crate::document::{Delta, Document};
use crate::history::{CatchUp, History, NotTaken, Retention};
use crate::messages::Message;
use crate::proposer::{Progress, Proposer};
use crate::revision::{Number, Revision};

/// A control replica, by its place in the list that all replicas of a site hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

/// How many replicas decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    replicas: usize,
}

impl Quorum {
    /// Of so many replicas.
    pub fn of(replicas: usize) -> Self {
        Self { replicas }
    }

    /// So many that any two quorums share two replicas: one that comes back with an old disk, and so without its last
    /// votes, decides nothing twice. Three of four; of three or fewer all of them.
    pub fn size(self) -> usize {
        (self.replicas / 2 + 1).max(self.replicas.div_ceil(2) + 1).min(self.replicas)
    }
}

/// The check that a configuration has to pass before it gets a number.
pub trait Check {
    /// Says what is wrong, with its place and remedy.
    ///
    /// # Errors
    /// If the configuration can't be put in force.
    fn check(&self, document: &Document) -> Result<(), String>;
}

/// What came of a publication.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// Decided under this number.
    Published(Number),
    /// It changes nothing.
    NoChange,
    /// The check, or a bound, refuses it; it has no number.
    Invalid(String),
    /// Another is on its way here; to be tried again.
    Busy,
    /// No quorum answered in time. It may be decided all the same, by another replica that finishes it.
    NoQuorum,
}

/// What is to be done, in order. Nothing that follows a [`Output::Persist`] leaves the replica before it is on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send to a replica.
    Send(ReplicaId, Message),
    /// Keep the votes.
    Persist(Acceptor),
    /// Keep a decided revision.
    Keep(Revision),
    /// Keep a whole, which replaces all that was kept.
    KeepWhole(Number),
    /// The publication is over.
    Done(Outcome),
    /// Another replica holds another content under a number: an operator has to look.
    Diverged(ReplicaId, Number),
}

/// A publication under way.
#[derive(Debug, Clone)]
struct Publication {
    changes: Delta,
    author: Box<str>,
    proposer: Proposer,
}

/// One control replica.
#[derive(Debug, Clone)]
pub struct Replica {
    own: ReplicaId,
    replicas: Vec<ReplicaId>,
    acceptor: Acceptor,
    history: History,
    publication: Option<Publication>,
    /// The highest round seen of the present number.
    round: u64,
}

impl Replica {
    /// One of `replicas` replicas, with what its disk holds.
    pub fn new(own: ReplicaId, replicas: u8, history: History, votes: Option<Acceptor>) -> Self {
        // Votes on a number that was decided since are of no use; those on a later one can't be.
        let votes = votes.filter(|votes| votes.number() == history.number().next());
        let acceptor = votes.unwrap_or_else(|| Acceptor::after(history.number()));
        let round = acceptor.round();
        let replicas = (0..replicas).map(ReplicaId).collect();
        Self { own, replicas, acceptor, history, publication: None, round }
    }

    /// One with nothing on its disk.
    pub fn fresh(own: ReplicaId, replicas: u8) -> Self {
        let history = History::new(Number::default(), Document::default(), Retention::default());
        Self::new(own, replicas, history, None)
    }

    /// The newest number that is decided, as far as this replica knows.
    pub fn number(&self) -> Number {
        self.history.number()
    }

    /// What was decided.
    pub fn history(&self) -> &History {
        &self.history
    }

    fn quorum(&self) -> Quorum {
        Quorum::of(self.replicas.len())
    }

    fn others(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.replicas.iter().copied().filter(|replica| *replica != self.own)
    }

    /// What this replica tells a peer of itself: as they meet, and from time to time.
    pub fn greeting(&self) -> Message {
        Message::Holds { number: self.history.number(), digest: self.history.document().digest() }
    }

    /// Publishes changes. They are checked whole before anything is asked of others.
    pub fn publish(&mut self, changes: Delta, author: &str, check: &dyn Check, out: &mut Vec<Output>) {
        if self.publication.is_some() {
            return out.push(Output::Done(Outcome::Busy));
        }
        match self.revision(&changes, author, check) {
            Ok(revision) => self.propose(changes, author.into(), revision, out),
            Err(outcome) => out.push(Output::Done(outcome)),
        }
    }

    /// The revision that changes make of the present configuration.
    fn revision(&self, changes: &Delta, author: &str, check: &dyn Check) -> Result<Revision, Outcome> {
        let document = self.history.document();
        let invalid = |why: String| Outcome::Invalid(why);
        let after = document.preview(changes).map_err(|why| invalid(why.to_string()))?;
        if after == document.digest() {
            return Err(Outcome::NoChange);
        }
        let mut changed = document.clone();
        changed.apply(changes, after).map_err(|why| invalid(why.to_string()))?;
        check.check(&changed).map_err(invalid)?;
        Ok(Revision {
            number: self.history.number().next(),
            before: document.digest(),
            after,
            delta: changes.clone(),
            author: author.into(),
        })
    }

    fn propose(&mut self, changes: Delta, author: Box<str>, revision: Revision, out: &mut Vec<Output>) {
        self.round += 1;
        let ballot = Ballot { round: self.round, replica: self.own };
        let number = revision.number;
        self.publication = Some(Publication { changes, author, proposer: Proposer::new(ballot, revision) });
        for other in self.others() {
            out.push(Output::Send(other, Message::Prepare { number, ballot }));
        }
        self.take(self.own, Message::Prepare { number, ballot }, out);
    }

    /// Tries the publication under way once more: a refusal or a silence is no answer. `check` is asked again if another
    /// revision was decided meanwhile.
    pub fn retry(&mut self, check: &dyn Check, out: &mut Vec<Output>) {
        let Some(Publication { changes, author, .. }) = self.publication.take() else { return };
        match self.revision(&changes, &author, check) {
            Ok(revision) => self.propose(changes, author, revision, out),
            Err(outcome) => out.push(Output::Done(outcome)),
        }
    }

    /// Gives the publication under way up.
    pub fn give_up(&mut self, out: &mut Vec<Output>) {
        if self.publication.take().is_some() {
            out.push(Output::Done(Outcome::NoQuorum));
        }
    }

    /// Whether a publication waits.
    pub fn is_publishing(&self) -> bool {
        self.publication.is_some()
    }

    /// Takes a message of a replica, or of itself. One that is not on the list has no vote and is told nothing.
    pub fn take(&mut self, from: ReplicaId, message: Message, out: &mut Vec<Output>) {
        if !self.replicas.contains(&from) {
            return;
        }
        match message {
            Message::Prepare { number, ballot } => self.prepare(from, number, ballot, out),
            Message::Accept(vote) => self.accept(from, vote, out),
            Message::Promise { number, ballot, vote } => {
                let quorum = self.quorum();
                let Some(publication) = self.publication_on(number) else { return };
                let progress = publication.proposer.promised(from, ballot, vote, quorum);
                self.progress(progress, out);
            }
            Message::Accepted { number, ballot } => {
                let quorum = self.quorum();
                let Some(publication) = self.publication_on(number) else { return };
                let progress = publication.proposer.accepted(from, ballot, quorum);
                self.progress(progress, out);
            }
            Message::Refused { number, newer } => {
                if number == self.acceptor.number() {
                    self.round = self.round.max(newer.round);
                }
            }
            Message::Holds { number, digest } => self.bring_up_to_date(from, number, digest, out),
            Message::Decided(revision) => self.learn(from, revision, out),
            Message::Whole { number, entries } => self.learn_whole(from, number, entries, out),
            Message::CannotApply { .. } => {}
        }
    }

    fn publication_on(&mut self, number: Number) -> Option<&mut Publication> {
        self.publication.as_mut().filter(|p| p.proposer.number() == number)
    }

    fn answer(&mut self, to: ReplicaId, message: Message, out: &mut Vec<Output>) {
        if to == self.own {
            self.take(to, message, out);
        } else {
            out.push(Output::Send(to, message));
        }
    }

    fn prepare(&mut self, from: ReplicaId, number: Number, ballot: Ballot, out: &mut Vec<Output>) {
        self.round = self.round.max(ballot.round);
        match self.acceptor.prepare(number, ballot) {
            Answer::Promised(vote) => {
                out.push(Output::Persist(self.acceptor.clone()));
                self.answer(from, Message::Promise { number, ballot, vote }, out);
            }
            Answer::Refused(newer) => self.answer(from, Message::Refused { number, newer }, out),
            Answer::Accepted | Answer::NotNext => self.tell_of_head(from, number, out),
        }
    }

    fn accept(&mut self, from: ReplicaId, vote: Vote, out: &mut Vec<Output>) {
        let (number, ballot) = (vote.revision.number, vote.ballot);
        match self.acceptor.accept(vote) {
            Answer::Accepted => {
                out.push(Output::Persist(self.acceptor.clone()));
                self.answer(from, Message::Accepted { number, ballot }, out);
            }
            Answer::Refused(newer) => self.answer(from, Message::Refused { number, newer }, out),
            Answer::Promised(_) | Answer::NotNext => self.tell_of_head(from, number, out),
        }
    }

    /// One of two replicas is behind: each tells what it holds, and the other brings it up to date.
    fn tell_of_head(&mut self, to: ReplicaId, number: Number, out: &mut Vec<Output>) {
        if to == self.own {
            return;
        }
        if number <= self.history.number() {
            if let Some(decided) = self.history.revision(number) {
                return out.push(Output::Send(to, Message::Decided(decided.clone())));
            }
        }
        out.push(Output::Send(to, self.greeting()));
    }

    fn progress(&mut self, progress: Progress, out: &mut Vec<Output>) {
        match progress {
            Progress::Waiting => {}
            Progress::Propose(vote) => {
                for other in self.others() {
                    out.push(Output::Send(other, Message::Accept(vote.clone())));
                }
                self.take(self.own, Message::Accept(vote), out);
            }
            Progress::Decided(revision) => {
                for other in self.others() {
                    out.push(Output::Send(other, Message::Decided(revision.clone())));
                }
                self.learn(self.own, revision, out);
            }
        }
    }

    fn bring_up_to_date(
        &mut self,
        from: ReplicaId,
        number: Number,
        digest: crate::digest::Digest,
        out: &mut Vec<Output>,
    ) {
        if number > self.history.number() {
            return out.push(Output::Send(from, self.greeting()));
        }
        match self.history.since(number, digest) {
            CatchUp::Current => {}
            CatchUp::Revisions(revisions) => {
                out.extend(revisions.into_iter().map(|r| Output::Send(from, Message::Decided(r))));
            }
            CatchUp::OtherHistory => out.push(Output::Diverged(from, number)),
            CatchUp::Whole => {
                let whole = Message::whole(self.history.number(), self.history.document());
                out.push(Output::Send(from, whole));
            }
        }
    }

    fn learn(&mut self, from: ReplicaId, revision: Revision, out: &mut Vec<Output>) {
        let number = revision.number;
        let ours = self.history.revision(number).map(|ours| *ours == revision);
        match self.history.take(revision.clone()) {
            Ok(()) => {
                out.push(Output::Keep(revision.clone()));
                self.advance(out);
                self.settle(&revision, out);
            }
            Err(NotTaken::NotNext(_)) if ours == Some(false) => out.push(Output::Diverged(from, number)),
            Err(NotTaken::NotNext(held)) if held < number && from != self.own => {
                out.push(Output::Send(from, self.greeting()));
            }
            Err(NotTaken::NotNext(_)) => {}
            Err(NotTaken::OtherHistory | NotTaken::NotApplied(_)) => out.push(Output::Diverged(from, number)),
        }
    }

    /// Votes are on the next number from now on.
    fn advance(&mut self, out: &mut Vec<Output>) {
        self.acceptor = Acceptor::after(self.history.number());
        self.round = 0;
        out.push(Output::Persist(self.acceptor.clone()));
    }

    /// A number is decided: our publication is over if it was ours, and waits for its next try if not.
    fn settle(&mut self, decided: &Revision, out: &mut Vec<Output>) {
        let ours = self.publication.as_ref().is_some_and(|p| {
            p.proposer.number() == decided.number && p.changes == decided.delta && p.author == decided.author
        });
        if ours {
            self.publication = None;
            out.push(Output::Done(Outcome::Published(decided.number)));
        }
    }

    fn learn_whole(
        &mut self,
        from: ReplicaId,
        number: Number,
        entries: Vec<crate::document::Entry>,
        out: &mut Vec<Output>,
    ) {
        if number <= self.history.number() {
            return;
        }
        let Ok(document) = Document::new(entries) else {
            return out.push(Output::Diverged(from, number));
        };
        self.history = History::new(number, document, Retention::default());
        out.push(Output::KeepWhole(number));
        self.advance(out);
    }
}
