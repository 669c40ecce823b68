"""The endpoint list on a slow disk: updates are applied without waiting for the cache."""

from test_journal_writer import HeldWorker

from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership import endpoint_cache
from ochrecourse.membership.endpoint_list_store import EndpointListStore, WatcherContext
from ochrecourse.wire.messages import EndpointEntry


def make_store(path, worker, updates, warnings):
    context = WatcherContext("g0", VirtualNetwork(1), updates.append, path, 1, warnings.append, worker)
    return EndpointListStore(context)


def entry(node):
    return EndpointEntry(node=node, address="127.0.0.1:9")


def test_a_list_is_applied_before_it_is_cached_and_only_the_newest_is_cached_after_it(tmp_path):
    """Guards against a sync of the cached list that blocks the event loop at each change of the list."""
    path, worker, updates = tmp_path / "g0.nodes", HeldWorker(), []
    list_store = make_store(path, worker, updates, [])
    list_store.apply_update("full", 1, [entry(1)])
    for epoch in range(2, 6):
        list_store.apply_update("delta", epoch, [entry(epoch)])
    assert len(updates) == 5 and not path.exists() and len(worker.operations) == 1
    worker.end()
    assert endpoint_cache.load(path).epoch == 1 and len(worker.operations) == 1
    worker.end()
    assert endpoint_cache.load(path).epoch == 5 and not worker.operations


def test_a_failed_write_of_the_cache_is_counted_and_the_next_one_is_tried(tmp_path):
    path, worker, warnings = tmp_path / "not there" / "g0.nodes", HeldWorker(), []
    list_store = make_store(path, worker, [], warnings)
    list_store.apply_update("full", 1, [entry(1)])
    list_store.apply_update("delta", 2, [entry(2)])
    worker.end()
    assert list_store.counts["lists not kept"] == 1 and warnings[0].startswith(
        "the list of nodes could not be kept: "
    )
    path.parent.mkdir()
    worker.end()
    assert endpoint_cache.load(path).epoch == 2
