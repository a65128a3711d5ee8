//! What happens at the model's routers.

use std::time::Instant;

use super::{Event, Model, FRAME_BYTES};
use crate::document::Document;
use crate::messages::Message;
use crate::replica::ReplicaId;
use crate::revision::Number;
use crate::sessions::SessionId;
use crate::subscriber::{Action, Input, Subscriber};

impl Model<'_> {
    /// A router's process ends and comes back with what it kept, or with nothing.
    pub fn restart_router(&mut self, n: usize, keeps: bool, seed: u64) {
        let replicas = self.controls.len() as u8;
        let Some(router) = self.routers.get_mut(n) else { return };
        if let Some((replica, connection)) = router.connection.take() {
            self.by_connection.remove(&connection);
            if let Some(control) = self.controls.get_mut(usize::from(replica.0)) {
                control.sessions.close(connection);
            }
        }
        let (number, document) = match keeps {
            true => (router.subscriber.number(), router.subscriber.document().clone()),
            false => (Number(0), Document::default()),
        };
        router.subscriber = Subscriber::new(number, document, replicas, seed);
        router.newest = number;
    }

    pub(super) fn at_router(&mut self, n: usize, bytes: &[u8]) {
        let Some(router) = self.routers.get_mut(n) else { return };
        router.bytes += bytes.len() as u64 + FRAME_BYTES;
        let start = Instant::now();
        let message = Message::decode(&self.key, bytes);
        router.work_ns += start.elapsed().as_nanos() as u64;
        if let Ok(message) = message {
            self.router_input(n, Input::Message(Box::new(message)));
        }
    }

    pub(super) fn stands(&mut self, n: usize, replica: ReplicaId) {
        let now = self.now;
        let waits = self.routers.get(n).is_some_and(|r| r.subscriber.replica() == (replica, false));
        if !waits {
            return;
        }
        let connection = SessionId(self.next_connection);
        self.next_connection += 1;
        let control = self.controls.get_mut(usize::from(replica.0)).filter(|c| c.up);
        if !control.is_some_and(|c| c.sessions.open(connection, now)) {
            return self.router_input(n, Input::Lost);
        }
        if let Some(router) = self.routers.get_mut(n) {
            router.connection = Some((replica, connection));
        }
        self.by_connection.insert(connection, n);
        self.router_input(n, Input::Connected);
    }

    pub(super) fn router_input(&mut self, n: usize, input: Input) {
        let now = self.now;
        let Some(router) = self.routers.get_mut(n) else { return };
        if input == Input::Lost {
            if let Some((replica, connection)) = router.connection.take() {
                self.by_connection.remove(&connection);
                if let Some(control) = self.controls.get_mut(usize::from(replica.0)) {
                    control.sessions.close(connection);
                }
            }
        }
        let mut actions = Vec::new();
        let start = Instant::now();
        router.subscriber.handle(now, input, &mut router.in_force, &mut actions);
        router.work_ns += start.elapsed().as_nanos() as u64;
        for action in actions {
            self.act(n, action);
        }
    }

    fn act(&mut self, n: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Connect(replica) => {
                let up = self.controls.get(usize::from(replica.0)).is_some_and(|c| c.up);
                match (self.way(n % 2, self.region(replica)), up) {
                    (Some(way), true) => self.later(2 * way, Event::Stands(n, replica)),
                    (Some(way), false) => self.later(2 * way, Event::Fails(n, replica)),
                    // Nothing is said in a cut.
                    (None, _) => {}
                }
            }
            Action::Send(message) => self.send_from_router(n, &message),
            Action::Close => {
                let Some(router) = self.routers.get_mut(n) else { return };
                if let Some((replica, connection)) = router.connection.take() {
                    self.by_connection.remove(&connection);
                    if let Some(control) = self.controls.get_mut(usize::from(replica.0)) {
                        control.sessions.close(connection);
                    }
                }
            }
            Action::InForce(number) => {
                let asked = self.asked.get(&number).copied();
                if let Some(router) = self.routers.get_mut(n) {
                    router.went_back += u64::from(number <= router.newest);
                    router.newest = number;
                }
                self.spread.extend(asked.map(|at| now - at));
            }
            Action::HeldBack(..) => {}
            Action::OtherHistory(..) => self.diverged += 1,
        }
    }

    fn send_from_router(&mut self, n: usize, message: &Message) {
        let bytes = message.encode(&self.key);
        let Some(router) = self.routers.get_mut(n) else { return };
        router.bytes += bytes.len() as u64 + FRAME_BYTES;
        let Some((replica, connection)) = router.connection else { return };
        let Some(way) = self.way(n % 2, self.region(replica)) else { return };
        self.control_bytes += bytes.len() as u64 + FRAME_BYTES;
        self.later(way, Event::FromRouter(replica, connection, bytes));
    }
}
