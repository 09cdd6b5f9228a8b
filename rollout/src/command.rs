//! Commands of the control socket that take no arguments, defined once for the daemon and the command line.

/// Command of the control socket that takes no arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimpleCommand {
    /// Reports the running version, the staged version and the version on probation.
    Status,
    /// Confirms the version on probation.
    Confirm,
    /// Rolls back to the version before the one on probation.
    RollBack,
    /// Discards the staged version.
    Drop,
    /// Lists the events of all versions.
    History,
    /// Lists the cluster members as this backend sees them.
    Members,
    /// Reports the configuration that the backends have agreed on.
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

    /// Returns the name of the command on the control socket.
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

    /// Returns the command with this name, or `None` if there is none.
    pub fn parse(name: &str) -> Option<SimpleCommand> {
        SimpleCommand::ALL.into_iter().find(|command| command.as_str() == name)
    }
}
