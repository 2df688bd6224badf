"""Event ids of resume handles, taken apart as the product does."""


def signed_part(event_id):
    """Return the handle of an event id: all before its last dot.

    A handle may hold dots itself, and one that was compressed begins with
    one.
    """
    return event_id.rpartition('.')[0]
