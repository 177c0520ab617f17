//! Shell completion scripts. They complete statements by calling `amaranth-ctl --complete`.

use std::fmt;
use std::str::FromStr;

const OPTIONS: &str = "-e --instance --settings --key-file --json --watch --command-id \
                       --completions --help --version";

/// A shell with a completion script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShellKind {
    /// GNU bash.
    Bash,
    /// Z shell.
    Zsh,
}

/// Error for a shell without a completion script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownShellError;

impl fmt::Display for UnknownShellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected bash or zsh")
    }
}

impl std::error::Error for UnknownShellError {}

impl FromStr for ShellKind {
    type Err = UnknownShellError;

    fn from_str(text: &str) -> Result<Self, UnknownShellError> {
        match text {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            _ => Err(UnknownShellError),
        }
    }
}

/// Returns the completion script, to be sourced by the shell.
pub fn script(shell: ShellKind) -> String {
    match shell {
        ShellKind::Bash => format!(
            r#"_amaranth_ctl() {{
  local cur="${{COMP_WORDS[COMP_CWORD]}}" prev="${{COMP_WORDS[COMP_CWORD-1]}}"
  if [[ $prev == -e ]]; then
    local text="${{cur#[\"\']}}" IFS=$'\n'
    COMPREPLY=($(amaranth-ctl --complete "$text"))
    compopt -o nospace
  elif [[ $cur == -* ]]; then
    COMPREPLY=($(compgen -W "{OPTIONS}" -- "$cur"))
  else
    COMPREPLY=($(compgen -f -- "$cur"))
  fi
}}
complete -F _amaranth_ctl amaranth-ctl
"#
        ),
        ShellKind::Zsh => format!(
            r#"#compdef amaranth-ctl
_amaranth_ctl() {{
  if [[ ${{words[CURRENT-1]}} == -e ]]; then
    local -a lines
    lines=("${{(@f)$(amaranth-ctl --complete "${{(Q)words[CURRENT]}}")}}")
    compadd -Q -U -S '' -- "${{(@qq)lines}}"
  elif [[ ${{words[CURRENT]}} == -* ]]; then
    compadd -- {OPTIONS}
  else
    _files
  fi
}}
compdef _amaranth_ctl amaranth-ctl
"#
        ),
    }
}
