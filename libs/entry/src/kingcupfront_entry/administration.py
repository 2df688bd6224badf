"""The read-only interface for operators."""

import dataclasses
import typing

import bottle

from kingcupfront_entry import state


class Administration:
    """Shows the state of a process.

    :param process: the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.get('/health', callback=lambda: {'status': 'ok'})
        app.get('/ready', callback=self.ready)
        app.get('/metrics', callback=self.metrics)
        app.get('/dump', callback=self.dump)

    def ready(self) -> typing.Any:
        """Answer 200 if new callers should come, else 503."""
        bottle.response.status = 200 if self._process.ready else 503
        return {'ready': self._process.ready}

    def metrics(self) -> typing.Any:
        """Answer the metrics in the Prometheus text format."""
        bottle.response.content_type = 'text/plain; version=0.0.4'
        return self._process.metrics.exposition()

    def dump(self) -> typing.Any:
        """Answer the whole state of the process."""
        process = self._process
        refusal = process.in_force.refusal
        return {
            'instance': process.settings.instance,
            'incarnation': process.link.incarnation,
            'place': process.settings.place,
            'ready': process.ready,
            'draining': process.draining,
            'configuration': {
                'revision': process.in_force.revision,
                'refusal': refusal and dataclasses.asdict(refusal),
            },
            'targets': {
                item.id: item.as_dict()
                for item in process.router.targets_by_id.values()
            },
            'requests': [
                dataclasses.asdict(item)
                for item in process.activities_by_id.values()
            ],
            'metrics': process.metrics.as_dict(),
            'parts': {
                name: part.as_dict()
                for name, part in process.parts_by_name.items()
            },
        }
