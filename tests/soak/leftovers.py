"""Finds what a run leaves open when its event loop ends."""

import asyncio
import gc
import sys
import warnings

# Warnings of what is left open when its loop is closed.
LEFT_OPEN = "loop is closed|unclosed transport|unclosed <socket"
CANCEL_TRIES = 5
CANCEL_WAIT_S = 1.0


def find_open():
    """Return texts on the tasks, connections and servers that are open."""
    me = asyncio.current_task()
    found = [f"task {task.get_coro().__qualname__}"
             for task in asyncio.all_tasks() if task is not me]
    for each in gc.get_objects():
        if isinstance(each, asyncio.StreamWriter) and not each.is_closing():
            found.append(f"connection from {each.get_extra_info('sockname')} "
                         f"to {each.get_extra_info('peername')}")
        elif isinstance(each, asyncio.Server) and each.is_serving():
            found.append(f"server at {each.sockets[0].getsockname()}")
    return found


async def cancel(tasks):
    """Cancel tasks and wait for their ends.

    It is repeated, as asyncio.wait_for() drops a cancelling that meets its
    result.
    """
    for _ in range(CANCEL_TRIES):
        pending = [task for task in tasks if not task.done()]
        if not pending:
            return
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=CANCEL_WAIT_S)


async def cancel_others():
    """Cancel all tasks but the current one, and wait for their ends."""
    me = asyncio.current_task()
    await cancel([task for task in asyncio.all_tasks() if task is not me])


class Errors:
    """Keeps the errors that nobody could catch, also those after the loop.

    What is still open when its loop is closed is only warned of by most
    versions of the interpreter, so that these warnings count as errors.
    """

    def __init__(self):
        self.found = []
        sys.unraisablehook = self.add_unraisable
        warnings.filterwarnings("error", LEFT_OPEN, ResourceWarning)

    def watch_loop(self):
        asyncio.get_running_loop().set_exception_handler(self.add_of_loop)

    def add_unraisable(self, args):
        self.found.append(f"{args.object!r}: {args.exc_value!r}")

    def add_of_loop(self, _, context):
        self.found.append(f"{context['message']}: "
                          f"{context.get('exception')!r}")

    def collect(self):
        """Return each error once, also of objects that are only freed now."""
        gc.collect()
        return sorted(set(self.found))
