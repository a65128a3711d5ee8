//! A control replica: votes on the next revision, publishes changes, and stores decided revisions.

use crate::acceptor::{Acceptor, AcceptorReply};
use crate::ballot::{Ballot, ReplicaId, Vote};
use crate::digest::Digest;
use crate::document::{Delta, Document, Entry};
use crate::history::{CatchUp, History, HistoryError, Retention};
use crate::message::Message;
use crate::proposer::{ProposalProgress, Proposer};
use crate::publication::{InvalidChangeError, Publication, PublishOutcome, Validator};
use crate::quorum::Quorum;
use crate::revision::{Revision, RevisionNumber};

/// An action for the caller. The caller performs actions in the order in which they are returned. No message that follows
/// [`ReplicaAction::PersistVotes`] may be sent before the votes are on disk: a lost vote could let a number be decided twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message to another replica.
    Send {
        /// The receiving replica.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Store the votes, replacing the stored ones.
    PersistVotes(Acceptor),
    /// Store a decided revision.
    PersistRevision(Revision),
    /// Store the current document under this number, replacing all stored revisions.
    PersistSnapshot(RevisionNumber),
    /// Report the outcome of a publication.
    PublicationEnded(PublishOutcome),
    /// Alert an operator: another replica has other content under a number.
    Diverged {
        /// The other replica.
        replica: ReplicaId,
        /// The number with different content.
        number: RevisionNumber,
    },
}

/// The state machine of one control replica, without I/O.
#[derive(Debug, Clone)]
pub struct Replica {
    id: ReplicaId,
    replicas: Vec<ReplicaId>,
    acceptor: Acceptor,
    history: History,
    publication: Option<Publication>,
    /// The highest ballot round seen for the next number.
    round: u64,
}

impl Replica {
    /// Creates replica `id` of `replicas` from the history and votes on its disk.
    pub fn new(id: ReplicaId, replicas: u8, history: History, votes: Option<Acceptor>) -> Self {
        // Stored votes on a number that has since been decided are obsolete. Votes on a later number can't exist.
        let votes = votes.filter(|votes| votes.number() == history.number().next());
        let acceptor = votes.unwrap_or_else(|| Acceptor::after(history.number()));
        let round = acceptor.round();
        let replicas = (0..replicas).map(ReplicaId).collect();
        Self { id, replicas, acceptor, history, publication: None, round }
    }

    /// Creates a replica whose disk is empty.
    pub fn fresh(id: ReplicaId, replicas: u8) -> Self {
        let history = History::new(RevisionNumber::default(), Document::default(), Retention::default());
        Self::new(id, replicas, history, None)
    }

    /// Returns the newest number that this replica knows to be decided.
    pub fn number(&self) -> RevisionNumber {
        self.history.number()
    }

    /// Returns the decided configuration and its retained revisions.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Creates the message that a replica sends to every other replica on connecting, and periodically.
    pub fn heartbeat(&self) -> Message {
        Message::Heartbeat { number: self.history.number(), digest: self.history.document().digest() }
    }

    /// Returns whether a publication is in progress.
    pub fn is_publishing(&self) -> bool {
        self.publication.is_some()
    }

    /// Starts the publication of changes. The changes are validated before any other replica is contacted.
    pub fn publish(
        &mut self,
        changes: Delta,
        author: &str,
        validator: &dyn Validator,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if self.publication.is_some() {
            return actions.push(ReplicaAction::PublicationEnded(PublishOutcome::Busy));
        }
        self.start_publication(changes, author.into(), validator, actions);
    }

    /// Retries the publication in progress under a new ballot, after a rejection or a timeout, neither of which decides
    /// anything. The changes are validated again, since another revision may have been decided meanwhile.
    pub fn retry(&mut self, validator: &dyn Validator, actions: &mut Vec<ReplicaAction>) {
        let Some(Publication { changes, author, .. }) = self.publication.take() else { return };
        self.start_publication(changes, author, validator, actions);
    }

    /// Abandons the publication in progress. Other replicas may still complete it.
    pub fn abandon(&mut self, actions: &mut Vec<ReplicaAction>) {
        if self.publication.take().is_some() {
            actions.push(ReplicaAction::PublicationEnded(PublishOutcome::NoQuorum));
        }
    }

    fn start_publication(
        &mut self,
        changes: Delta,
        author: Box<str>,
        validator: &dyn Validator,
        actions: &mut Vec<ReplicaAction>,
    ) {
        match self.next_revision(&changes, &author, validator) {
            Ok(Some(revision)) => self.propose(changes, author, revision, actions),
            Ok(None) => actions.push(ReplicaAction::PublicationEnded(PublishOutcome::NoChange)),
            Err(error) => actions.push(ReplicaAction::PublicationEnded(PublishOutcome::Invalid(error))),
        }
    }

