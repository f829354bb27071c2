"""Entry point of ``bulrushgrade``, the command line for operators.

Exit codes: 0 done, 1 refused (the reason is printed), 2 usage error, 3 outcome
unknown.
"""

from typing import Annotated

from returns.result import Failure
import typer

from bulrushgrade_cli import checking
from bulrushgrade_cli import outcome
from bulrushgrade_cli import publishing
from bulrushgrade_cli import reading
from bulrushgrade_cli import running
from bulrushgrade_cli import status as status_module
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import logclient

LOG_VARIABLE = "BULRUSHGRADE_LOG"
ADMIN_VARIABLE = "BULRUSHGRADE_ADMIN"

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Publishes service documents and shows what daemons do.",
)


def _parse_address(text: str, *, min_port: int = 1) -> str:
    try:
        return str(keys.parse_address(text, min_port=min_port))
    except ValueError as error:
        raise typer.BadParameter(
            f"{text!r}: {error}; expected IP:PORT"
        ) from None


def _parse_listen_address(text: str) -> str:
    return _parse_address(text, min_port=0)


Log = Annotated[
    str,
    typer.Option(
        "--log",
        envvar=LOG_VARIABLE,
        parser=_parse_address,
        metavar="IP:PORT",
        help="Address of the log service.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
File = Annotated[str, typer.Argument(metavar="FILE.ini")]
Service = Annotated[
    str, typer.Argument(help="A service, or 'fleet' for the fleet's document.")
]


def _print_and_exit(result: outcome.Outcome, json: bool) -> None:
    if json:
        typer.echo(outcome.serialize_value(result.value))
    else:
        if result.note:
            typer.echo(result.note, err=True)
        typer.echo(
            result.text, err=result.code in (outcome.REFUSED, outcome.USAGE)
        )
    raise typer.Exit(result.code)


@app.command()
def check(file: File, json: Json = False) -> None:
    """Checks the document of a service or the fleet and lists every error."""
    _print_and_exit(checking.check(file), json)


@app.command()
def publish(
    file: File,
    log: Log,
    base: Annotated[
        int | None,
        typer.Option(
            min=0,
            help="The revision that the file was edited from, as 'show' "
            "gives it; by default the one accepted now.",
        ),
    ] = None,
    json: Json = False,
) -> None:
    """Publishes a document and reports whether it was accepted."""
    read = checking.read_draft(file)
    if isinstance(read, Failure):
        _print_and_exit(read.failure(), json)
    draft = read.unwrap()

    async def command(reactor):
        client = logclient.LogClient(reactor=reactor, address=log)
        return await publishing.publish(reactor, client, draft, base=base)

    _print_and_exit(running.run(command), json)


@app.command()
def show(service: Service, log: Log, json: Json = False) -> None:
    """Shows the accepted document of a service."""

    async def command(reactor):
        client = logclient.LogClient(reactor=reactor, address=log)
        return await reading.show(client, service)

    _print_and_exit(running.run(command), json)


@app.command()
def history(service: Service, log: Log, json: Json = False) -> None:
    """Shows the latest publishes of a service and their verdicts."""

    async def command(reactor):
        client = logclient.LogClient(reactor=reactor, address=log)
        return await reading.list_history(client, service)

    _print_and_exit(running.run(command), json)


@app.command()
def status(
    admin: Annotated[
        list[str],
        typer.Option(
            "--admin",
            envvar=ADMIN_VARIABLE,
            parser=_parse_address,
            metavar="IP:PORT",
            help="A daemon's admin address; may be given repeatedly.",
        ),
    ],
    json: Json = False,
) -> None:
    """Shows the status of each daemon in one line."""
    _print_and_exit(
        running.run(lambda r: status_module.show_status(r, admin)), json
    )


@app.command()
def dump(
    address: Annotated[
        str, typer.Argument(metavar="IP:PORT", parser=_parse_address)
    ],
    service: Annotated[
        str | None, typer.Argument(help="One service of the daemon.")
    ] = None,
    json: Json = False,
) -> None:
    """Shows the state of the daemon at an admin address."""
    _print_and_exit(
        running.run(lambda r: status_module.dump(r, address, service)), json
    )


@app.command()
def replay(trace: str, json: Json = False) -> None:
    """Replays a recorded trace and shows the resulting figures."""
    # Imported here: only this command needs the simulated engines.
    from bulrushgrade_cli import replaying

    _print_and_exit(replaying.replay_trace(trace, json=json), json)


@app.command()
def demo(
    listen: Annotated[
        str,
        typer.Option(
            parser=_parse_listen_address,
            metavar="IP:PORT",
            help="Address on which the daemon accepts callers; "
            "port 0 picks a free port.",
        ),
    ] = "127.0.0.1:8080",
) -> None:
    """Runs the whole system in this process until Ctrl-C."""
    # Imported here: only this command needs the daemon and all stand-ins.
    from bulrushgrade_cli import demo as demo_module

    _print_and_exit(demo_module.run_demo(listen), json=False)


def main() -> None:
    """Runs the command line."""
    app(prog_name="bulrushgrade")


if __name__ == "__main__":
    main()
