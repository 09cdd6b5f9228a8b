//! What is peculiar to the agent: its notices come by numbers, and what a link that broke may have lost is sent
//! again.

use asterrill::RpcId;
use asterrill_protocol::agent::NoticeId;
use std::collections::BTreeMap;

/// What the agent was told about a run that goes on.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// The link by which the last command went.
    by: u64,
    /// The link by which it was told to stop.
    stopped: Option<u64>,
    /// The notice that asked for the call that the run waits for, or waited for last.
    asked: NoticeId,
}

/// The links to the agent, one after the other, and what was sent by each.
#[derive(Default)]
pub struct Agent {
    link: u64, // counts the links
    last: NoticeId,
    tag: u64,
    resync: Option<u64>, // the sample after which all that was missed has been read
    runs: BTreeMap<RpcId, Told>,
}

impl Agent {
    /// A new link stands. Hands back the number of the last notice read.
    pub fn linked(&mut self) -> NoticeId {
        self.link += 1;
        self.last
    }
    /// A number for a sample or an exercise.
    pub fn tag(&mut self) -> u64 {
        self.tag += 1;
        self.tag
    }
    /// The agent greets: once the sample with the number handed back has come, all was read that was missed.
    pub fn greeted(&mut self) -> u64 {
        let tag = self.tag();
        self.resync = Some(tag);
        tag
    }
    /// A sample has come. True once, when all that was missed has been read.
    pub fn sampled(&mut self, tag: u64) -> bool {
        self.resync.take_if(|resync| *resync == tag).is_some()
    }
    /// Every numbered notice comes by here first. False if it was read before.
    pub fn fresh(&mut self, number: NoticeId) -> bool {
        let fresh = number > self.last;
        self.last = self.last.max(number);
        fresh
    }
    /// A command about a run goes out. Hands back the notice that asked for its call.
    pub fn sends(&mut self, id: RpcId) -> NoticeId {
        let told = self.runs.entry(id).or_default();
        told.by = self.link;
        told.asked
    }
    /// A run needs a call.
    pub fn asked(&mut self, id: RpcId, number: NoticeId) {
        self.runs.entry(id).and_modify(|told| told.asked = number);
    }
    pub fn stops(&mut self, id: RpcId) {
        self.runs.entry(id).or_default().stopped = Some(self.link);
    }
    /// The run is over: the one place where what is known of it is given back.
    pub fn over(&mut self, id: RpcId) {
        self.runs.remove(&id);
    }
    /// The runs whose last command may have been lost, and those whose stop may have been. By now it is counted
    /// as sent again, by the present link.
    pub fn lost(&mut self) -> (Vec<RpcId>, Vec<RpcId>) {
        let (now, mut commands, mut stops) = (self.link, Vec::new(), Vec::new());
        for (id, told) in &mut self.runs {
            if std::mem::replace(&mut told.by, now) < now {
                commands.push(*id);
            }
            if told.stopped.is_some_and(|link| link < now) {
                told.stopped = Some(now);
                stops.push(*id);
            }
        }
        (commands, stops)
    }
}