    /// Builds and validates the revision that applies the changes to the current configuration. Returns none if the changes
    /// would not alter it.
    fn next_revision(
        &self,
        changes: &Delta,
        author: &str,
        validator: &dyn Validator,
    ) -> Result<Option<Revision>, InvalidChangeError> {
        let document = self.history.document();
        let after = document.preview(changes)?;
        if after == document.digest() {
            return Ok(None);
        }
        let mut result = document.clone();
        result.apply(changes, after)?;
        validator.validate(&result)?;
        Ok(Some(Revision {
            number: self.history.number().next(),
            before: document.digest(),
            after,
            delta: changes.clone(),
            author: author.into(),
        }))
    }

    fn propose(
        &mut self,
        changes: Delta,
        author: Box<str>,
        revision: Revision,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.round += 1;
        let ballot = Ballot { round: self.round, replica: self.id };
        let number = revision.number;
        self.publication = Some(Publication { changes, author, proposer: Proposer::new(ballot, revision) });
        let prepare = Message::Prepare { number, ballot };
        self.send_to_others(&prepare, actions);
        self.receive(self.id, prepare, actions);
    }

    /// Handles a message from another replica, or from this replica to itself. Messages from a replica that is not part of the
    /// site are ignored, so that such a replica has no vote.
    pub fn receive(&mut self, from: ReplicaId, message: Message, actions: &mut Vec<ReplicaAction>) {
        if !self.replicas.contains(&from) {
            return;
        }
        match message {
            Message::Prepare { number, ballot } => self.handle_prepare(from, number, ballot, actions),
            Message::Accept(vote) => self.handle_accept(from, vote, actions),
            Message::Promise { number, ballot, vote } => {
                let quorum = self.quorum();
                let Some(publication) = self.publication_of(number) else { return };
                let progress = publication.proposer.promised(from, ballot, vote, quorum);
                self.advance_proposal(progress, actions);
            }
            Message::Accepted { number, ballot } => {
                let quorum = self.quorum();
                let Some(publication) = self.publication_of(number) else { return };
                let progress = publication.proposer.accepted(from, ballot, quorum);
                self.advance_proposal(progress, actions);
            }
            Message::Rejected { number, newer } => {
                if number == self.acceptor.number() {
                    self.round = self.round.max(newer.round);
                }
            }
            Message::Heartbeat { number, digest } => self.bring_up_to_date(from, number, digest, actions),
            Message::Decided(revision) => self.learn(from, &revision, actions),
            Message::Snapshot { number, entries } => self.learn_snapshot(from, number, entries, actions),
            // Sent only by routers, and handled by their session.
            Message::CannotApply { .. } => {}
        }
    }

    fn handle_prepare(
        &mut self,
        from: ReplicaId,
        number: RevisionNumber,
        ballot: Ballot,
        actions: &mut Vec<ReplicaAction>,
    ) {
        self.round = self.round.max(ballot.round);
        match self.acceptor.prepare(number, ballot) {
            AcceptorReply::Promised(vote) => {
                actions.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
                self.answer(from, Message::Promise { number, ballot, vote }, actions);
            }
            AcceptorReply::Rejected(newer) => {
                self.answer(from, Message::Rejected { number, newer }, actions);
            }
            AcceptorReply::Accepted | AcceptorReply::NotNext => self.announce_newest(from, number, actions),
        }
    }

    fn handle_accept(&mut self, from: ReplicaId, vote: Vote, actions: &mut Vec<ReplicaAction>) {
        let number = vote.revision.number;
        let ballot = vote.ballot;
        match self.acceptor.accept(vote) {
            AcceptorReply::Accepted => {
                actions.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
                self.answer(from, Message::Accepted { number, ballot }, actions);
            }
            AcceptorReply::Rejected(newer) => {
                self.answer(from, Message::Rejected { number, newer }, actions);
            }
            AcceptorReply::Promised(_) | AcceptorReply::NotNext => {
                self.announce_newest(from, number, actions);
            }
        }
    }

    /// Answers a proposal whose number is not the next one at this replica, so one of the two replicas is behind. Sends the
    /// decided revision if it is retained, otherwise a heartbeat, so that the replica that is ahead brings the other up to date.
    fn announce_newest(&self, to: ReplicaId, number: RevisionNumber, actions: &mut Vec<ReplicaAction>) {
        if to == self.id {
            return;
        }
        let message = match self.history.revision(number) {
            Some(decided) => Message::Decided(decided.clone()),
            None => self.heartbeat(),
        };
        actions.push(ReplicaAction::Send { to, message });
    }

