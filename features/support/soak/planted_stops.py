"""Faults of a stop planted into the program, one for each way to end.

``python -m features.support.soak.planted_stops NAME`` runs such a gateway.
"""

from features.support.soak import planted

LATE_SECONDS = 4.0
# The faults that show only if generations find no room.
WITHOUT_ROOM = ('no final responses',)


def program(name):
    """Return the arguments of the interpreter for a planted fault."""
    planted.faults.get(name)
    return ('-m', 'features.support.soak.planted_stops', name)


@planted.faults.register('everything is accepted late')
def accept_all():
    from kingcupfront_gateway import stopping

    stopping.Shutdown.accepts = lambda *_, **__: True


@planted.faults.register('no final responses')
def leave_unanswered():
    from kingcupfront_gateway import draining

    draining._end_without_response = lambda process: None
    draining._awaits_response = lambda process: False


@planted.faults.register('the grace is counted late')
def count_late():
    from kingcupfront_gateway import draining

    sound = draining.drain
    draining.drain = lambda process, stopped_at: sound(
        process, stopped_at + LATE_SECONDS
    )


@planted.faults.register('half-read requests are dropped')
def drop_half_read():
    import gevent

    from kingcupfront_gateway import caller
    from kingcupfront_gateway import draining
    from kingcupfront_gateway import errors

    sound = caller.CallerConnection._receive

    def receive(self):
        if self._is_ending() and self.phase is caller.Phase.READING:
            gevent.sleep(1000)
        return sound(self)

    def end(process):
        for request in list(process.active_requests):
            request.end_without_response(errors.StoppingError())

    caller.CallerConnection._receive = receive
    draining._end_without_response = end


@planted.faults.register('connections are reset after a response')
def reset_after_response():
    import socket

    from features.support import relay
    from kingcupfront_gateway import caller

    def close(self):
        option = socket.SOL_SOCKET, socket.SO_LINGER, relay.RESET
        self._sock.setsockopt(*option)
        self._sock.close()

    connection = caller.CallerConnection
    sound = connection.can_reuse.fget
    connection._is_last_response = False
    connection.can_reuse = property(
        lambda self: sound(self) and not self._is_ending()
    )
    connection.close = close


@planted.faults.register('nothing is waited for')
def stop_at_once():
    from kingcupfront_gateway import draining

    draining.drain = lambda *_: None


if __name__ == '__main__':
    import sys

    planted.main(sys.argv[1])
