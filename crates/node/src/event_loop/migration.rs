//! Migration of client connections to the successor in an upgrade, together with the jobs whose answers they
//! wait for.

use super::descriptor_passing::send_with_descriptor;
use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::downstream;
use crate::http::Decoder;
use crate::intake::{self, IncomingRequest};
use crate::job_status::JobStatusUpdate;
use crate::upgrade_protocol::{Message, MigratedConnection, MigratedJob};
use mio::net::TcpStream;
use std::os::fd::AsFd;

/// Whether another connection may migrate in this iteration.
enum NextMigration {
    Allowed,
    /// The successor cannot receive more for now.
    Blocked,
}

impl EventLoop {
    /// Migrates client connections and their jobs to the successor during shutdown. Otherwise, long jobs
    /// would end with this process, and requests that clients send just as their connection is closed would
    /// be lost.
    pub(super) fn migrate_clients(&mut self) {
        if !self.drain.is_shutting_down() || !self.drain.has_successor() {
            return;
        }
        let now = self.clock.now();
        let may_migrate =
            |connection: &downstream::Connection| connection.can_migrate() && !connection.carries_job_status;
        let clients = self.sockets.ids(|socket| socket.role.downstream().is_some_and(may_migrate));
        for id in clients {
            // If the write buffer is empty, the beginning of a message is sent together with its descriptor,
            // or nothing is sent at all. Only the end of the message may remain in the buffer.
            if !self.upgrade.peer.as_ref().is_some_and(|peer| peer.can_send() && peer.is_flushed()) {
                return;
            }
            match self.migrate_client(id, now) {
                NextMigration::Allowed => {}
                NextMigration::Blocked => return,
            }
        }
    }

    /// Migrates a client connection with its job, if the job can migrate already.
    fn migrate_client(&mut self, id: ConnectionId, now: Millis) -> NextMigration {
        let Some(Socket { role: Role::Downstream(connection, job), .. }) = self.socket(id) else {
            return NextMigration::Allowed;
        };
        let age = connection.age(now);
        let has_served = connection.has_served();
        let closes_connection = connection.closes_after_answer();
        let job = *job;
        let migrated_job = match job.map(|job| self.dispatch.migrated_job(job, now)) {
            Some(Some(migrated)) => Some(MigratedJob { closes_connection, ..migrated }),
            Some(None) => return NextMigration::Allowed, // the job cannot migrate now
            None => None,
        };
        let trace_id = job.and_then(|job| self.dispatch.trace_id(job));
        let Some(socket) = self.sockets.get(id) else { return NextMigration::Blocked };
        let Some(peer) = &mut self.upgrade.peer else { return NextMigration::Blocked };
        let migrated = MigratedConnection { age, has_served, job: migrated_job };
        peer.link.send(&Message::ConnectionMigrated(migrated));
        match send_with_descriptor(&peer.stream, peer.link.write_buffer.unsent(), socket.stream.as_fd()) {
            Ok(sent) => peer.link.write_buffer.mark_sent(sent),
            Err(_) => {
                peer.link.write_buffer.clear(); // nothing was sent; a later iteration retries
                return NextMigration::Blocked;
            }
        }
        if let Some(job) = job {
            self.dispatch.release_migrated(job);
        }
        if let Some(trace_id) = trace_id {
            self.upgrade.mark_migrated(trace_id.to_string());
        }
        self.close(id); // closes only this process's descriptor
        NextMigration::Allowed
    }

    /// Adopts a client connection, with its job if it waits for one, from the predecessor.
    pub(super) fn adopt_client(&mut self, migrated: MigratedConnection, now: Millis) {
        let Some(stream) = self.next_received_stream() else {
            return log::warn!("client migration failed: reason=\"no connection received\"");
        };
        let MigratedConnection { age, has_served, job } = migrated;
        let closes_connection = job.as_ref().map(|job| job.closes_connection);
        let connection = downstream::Connection::migrated(now, age, has_served, closes_connection);
        let deadline = connection.deadline();
        let id = match self.add_connection(stream, Role::Downstream(connection, None), false, deadline) {
            Ok(id) => id,
            Err(e) => return log::warn!("client migration failed: error={e}"),
        };
        if let Some(job) = job {
            self.adopt_job(id, job, now);
        }
        self.drive(id);
    }

    /// Returns the next client connection received from the predecessor. Returns `None` if there is none or
    /// it cannot be made non-blocking.
    fn next_received_stream(&mut self) -> Option<TcpStream> {
        let descriptor = self.upgrade.peer.as_mut()?.received_descriptors.pop_front()?;
        let stream = std::net::TcpStream::from(descriptor);
        stream.set_nonblocking(true).ok()?;
        Some(TcpStream::from_std(stream))
    }

    /// Adopts the job whose answer a migrated connection waits for.
    fn adopt_job(&mut self, id: ConnectionId, migrated: MigratedJob, now: Millis) {
        let mut decoder = Decoder::new();
        decoder.feed(&migrated.request);
        let message = decoder.next().ok().flatten();
        let request = message.map(|message| intake::read(message, &self.site, false));
        let Some(IncomingRequest::Job(job)) = request else {
            log::warn!("job migration failed: reason=\"request not readable\"");
            return self.reply_with_status(id, 502, now);
        };
        let forwarded_result = self.upgrade.mark_closed_at_peer(&job.trace_id);
        let mut attempts = Vec::with_capacity(migrated.attempts.len());
        for attempt in migrated.attempts {
            attempts.push((self.endpoints.id(&attempt.worker), attempt));
        }
        match self.dispatch.adopt_job(id, *job, attempts, migrated.deferral, now) {
            Ok(job) => self.set_waiting_job(id, job),
            Err(error) => self.reply_not_accepted(id, &error, now),
        }
        // The other process has not read this result: it does not migrate a job whose result it has.
        let result = forwarded_result.and_then(|body| JobStatusUpdate::read(body.as_bytes(), &self.site));
        if let Some(result) = result {
            self.dispatch.job_status(result, now);
        }
    }
}