    fn advance_proposal(&mut self, progress: ProposalProgress, actions: &mut Vec<ReplicaAction>) {
        match progress {
            ProposalProgress::Waiting => {}
            ProposalProgress::Propose(vote) => {
                let accept = Message::Accept(vote);
                self.send_to_others(&accept, actions);
                self.receive(self.id, accept, actions);
            }
            ProposalProgress::Decided(revision) => {
                self.send_to_others(&Message::Decided(revision.clone()), actions);
                self.learn(self.id, &revision, actions);
            }
        }
    }

    fn bring_up_to_date(
        &self,
        to: ReplicaId,
        number: RevisionNumber,
        digest: Digest,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if number > self.history.number() {
            return actions.push(ReplicaAction::Send { to, message: self.heartbeat() });
        }
        match self.history.catch_up(number, digest) {
            CatchUp::Current => {}
            CatchUp::Revisions(revisions) => {
                let send = |revision| ReplicaAction::Send { to, message: Message::Decided(revision) };
                actions.extend(revisions.into_iter().map(send));
            }
            CatchUp::Diverged => actions.push(ReplicaAction::Diverged { replica: to, number }),
            CatchUp::Snapshot => {
                let message = Message::snapshot(self.history.number(), self.history.document());
                actions.push(ReplicaAction::Send { to, message });
            }
        }
    }

    fn learn(&mut self, from: ReplicaId, revision: &Revision, actions: &mut Vec<ReplicaAction>) {
        let number = revision.number;
        let contradicts_known = self.history.revision(number).is_some_and(|known| known != revision);
        match self.history.append(revision.clone()) {
            Ok(()) => {
                actions.push(ReplicaAction::PersistRevision(revision.clone()));
                self.start_next_number(actions);
                self.end_publication_of(revision, actions);
            }
            Err(HistoryError::NotNext { .. }) if contradicts_known => {
                actions.push(ReplicaAction::Diverged { replica: from, number });
            }
            Err(HistoryError::NotNext { current, .. }) if current < number && from != self.id => {
                actions.push(ReplicaAction::Send { to: from, message: self.heartbeat() });
            }
            Err(HistoryError::NotNext { .. }) => {}
            Err(HistoryError::Diverged { .. } | HistoryError::Invalid { .. }) => {
                actions.push(ReplicaAction::Diverged { replica: from, number });
            }
        }
    }

    fn learn_snapshot(
        &mut self,
        from: ReplicaId,
        number: RevisionNumber,
        entries: Vec<Entry>,
        actions: &mut Vec<ReplicaAction>,
    ) {
        if number <= self.history.number() {
            return;
        }
        let Ok(document) = Document::new(entries) else {
            return actions.push(ReplicaAction::Diverged { replica: from, number });
        };
        self.history = History::new(number, document, Retention::default());
        actions.push(ReplicaAction::PersistSnapshot(number));
        self.start_next_number(actions);
    }

    /// Resets the votes for the next number after a number was decided.
    fn start_next_number(&mut self, actions: &mut Vec<ReplicaAction>) {
        self.acceptor = Acceptor::after(self.history.number());
        self.round = 0;
        actions.push(ReplicaAction::PersistVotes(self.acceptor.clone()));
    }

    /// Ends the publication in progress if the decided revision is its own. Otherwise the publication waits for its next retry.
    fn end_publication_of(&mut self, decided: &Revision, actions: &mut Vec<ReplicaAction>) {
        if self.publication.as_ref().is_some_and(|publication| publication.is_decided_by(decided)) {
            self.publication = None;
            let outcome = PublishOutcome::Published(decided.number);
            actions.push(ReplicaAction::PublicationEnded(outcome));
        }
    }

    fn quorum(&self) -> Quorum {
        Quorum::of(self.replicas.len())
    }

    fn publication_of(&mut self, number: RevisionNumber) -> Option<&mut Publication> {
        self.publication.as_mut().filter(|publication| publication.proposer.number() == number)
    }

    fn send_to_others(&self, message: &Message, actions: &mut Vec<ReplicaAction>) {
        let others = self.replicas.iter().copied().filter(|replica| *replica != self.id);
        actions.extend(others.map(|to| ReplicaAction::Send { to, message: message.clone() }));
    }

    fn answer(&mut self, to: ReplicaId, message: Message, actions: &mut Vec<ReplicaAction>) {
        if to == self.id {
            self.receive(to, message, actions);
        } else {
            actions.push(ReplicaAction::Send { to, message });
        }
    }
}
