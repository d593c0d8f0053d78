"""Command that prints a shell completion script."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from godwitthread.cmd.output import ExitStatus

if TYPE_CHECKING:
    from cleo.application import Application
    from cleo.io.inputs.argument import Argument

SHELLS = ('bash', 'zsh')
PROGRAM = 'godwitthread'
_BASH = """_{program}() {{
    local path='' words='' word
    for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
        [[ $word == -* ]] && break
        path="$path $word"
    done
    case "$path" in
{cases}
    esac
    COMPREPLY=($(compgen -W "$words" -- "${{COMP_WORDS[COMP_CWORD]}}"))
}}
complete -o default -F _{program} {program}"""
_ZSH_PREFIX = 'autoload -U +X bashcompinit && bashcompinit\n'


class CompletionsCommand(Command):
    """Print a completion script; that of cleo does not complete two-word commands."""

    name = 'completions'
    description = 'Print a completion script for bash or zsh.'
    arguments: ClassVar[list[Argument]] = [
        argument('shell', f'One of {", ".join(SHELLS)}.', optional=True, default='bash')
    ]

    def handle(self) -> int:
        """Print the script."""
        shell = self.argument('shell')
        if shell not in SHELLS or self.application is None:
            self.line_error(f'shell must be one of {", ".join(SHELLS)}, not {shell}')
            return ExitStatus.BAD_USAGE
        prefix = _ZSH_PREFIX if shell == 'zsh' else ''
        self.io.write_line(prefix + completion_script(self.application))
        return ExitStatus.DONE


def completion_script(application: Application) -> str:
    """Return a bash script that completes commands, subcommands and options."""
    options_by_command = {
        command.name: [f'--{each.name}' for each in command.definition.options]
        for command in application.all().values()
        if command.name and not command.hidden
    }
    cases = [_case(f'" {name}"*', options) for name, options in options_by_command.items()]
    subcommands: dict[str, list[str]] = {}
    for name in options_by_command:
        first, _, second = name.partition(' ')
        subcommands.setdefault(first, []).extend([second] if second else [])
    cases += [_case(f'" {first}"', words) for first, words in subcommands.items() if words]
    cases.append(_case("''", list(subcommands)))
    return _BASH.format(program=PROGRAM, cases='\n'.join(cases))


def _case(pattern: str, words: list[str]) -> str:
    return f"        {pattern}) words='{' '.join(sorted(words))}' ;;"


COMMANDS: list[type[Command]] = [CompletionsCommand]
