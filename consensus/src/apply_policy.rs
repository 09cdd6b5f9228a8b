//! What a node acts on. The one table of what each form says; `docs/design/agreement.md` has it in words.

use crate::state::{Kind, Standing, State};

/// The form in which a node acts on what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// One version, under a lease.
    Full,
    /// Two at once, under a lease: whoever either of them turns away is turned away.
    Between,
    /// The last one known, without a lease.
    Safe,
    /// Nothing is known yet: started without state, and nobody has told.
    Blank,
}

impl Form {
    pub fn name(self) -> &'static str {
        match self {
            Form::Full => "full",
            Form::Between => "between",
            Form::Safe => "safe",
            Form::Blank => "blank",
        }
    }
}

/// What is acted on from now on.
#[derive(Clone, Debug)]
pub struct Gate {
    pub form: Form,
    /// The version under a lease; and the newer one that waits to come into force, if any.
    acting: State,
    newer: Option<State>,
}

impl Gate {
    pub fn full(acting: State) -> Gate {
        Gate { form: Form::Full, acting, newer: None }
    }
    pub fn between(acting: State, newer: State) -> Gate {
        Gate { form: Form::Between, acting, newer: Some(newer) }
    }
    pub fn safe(last: State) -> Gate {
        let form = if last.is_empty() { Form::Blank } else { Form::Safe };
        Gate { form, acting: last, newer: None }
    }
    /// The version acted on, and the newest known.
    pub fn versions(&self) -> (u64, u64) {
        (self.acting.number, self.newer.as_ref().map_or(self.acting.number, |newer| newer.number))
    }
    pub fn acting(&self) -> &State {
        &self.acting
    }
    /// The form that this one turns into when its lease ends.
    pub fn lapsed(&self) -> Gate {
        Gate::safe(self.newer.clone().unwrap_or_else(|| self.acting.clone()))
    }

    /// | form | on no list | let in | barred |
    /// | --- | --- | --- | --- |
    /// | full | served | served | turned away |
    /// | between | served unless one of the two bars it | served if both let it in, or one and the other has no word | turned away |
    /// | safe, blank | served | turned away: the word may have been taken back | turned away |
    pub fn turns_away(&self, kind: Kind, key: &str) -> bool {
        let by = |state: &State| match state.entry(kind, key).map(|entry| entry.standing) {
            None => false,
            Some(Standing::Out) => true,
            Some(Standing::In) => matches!(self.form, Form::Safe | Form::Blank),
        };
        match &self.newer {
            None => by(&self.acting),
            Some(newer) => {
                // One that was let in and is on no list any more may no longer be: not before the newer one is in force.
                let let_in = |s: &State| s.entry(kind, key).is_some_and(|e| e.standing == Standing::In);
                let gone = let_in(&self.acting) && newer.entry(kind, key).is_none();
                by(&self.acting) || by(newer) || gone
            }
        }
    }
}

/// Longest text of a caller's number.
const DIGITS: usize = 20;

/// A caller's number as a key, without taking memory.
pub fn caller_key(number: u64, room: &mut [u8; DIGITS]) -> &str {
    let mut at = DIGITS;
    let mut left = number;
    loop {
        at -= 1;
        if let Some(digit) = room.get_mut(at) {
            *digit = b'0' + (left % 10) as u8;
        }
        left /= 10;
        if left == 0 || at == 0 {
            break;
        }
    }
    room.get(at..).and_then(|digits| std::str::from_utf8(digits).ok()).unwrap_or("")
}
