//! The frames of `WIRE-postusher.md`: big-endian, unpadded, lengths checked before use.

use postusher_decision::*;
use postusher_settings::micros_from_millis;
use std::fmt;

/// What is wrong with the input, and at which byte of its frame.
#[derive(Debug, PartialEq)]
pub struct WireError {
    /// What was being read.
    pub what: String,
    /// Where in the frame.
    pub at: usize,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at byte {} of the frame", self.what, self.at)
    }
}

/// One record of a batch.
#[derive(Debug)]
pub enum Record {
    /// An instance begins.
    Launch { seed: u64, settings: Vec<u8> },
    /// An instance is killed.
    Kill,
    /// Something for a running instance.
    Event(Event),
    /// Something that the dispatcher has no use for.
    Skip,
}

/// One frame of input.
#[derive(Debug)]
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// Instance and record, in order.
    pub records: Vec<(u16, Record)>,
}

/// The length field of a frame counts all of it; the header alone takes 12 bytes.
pub const HEADER: usize = 12;
/// Longer frames than this are taken for garbage.
pub const MAX_FRAME: usize = 1 << 28;

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self, what: &str) -> Result<[u8; N], WireError> {
        let part = self.bytes.get(self.at..self.at + N).and_then(|b| b.try_into().ok());
        let part = part.ok_or_else(|| self.error(format!("frame too short for {what}")))?;
        self.at += N;
        Ok(part)
    }

    fn error(&self, what: String) -> WireError {
        WireError { what, at: self.at }
    }

    fn u8(&mut self, what: &str) -> Result<u8, WireError> {
        Ok(self.take::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.take(what)?))
    }

    fn u32(&mut self, what: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.take(what)?))
    }

    fn u64(&mut self, what: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.take(what)?))
    }

    fn f32(&mut self, what: &str) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.take(what)?)))
    }

    fn millis(&mut self, what: &str) -> Result<Micros, WireError> {
        Ok(micros_from_millis(f64::from_be_bytes(self.take(what)?)))
    }

    /// A count whose content must fit in what is left of the frame.
    fn count(&mut self, n: usize, each: usize, what: &str) -> Result<usize, WireError> {
        let left = self.bytes.len() - self.at;
        if n.checked_mul(each).is_none_or(|need| need > left) {
            return Err(self.error(format!("{what} claims {n} entries, more than the frame holds")));
        }
        Ok(n)
    }

    fn bytes32(&mut self, what: &str) -> Result<Vec<u8>, WireError> {
        let n = self.u32(what)? as usize;
        let n = self.count(n, 1, what)?;
        self.at += n;
        Ok(self.bytes[self.at - n..self.at].to_vec())
    }

    fn report(&mut self) -> Result<Vec<f64>, WireError> {
        let n = usize::from(self.u8("Gauge")?);
        let n = self.count(n, 4, "Gauge")?;
        (0..n).map(|_| self.f32("Gauge")).collect()
    }

    fn attempt(&mut self) -> Result<AttemptId, WireError> {
        Ok(AttemptId(self.u8("Leg")?))
    }

    fn result(&mut self) -> Result<AttemptResult, WireError> {
        let code = self.u16("Ending")?;
        Ok(match code {
            200 => AttemptResult::Success,
            502 => AttemptResult::Error,
            429 => AttemptResult::Overloaded,
            408 => AttemptResult::TimedOut,
            521 => AttemptResult::ConnectFailed,
            520 => AttemptResult::Reset,
            444 => AttemptResult::Cancelled,
            409 => AttemptResult::NotSent,
            _ => return Err(self.error(format!("unknown Ending {code}"))),
        })
    }

    fn member(&mut self) -> Result<Endpoint, WireError> {
        let worker = WorkerId(self.u32("Worker")?);
        let state = match self.u8("Readiness")? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(self.error(format!("unknown Readiness {other}"))),
        };
        Ok(Endpoint {
            worker,
            state,
            capacity_weight: self.f32("Heft")?,
            cell: self.u16("Group")?,
            started_at: self.millis("UpSinceMs")?,
            kind: self.u16("GenerationHw")?,
            zone: self.u16("Dc")?,
        })
    }

    fn topology(&mut self) -> Result<Event, WireError> {
        let update = match self.u8("Kind")? {
            0 => ListUpdate::Changes,
            1 => ListUpdate::Complete,
            2 => ListUpdate::Cached,
            3 => ListUpdate::Failed,
            other => return Err(self.error(format!("unknown list Kind {other}"))),
        };
        self.u32("Revision")?;
        let n = self.u32("MembersList")? as usize;
        let n = self.count(n, 23, "MembersList")?;
        let endpoints = (0..n).map(|_| self.member()).collect::<Result<_, _>>()?;
        Ok(Event::EndpointList { update, endpoints })
    }

    fn inbound(&mut self) -> Result<Event, WireError> {
        let id = JobId(self.u32("Job")?);
        let (class, customer) = (self.u16("Type")?, self.u16("Org")?);
        let key = self.u64("NameKey")?;
        let (deadline, hint) = (self.millis("ExpiresMs")?, self.millis("CostGuessMs")?);
        let slots = self.f32("Slots")?.clamp(0.0, 65_535.0) as u32;
        self.f32("Memory")?;
        let size_hint = (self.u8("Bitmap")? & 1 == 1).then_some(hint);
        Ok(Event::JobArrived(Job { id, class, deadline, size_hint, slots, key, customer }))
    }

    fn settled(&mut self) -> Result<Event, WireError> {
        let (job, attempt) = (JobId(self.u32("Job")?), self.attempt()?);
        self.u32("Worker")?;
        let (result, latency) = (self.result()?, self.millis("LatencyMs")?);
        let done = self.u8("DoneFlag")? != 0;
        self.u8("Note")?;
        Ok(Event::AttemptEnded(AttemptOutcome {
            job,
            attempt,
            result,
            latency,
            job_answered: done,
            report: self.report()?,
        }))
    }

    fn hint_update(&mut self) -> Result<Record, WireError> {
        let (job, done) = (JobId(self.u32("Job")?), self.f32("Level")?);
        let (what, attempt) = (self.u8("What")?, self.attempt()?);
        self.u32("Worker")?;
        Ok(match what {
            1 => Record::Event(Event::JobStarted { job, attempt }),
            2 => Record::Event(Event::JobProgressed { job, attempt, done }),
            _ => Record::Skip,
        })
    }

    fn record(&mut self) -> Result<(u16, Record), WireError> {
        let code = self.u16("record code")?;
        if !(1..=11).contains(&code) {
            self.at -= 2;
            return Err(self.error(format!("unknown record code {code}")));
        }
        let instance = self.u16("I")?;
        let record = match code {
            1 => self.hint_update()?,
            2 => {
                let (job, attempt) = (JobId(self.u32("Job")?), self.attempt()?);
                self.millis("LatencyMs")?;
                self.u32("Worker")?;
                Record::Event(Event::AnswerStreaming { job, attempt })
            }
            3 => Record::Launch { seed: self.u64("Entropy")?, settings: self.bytes32("ProfileData")? },
            4 => {
                let (worker, result) = (WorkerId(self.u32("Worker")?), self.result()?);
                self.millis("LatencyMs")?;
                Record::Event(Event::HealthCheckEnded { worker, result, report: self.report()? })
            }
            5 => Record::Event(self.topology()?),
            6 => Record::Event(self.inbound()?),
            7 => Record::Event(self.settled()?),
            8 => Record::Event(Event::ClientDisconnected(JobId(self.u32("Job")?))),
            9 => {
                self.u16("By")?;
                let n = usize::from(self.u16("Payload")?);
                self.at += self.count(n, 1, "Payload")?;
                Record::Skip
            }
            10 => Record::Kill,
            _ => Record::Event(Event::TimerExpired(self.u64("Cookie")?)),
        };
        Ok((instance, record))
    }
}

