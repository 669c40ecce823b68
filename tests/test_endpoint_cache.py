"""The cached endpoint list while the disk is slow: who uses the list does not wait for its copy."""

from test_journal_writer import HeldWorker

from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership import endpoint_cache
from ochrecourse.membership.endpoint_list_store import EndpointListStore, WatcherContext
from ochrecourse.wire.messages import EndpointEntry


def store(path, worker, updates, lines):
    context = WatcherContext("g0", VirtualNetwork(1), updates.append, path, 1, lines.append, worker)
    return EndpointListStore(context)


def entry(node):
    return EndpointEntry(node=node, address="127.0.0.1:9")


def test_a_list_is_used_before_its_copy_is_on_disk_and_only_the_newest_is_copied_after_it(tmp_path):
    """Guards against a sync of the cached list that blocks the event loop each time a node comes or goes."""
    path, worker, updates = tmp_path / "g0.nodes", HeldWorker(), []
    kept = store(path, worker, updates, [])
    kept.apply_update("full", 1, [entry(1)])
    for epoch in range(2, 6):
        kept.apply_update("delta", epoch, [entry(epoch)])
    assert len(updates) == 5 and not path.exists() and len(worker.operations) == 1
    worker.end()
    assert endpoint_cache.load(path).epoch == 1 and len(worker.operations) == 1
    worker.end()
    assert endpoint_cache.load(path).epoch == 5 and not worker.operations


def test_a_copy_that_could_not_be_written_is_counted_and_the_next_one_is_tried(tmp_path):
    path, worker, lines = tmp_path / "not there" / "g0.nodes", HeldWorker(), []
    kept = store(path, worker, [], lines)
    kept.apply_update("full", 1, [entry(1)])
    kept.apply_update("delta", 2, [entry(2)])
    worker.end()
    assert kept.counts["lists not kept"] == 1 and lines[0].startswith("the list of nodes could not be kept: ")
    path.parent.mkdir()
    worker.end()
    assert endpoint_cache.load(path).epoch == 2
