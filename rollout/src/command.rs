//! The commands of the control socket that take no arguments: one list for the daemon and the command line.

/// A command of the control socket that takes no arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimpleCommand {
    /// What runs, is staged, and is on probation.
    Status,
    /// The version on probation is good.
    Confirm,
    /// Return to the version before the one on probation.
    RollBack,
    /// Forget what is staged.
    Drop,
    /// What happened to versions.
    History,
    /// The cluster's members, as this backend sees them.
    Members,
    /// What the backends have agreed on.
    Fleet,
}

impl SimpleCommand {
    const ALL: [SimpleCommand; 7] = [
        SimpleCommand::Status,
        SimpleCommand::Confirm,
        SimpleCommand::RollBack,
        SimpleCommand::Drop,
        SimpleCommand::History,
        SimpleCommand::Members,
        SimpleCommand::Fleet,
    ];

    /// Its name on the control socket.
    pub fn as_str(self) -> &'static str {
        match self {
            SimpleCommand::Status => "status",
            SimpleCommand::Confirm => "settle",
            SimpleCommand::RollBack => "undo",
            SimpleCommand::Drop => "drop",
            SimpleCommand::History => "history",
            SimpleCommand::Members => "members",
            SimpleCommand::Fleet => "fleet",
        }
    }

    /// The command of that name, if there is one.
    pub fn parse(name: &str) -> Option<SimpleCommand> {
        SimpleCommand::ALL.into_iter().find(|command| command.as_str() == name)
    }
}