/// Decodes one whole frame, its length field included.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let mut r = Reader { bytes: frame, at: 0 };
    let len = r.u32("frame length")? as usize;
    if len != frame.len() {
        return Err(WireError { what: format!("length field {len} on a frame of {}", frame.len()), at: 0 });
    }
    let now = r.millis("clock")?;
    let mut records = Vec::new();
    while r.at < frame.len() {
        records.push(r.record()?);
    }
    Ok(Batch { now, records })
}

/// A reply being built.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    count: u32,
}

impl Reply {
    fn begin(&mut self, code: u16, instance: u16) {
        self.count += 1;
        self.body.extend(code.to_be_bytes());
        self.body.extend(instance.to_be_bytes());
    }

    fn millis(&mut self, t: Micros) {
        self.body.extend((t as f64 / 1000.0).to_be_bytes());
    }

    /// Appends an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::StartAttempt { job, worker, timeout } => {
                self.begin(65, instance);
                self.body.extend(job.0.to_be_bytes());
                self.body.extend(worker.0.to_be_bytes());
                self.millis(*timeout);
            }
            Action::Reject { job, retry_after } => {
                self.begin(66, instance);
                self.body.extend(job.0.to_be_bytes());
                self.millis(*retry_after);
            }
            Action::Fail { job } => {
                self.begin(67, instance);
                self.body.extend(job.0.to_be_bytes());
            }
            Action::CancelAttempt { job, attempt } => {
                self.begin(68, instance);
                self.body.extend(job.0.to_be_bytes());
                self.body.push(attempt.0);
            }
            Action::SetTimer { after, timer } => {
                self.begin(69, instance);
                self.millis(*after);
                self.body.extend(timer.to_be_bytes());
            }
            Action::CheckHealth { worker } => {
                self.begin(70, instance);
                self.body.extend(worker.0.to_be_bytes());
            }
            Action::WatchEndpoints => {
                self.begin(75, instance);
                self.body.push(1);
            }
            Action::CloseIdleConnections { worker } => {
                self.begin(71, instance);
                self.body.extend(worker.0.to_be_bytes());
            }
        }
    }

    /// Appends the word that an instance's decisions broke.
    pub fn panic(&mut self, instance: u16, what: &str) {
        let text = &what.as_bytes()[..what.len().min(usize::from(u16::MAX))];
        self.begin(74, instance);
        self.body.extend((text.len() as u16).to_be_bytes());
        self.body.extend(text);
    }

    /// The whole frame.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(self.body.len() + 8);
        frame.extend((self.body.len() as u32 + 8).to_be_bytes());
        frame.extend(self.count.to_be_bytes());
        frame.extend(self.body);
        frame
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: String = text.split_whitespace().collect();
        (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
    }

    /// A frame around records written by hand.
    fn frame(records: &str) -> Vec<u8> {
        let body = hex(records);
        let mut frame = (body.len() as u32 + 12).to_be_bytes().to_vec();
        frame.extend(11_356.0f64.to_be_bytes());
        frame.extend(body);
        frame
    }

    fn one(records: &str) -> (u16, Record) {
        decode(&frame(records)).unwrap().records.pop().unwrap()
    }

    #[test]
    fn an_empty_batch_and_reply() {
        let batch = decode(&hex("0000000c 40c06e2000000000")).unwrap();
        assert_eq!((batch.now, batch.records.len()), (8_412_250, 0));
        assert_eq!(Reply::default().finish(), hex("00000008 00000000"));
    }

    #[test]
    fn an_inbound_job() {
        let (instance, record) = one("0006 0003 5d3a91c4 0000 0000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 40000000 00000000 01");
        let Record::Event(Event::JobArrived(job)) = record else { panic!("{record:?}") };
        assert_eq!((instance, job.id, job.slots), (3, JobId(0x5d3a_91c4), 2));
        assert_eq!((job.deadline, job.size_hint), (8_652_250, Some(12_000)));
        assert_eq!((job.key, job.customer), (0x91f0_3b7c_55d2_0a64, 0));
        let (_, record) = one("0006 0003 5d3a91c4 0000 0004 91f03b7c55d20a64 40c0e62000000000 4028000000000000 40000000 00000000 01");
        assert!(matches!(record, Record::Event(Event::JobArrived(job)) if job.customer == 4));
    }

    #[test]
    fn a_list_with_two_members() {
        let (_, record) = one("0005 0003 02 00000029 00000002 03124a07 01 3f800000 0000 0000000000000000 0000 0000 2c9011f2 02 3fc00000 0005 40b7d40000000000 0001 0002");
        let Record::Event(Event::EndpointList { update: ListUpdate::Cached, endpoints }) = record else {
            panic!("{record:?}")
        };
        assert_eq!(endpoints[0].worker, WorkerId(0x0312_4a07));
        let second = &endpoints[1];
        assert_eq!((second.state, second.capacity_weight, second.cell), (EndpointState::Draining, 1.5, 5));
        assert_eq!((second.started_at, second.kind, second.zone), (6_100_000, 1, 2));
    }

    #[test]
    fn an_outcome_with_a_report() {
        let (_, record) =
            one("0007 0003 5d3a91c4 01 03124a07 01ad 4032800000000000 01 00 02 3f800000 40000000");
        let Record::Event(Event::AttemptEnded(o)) = record else { panic!("{record:?}") };
        assert_eq!(
            (o.attempt.0, o.result, o.latency, o.job_answered),
            (1, AttemptResult::Overloaded, 18_500, true)
        );
        assert_eq!(o.report, vec![1.0, 2.0]);
    }

    #[test]
    fn actions_as_in_the_layout_tables() {
        let mut reply = Reply::default();
        let (job, worker) = (JobId(0x5d3a_91c4), WorkerId(0x0312_4a07));
        reply.action(3, &Action::StartAttempt { job, worker, timeout: 80_000 });
        reply.action(3, &Action::SetTimer { after: 500_000, timer: 77 });
        reply.action(3, &Action::CancelAttempt { job, attempt: AttemptId(0) });
        reply.action(3, &Action::Reject { job: JobId(0x0e6f_2b19), retry_after: 250_000 });
        reply.action(3, &Action::WatchEndpoints);
        let expected = "0000004e 00000005 0041 0003 5d3a91c4 03124a07 4054000000000000 0045 0003 407f400000000000 000000000000004d 0044 0003 5d3a91c4 00 0042 0003 0e6f2b19 406f400000000000 004b 0003 01";
        assert_eq!(reply.finish(), hex(expected));
    }

    #[test]
    fn a_reply_reads_back_as_it_was_written() {
        let (job, worker) = (JobId(7), WorkerId(u32::MAX));
        let mut reply = Reply::default();
        reply.action(9, &Action::StartAttempt { job, worker, timeout: 1_234_567 });
        reply.action(8, &Action::Fail { job });
        reply.action(7, &Action::CheckHealth { worker });
        reply.action(6, &Action::CloseIdleConnections { worker });
        let frame = reply.finish();
        let mut r = Reader { bytes: &frame, at: 0 };
        assert_eq!((r.u32("").unwrap() as usize, r.u32("").unwrap()), (frame.len(), 4));
        assert_eq!((r.u16("").unwrap(), r.u16("").unwrap(), r.u32("").unwrap()), (65, 9, 7));
        assert_eq!((r.u32("").unwrap(), r.millis("").unwrap()), (u32::MAX, 1_234_567));
        assert_eq!((r.u16("").unwrap(), r.u16("").unwrap(), r.u32("").unwrap()), (67, 8, 7));
        assert_eq!((r.u16("").unwrap(), r.u16("").unwrap(), r.u32("").unwrap()), (70, 7, u32::MAX));
        assert_eq!((r.u16("").unwrap(), r.u16("").unwrap(), r.u32("").unwrap()), (71, 6, u32::MAX));
        assert_eq!(r.at, frame.len());
    }

    #[test]
    fn what_is_malformed_is_named_with_its_place() {
        let cases = [
            (frame("00ff 0003"), "unknown record code 255"),
            (frame("0006 0003 5d3a"), "too short for Job"),
            (frame("0005 0003 01 00000001 ffffffff"), "MembersList claims 4294967295 entries"),
            (frame("0007 0003 5d3a91c4 00 03124a07 0001"), "unknown Ending 1"),
            (hex("00000010 40c06e2000000000"), "length field 16 on a frame of 12"),
        ];
        for (bytes, words) in cases {
            let error = decode(&bytes).unwrap_err().to_string();
            assert!(error.contains(words), "{error}");
        }
    }

    #[test]
    fn every_cut_of_a_frame_is_an_error_not_a_panic() {
        let whole = frame("0007 0003 5d3a91c4 01 03124a07 01ad 4032800000000000 01 00 02 3f800000 40000000");
        for n in 12..whole.len() {
            let mut cut = whole[..n].to_vec();
            cut[..4].copy_from_slice(&(n as u32).to_be_bytes());
            assert!(n == 12 || decode(&cut).is_err(), "{n}");
        }
    }
}
