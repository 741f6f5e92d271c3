"""The workers of the endpoint list, and what is derived from them, after any changes."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lapistrestle.policy.endpoints import Endpoints
from lapistrestle.policy.entities import Worker
from lapistrestle.policy.types import EndpointState, WorkerInfo

NAMES = [f"w{number}" for number in range(8)]

entries = st.builds(
    WorkerInfo,
    name=st.sampled_from(NAMES),
    size=st.sampled_from([0.1, 0.7, 1.0, 4.0]),
    endpoint_state=st.sampled_from(EndpointState),
    booted_at=st.sampled_from([None, 1, 2]),
)
changes = st.tuples(st.lists(entries, max_size=5, unique_by=lambda entry: entry.name), st.booleans())


@settings(max_examples=300, deadline=None, derandomize=True)
@given(events=st.lists(changes, max_size=12), reads=st.lists(st.booleans(), min_size=12, max_size=12))
def test_ring_and_sums_are_those_of_a_list_that_is_sorted_anew(events: Any, reads: list[bool]) -> None:
    """Whether they are read after each change or after several."""
    endpoints, workers = Endpoints(partial=False), {name: Worker(name) for name in NAMES}
    for (changed, is_snapshot), is_read in zip(events, reads, strict=False):
        ring, version = list(endpoints.ring), endpoints.version
        endpoints.update([(workers[entry.name], entry) for entry in changed], is_snapshot)
        listed = [worker for worker in endpoints.known if worker not in endpoints.removed]
        expected = sorted(listed, key=lambda worker: (worker.ring_position, worker.name))
        assert endpoints.ring == expected
        assert (endpoints.version != version) == (ring != expected)
        if is_read:
            serving = [worker for worker in expected if worker.endpoint_state is EndpointState.SERVING]
            assert list(endpoints.serving) == serving
            assert endpoints.size == sum(worker.size for worker in serving)
        endpoints.forget_removed()
        assert not endpoints.removed
