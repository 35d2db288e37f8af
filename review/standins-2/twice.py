"""Check of the rule TWICE for ends that are taken note of later."""


def split(text):
    """Return the task, the run and the worker of an event."""
    words = text.split(" ")
    return words[0], int(words[1].partition("=")[2]), words[3]


def find_starts_after_done(events):
    """Return the starts after a run of the task has ended as done.

    Only ends that are taken note of count, then or later, unless the lease of
    the worker has lapsed between the two.
    """
    done, starts, noted, lapsed = {}, [], {}, {}
    for at_s, kind, text in events:
        if kind == "done":
            done.setdefault(split(text)[0], (at_s, *split(text)[1:]))
        elif kind == "start":
            starts.append((at_s, *split(text)))
        elif kind == "noted":
            task, number, worker = split(text)
            noted.setdefault((task, number, worker), at_s)
        elif kind == "lapsed":
            lapsed.setdefault(split(text)[2], []).append(at_s)
    found = []
    for at_s, task, number, worker in starts:
        if task not in done or at_s <= done[task][0]:
            continue
        done_s, done_run, done_on = done[task]
        noted_s = noted.get((task, done_run, done_on))
        if noted_s is None or any(done_s < lapse_s < noted_s
                                  for lapse_s in lapsed.get(done_on, [])):
            continue
        found.append(f"{at_s:.3f} s: {task} run {number} starts on {worker}; "
                     f"run {done_run} ended as done at {done_s:.3f} s, which "
                     f"was taken note of at {noted_s:.3f} s")
    return found
