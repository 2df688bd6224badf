"""The read-only administration API."""

from collections.abc import Callable
import functools
import typing

import bottle

from kingcupfront_core import errors
from kingcupfront_core import registry
from kingcupfront_entry import error_responses
from kingcupfront_entry import pages
from kingcupfront_entry import state
from kingcupfront_entry import views

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
PREFIX = '/admin/v1'

# Help text and field of the status by the name of the gauge.
GAUGES_BY_NAME = {
    'kingcupfront_ready': ('1 if new callers should come.', 'ready'),
    'kingcupfront_revision': ('The revision in force.', 'revision'),
    'kingcupfront_refusals': ('Published sets refused now.', 'refusals'),
    'kingcupfront_requests_in_progress': (
        'Requests in progress.',
        'requests',
    ),
    'kingcupfront_targets': ('Targets known.', 'targets'),
    'kingcupfront_peers': ('Other entries known.', 'peers'),
}

ResourceView = Callable[[state.State, pages.Page], typing.Any]
resources: registry.Registry[ResourceView] = registry.Registry('resource')


class Administration:
    """Serves the state of a process to operators.

    :param process: the state of the process.
    """

    def __init__(self, process: state.State) -> None:
        self._process = process
        for name, (help_text, field) in GAUGES_BY_NAME.items():
            process.metrics.gauge(
                name,
                help_text,
                functools.partial(_status_value, process, field),
            )

    def mount(self, app: bottle.Bottle) -> None:
        """Add the routes to an application.

        :param app: the application.
        """
        app.get('/health', callback=lambda: {'status': 'ok'})
        app.get('/ready', callback=self.ready)
        app.get('/metrics', callback=self.metrics)
        app.get('/dump', callback=self.dump)
        app.get(PREFIX, callback=self.index)
        for name in resources:
            app.get(
                f'{PREFIX}/{name}',
                callback=functools.partial(
                    self._serve_resource, resources.get(name)
                ),
            )

    def ready(self) -> typing.Any:
        """Return the readiness, with status 200 if ready and 503 if not."""
        bottle.response.status = 200 if self._process.ready else 503
        return {
            'ready': self._process.ready,
            'reasons': views.unready_reasons(self._process),
        }

    def metrics(self) -> typing.Any:
        """Return the metrics in the Prometheus text format."""
        # Loaded at the first call, since it takes much memory.
        from kingcupfront_core import exposition

        bottle.response.content_type = METRICS_TYPE
        return exposition.text(self._process.metrics.snapshot())

    def dump(self) -> typing.Any:
        """Return the whole state of the process."""
        return views.dump(self._process)

    def index(self) -> typing.Any:
        """Return the paths of all resources."""
        return {'resources': [f'{PREFIX}/{name}' for name in resources]}

    def _serve_resource(self, view: ResourceView) -> typing.Any:
        query = bottle.request.query
        try:
            page = pages.Page.parse(
                query.get('after') or '', query.get('limit') or ''
            )
            return view(self._process, page)
        except errors.BadInputError as error:
            bottle.response.status = error_responses.STATUS_BY_CODE[
                'bad_input'
            ]
            return error_responses.error_body(error)


def _status_value(process: state.State, field: str) -> float:
    return float(views.status(process)[field])


@resources.register('status')
def _status(process: state.State, _: pages.Page) -> typing.Any:
    return views.status(process)


@resources.register('configuration')
def _configuration(process: state.State, page: pages.Page) -> typing.Any:
    shown = views.configuration(process)
    rows = views.objects_by_key(process)
    return shown | {'objects': page.render(rows, lambda key: rows[key])}


@resources.register('refusals')
def _refusals(process: state.State, _: pages.Page) -> typing.Any:
    return {'items': views.refusals(process)}


@resources.register('targets')
def _targets(process: state.State, page: pages.Page) -> typing.Any:
    rows = dict(process.router.targets_by_id)
    return page.render(rows, lambda key: views.target(process, rows[key]))


@resources.register('peers')
def _peers(process: state.State, page: pages.Page) -> typing.Any:
    rows = views.peers_by_id(process)
    members = views.members_by_id(process)
    return page.render(
        rows.keys() | members.keys(),
        lambda key: (
            rows.get(key, {'id': key})
            | {'member': members.get(key), 'listed': key in rows}
        ),
    )


@resources.register('teams')
def _teams(process: state.State, page: pages.Page) -> typing.Any:
    rows = views.teams_by_name(process)
    return page.render(rows, lambda key: rows[key])


@resources.register('requests')
def _requests(process: state.State, page: pages.Page) -> typing.Any:
    rows = dict(process.active_requests_by_id)
    return page.render(rows, lambda key: views.request(process, rows[key]))
