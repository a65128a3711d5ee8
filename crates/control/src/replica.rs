//! A control replica: votes on numbers, publishes, and keeps what was decided.

use crate::acceptor::{Acceptor, Answer};
use crate::ballot::{Ballot, ReplicaId, Vote};
use crate::document::{Delta, Document};
use crate::history::{CatchUp, History, HistoryError, Retention};
use crate::message::Message;
use crate::proposer::{Progress, Proposer};
use crate::publication::{Publication, PublishOutcome, Validator};
use crate::quorum::Quorum;
use crate::revision::{Revision, RevisionNumber};

/// What is to be done, in order. Nothing that follows a [`ReplicaAction::PersistVotes`] leaves the replica before it is on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send to a replica.
    Send(ReplicaId, Message),
    /// Keep the votes.
    PersistVotes(Acceptor),
    /// Keep a decided revision.
    PersistRevision(Revision),
    /// Keep a snapshot, which replaces all that was kept.
    PersistSnapshot(RevisionNumber),
    /// The publication is over.
    PublicationEnded(PublishOutcome),
    /// Another replica holds another content under a number: an operator has to look.
    Diverged(ReplicaId, RevisionNumber),
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
        let history = History::new(RevisionNumber::default(), Document::default(), Retention::default());
        Self::new(own, replicas, history, None)
    }

    /// The newest number that is decided, as far as this replica knows.
    pub fn number(&self) -> RevisionNumber {
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
    pub fn heartbeat(&self) -> Message {
        Message::Heartbeat { number: self.history.number(), digest: self.history.document().digest() }
    }

    /// Publishes changes. They are checked whole before anything is asked of others.
    pub fn publish(
        &mut self,
        changes: Delta,
        author: &str,
        validator: &dyn Validator,
        out: &mut Vec<ReplicaAction>,
    ) {
        if self.publication.is_some() {
            return out.push(ReplicaAction::PublicationEnded(PublishOutcome::Busy));
        }
        match self.revision(&changes, author, validator) {
            Ok(revision) => self.propose(changes, author.into(), revision, out),
            Err(outcome) => out.push(ReplicaAction::PublicationEnded(outcome)),
        }
    }

    /// The revision that changes make of the present configuration.
    fn revision(
        &self,
        changes: &Delta,
        author: &str,
        validator: &dyn Validator,
    ) -> Result<Revision, PublishOutcome> {
        let document = self.history.document();
        let invalid = |reason: String| PublishOutcome::Invalid(reason);
        let after = document.preview(changes).map_err(|reason| invalid(reason.to_string()))?;
        if after == document.digest() {
            return Err(PublishOutcome::NoChange);
        }
        let mut changed = document.clone();
        changed.apply(changes, after).map_err(|reason| invalid(reason.to_string()))?;
        validator.validate(&changed).map_err(invalid)?;
        Ok(Revision {
            number: self.history.number().next(),
            before: document.digest(),
            after,
            delta: changes.clone(),
            author: author.into(),
        })
    }

    fn propose(
        &mut self,
        changes: Delta,
        author: Box<str>,
        revision: Revision,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.round += 1;
        let ballot = Ballot { round: self.round, replica: self.own };
        let number = revision.number;
        self.publication = Some(Publication { changes, author, proposer: Proposer::new(ballot, revision) });
        for other in self.others() {
            out.push(ReplicaAction::Send(other, Message::Prepare { number, ballot }));
        }
        self.receive(self.own, Message::Prepare { number, ballot }, out);
    }

    /// Tries the publication under way once more: a refusal or a silence is no answer. `check` is asked again if another
    /// revision was decided meanwhile.
    pub fn retry(&mut self, validator: &dyn Validator, out: &mut Vec<ReplicaAction>) {
        let Some(Publication { changes, author, .. }) = self.publication.take() else { return };
        match self.revision(&changes, &author, validator) {
            Ok(revision) => self.propose(changes, author, revision, out),
            Err(outcome) => out.push(ReplicaAction::PublicationEnded(outcome)),
        }
    }

    /// Gives the publication under way up.
    pub fn abandon(&mut self, out: &mut Vec<ReplicaAction>) {
        if self.publication.take().is_some() {
            out.push(ReplicaAction::PublicationEnded(PublishOutcome::NoQuorum));
        }
    }

    /// Whether a publication waits.
    pub fn is_publishing(&self) -> bool {
        self.publication.is_some()
    }

    /// Takes a message of a replica, or of itself. One that is not on the list has no vote and is told nothing.
    pub fn receive(&mut self, from: ReplicaId, message: Message, out: &mut Vec<ReplicaAction>) {
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
            Message::Rejected { number, newer } => {
                if number == self.acceptor.number() {
                    self.round = self.round.max(newer.round);
                }
            }
            Message::Heartbeat { number, digest } => self.bring_up_to_date(from, number, digest, out),
            Message::Decided(revision) => self.learn(from, revision, out),
            Message::Snapshot { number, entries } => self.learn_snapshot(from, number, entries, out),
            Message::CannotApply { .. } => {}
        }
    }

    fn publication_on(&mut self, number: RevisionNumber) -> Option<&mut Publication> {
        self.publication.as_mut().filter(|p| p.proposer.number() == number)
    }

    fn answer(&mut self, to: ReplicaId, message: Message, out: &mut Vec<ReplicaAction>) {
        if to == self.own {
            self.receive(to, message, out);
        } else {
            out.push(ReplicaAction::Send(to, message));
        }
    }

    fn prepare(
        &mut self,
        from: ReplicaId,
        number: RevisionNumber,
        ballot: Ballot,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.round = self.round.max(ballot.round);
        match self.acceptor.prepare(number, ballot) {
            Answer::Promised(vote) => {
                out.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
                self.answer(from, Message::Promise { number, ballot, vote }, out);
            }
            Answer::Rejected(newer) => self.answer(from, Message::Rejected { number, newer }, out),
            Answer::Accepted | Answer::NotNext => self.announce_head(from, number, out),
        }
    }

    fn accept(&mut self, from: ReplicaId, vote: Vote, out: &mut Vec<ReplicaAction>) {
        let (number, ballot) = (vote.revision.number, vote.ballot);
        match self.acceptor.accept(vote) {
            Answer::Accepted => {
                out.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
                self.answer(from, Message::Accepted { number, ballot }, out);
            }
            Answer::Rejected(newer) => self.answer(from, Message::Rejected { number, newer }, out),
            Answer::Promised(_) | Answer::NotNext => self.announce_head(from, number, out),
        }
    }

    /// One of two replicas is behind: each tells what it holds, and the other brings it up to date.
    fn announce_head(&mut self, to: ReplicaId, number: RevisionNumber, out: &mut Vec<ReplicaAction>) {
        if to == self.own {
            return;
        }
        if number <= self.history.number() {
            if let Some(decided) = self.history.revision(number) {
                return out.push(ReplicaAction::Send(to, Message::Decided(decided.clone())));
            }
        }
        out.push(ReplicaAction::Send(to, self.heartbeat()));
    }

    fn progress(&mut self, progress: Progress, out: &mut Vec<ReplicaAction>) {
        match progress {
            Progress::Waiting => {}
            Progress::Propose(vote) => {
                for other in self.others() {
                    out.push(ReplicaAction::Send(other, Message::Accept(vote.clone())));
                }
                self.receive(self.own, Message::Accept(vote), out);
            }
            Progress::Decided(revision) => {
                for other in self.others() {
                    out.push(ReplicaAction::Send(other, Message::Decided(revision.clone())));
                }
                self.learn(self.own, revision, out);
            }
        }
    }

    fn bring_up_to_date(
        &mut self,
        from: ReplicaId,
        number: RevisionNumber,
        digest: crate::digest::Digest,
        out: &mut Vec<ReplicaAction>,
    ) {
        if number > self.history.number() {
            return out.push(ReplicaAction::Send(from, self.heartbeat()));
        }
        match self.history.catch_up(number, digest) {
            CatchUp::Current => {}
            CatchUp::Revisions(revisions) => {
                out.extend(revisions.into_iter().map(|r| ReplicaAction::Send(from, Message::Decided(r))));
            }
            CatchUp::Diverged => out.push(ReplicaAction::Diverged(from, number)),
            CatchUp::Snapshot => {
                let snapshot = Message::snapshot(self.history.number(), self.history.document());
                out.push(ReplicaAction::Send(from, snapshot));
            }
        }
    }

    fn learn(&mut self, from: ReplicaId, revision: Revision, out: &mut Vec<ReplicaAction>) {
        let number = revision.number;
        let ours = self.history.revision(number).map(|ours| *ours == revision);
        match self.history.append(revision.clone()) {
            Ok(()) => {
                out.push(ReplicaAction::PersistRevision(revision.clone()));
                self.advance(out);
                self.end_own_publication(&revision, out);
            }
            Err(HistoryError::NotNext(_)) if ours == Some(false) => {
                out.push(ReplicaAction::Diverged(from, number))
            }
            Err(HistoryError::NotNext(held)) if held < number && from != self.own => {
                out.push(ReplicaAction::Send(from, self.heartbeat()));
            }
            Err(HistoryError::NotNext(_)) => {}
            Err(HistoryError::Diverged | HistoryError::Invalid(_)) => {
                out.push(ReplicaAction::Diverged(from, number))
            }
        }
    }

    /// Votes are on the next number from now on.
    fn advance(&mut self, out: &mut Vec<ReplicaAction>) {
        self.acceptor = Acceptor::after(self.history.number());
        self.round = 0;
        out.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
    }

    /// A number is decided: our publication is over if it was ours, and waits for its next try if not.
    fn end_own_publication(&mut self, decided: &Revision, out: &mut Vec<ReplicaAction>) {
        let ours = self.publication.as_ref().is_some_and(|p| {
            p.proposer.number() == decided.number && p.changes == decided.delta && p.author == decided.author
        });
        if ours {
            self.publication = None;
            out.push(ReplicaAction::PublicationEnded(PublishOutcome::Published(decided.number)));
        }
    }

    fn learn_snapshot(
        &mut self,
        from: ReplicaId,
        number: RevisionNumber,
        entries: Vec<crate::document::Entry>,
        out: &mut Vec<ReplicaAction>,
    ) {
        if number <= self.history.number() {
            return;
        }
        let Ok(document) = Document::new(entries) else {
            return out.push(ReplicaAction::Diverged(from, number));
        };
        self.history = History::new(number, document, Retention::default());
        out.push(ReplicaAction::PersistSnapshot(number));
        self.advance(out);
    }
}
