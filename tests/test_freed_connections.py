"""Connections that have ended are freed at once, without a garbage collection: those of clients, those to storage nodes
and watches of the endpoint list, on real sockets."""

import gc
import weakref
from pathlib import Path

import ochrecourse
import pytest
from test_client_close import make_shop, read_available
from test_service import PING, read

__all__ = ["make_shop"]

PACKAGE = Path(ochrecourse.__file__).parent
PLAYED_SIDES = {"lab", "standins"}  # clients and nodes of scripted days, which end with the day
MISTAKES = {
    "not_a_command": b"nonsense\r\n",
    "unknown_command": b"*1\r\n$7\r\nUNKNOWN\r\n",
    "bad_length": b"*4\r\n$8\r\nBLK.READ\r\n$99999999\r\n",
    "bad_field": read(1).replace(b"c=read", b"c=rea\xff"),
    "bad_end": read(1)[:-2] + b"xx",
}


@pytest.fixture
def without_collections():
    """Disables automatic garbage collections, as the service does (`CycleCollector`)."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def freed(references):
    assert references
    return all(each() is None for each in references)


@pytest.mark.parametrize("partial", [b"", read(2)[:-9]])
@pytest.mark.parametrize("code", MISTAKES)
def test_a_clients_connection_that_ended_with_an_error_is_freed(
    make_shop, without_collections, code, partial
):
    """Guards against input that stays in memory: the error's traceback referred to all that was being parsed."""
    shop = make_shop()
    client, connection = shop.client()
    client.sendall(PING + MISTAKES[code] + partial)
    shop.loop.run_until(lambda: connection.protocol_error)
    assert connection.protocol_error.code == code
    references = [weakref.ref(each) for each in (connection, connection.transport, connection.parser)]
    connection = None
    shop.loop.settle()
    assert read_available(client).startswith(b"+PONG\r\n-ERR ")
    client.close()
    shop.loop.run_until(lambda: not shop.server.connections)
    shop.loop.settle()
    assert freed(references)


@pytest.mark.parametrize("how", ["loseConnection", "abortConnection"])
def test_a_connection_that_a_node_closes_is_freed(make_shop, without_collections, how):
    """Guards against memory that grows while nodes close idle connections under steady traffic."""
    shop = make_shop()
    client, _ = shop.client()
    shop.serve(client, 1)
    connections = list(shop.service.gateway.nodes.connections.values())
    references = [weakref.ref(each) for each in connections + [each.transport for each in connections]]
    connections = None
    for peer in list(shop.node.peers):
        getattr(peer.transport, how)()
    shop.loop.run_until(lambda: not shop.service.gateway.nodes.connections)
    shop.loop.now += 1  # past the time after a reply in which the connection is not used
    shop.loop.settle()
    assert freed(references)


def test_a_connection_that_this_side_closes_is_freed(make_shop, without_collections):
    """Guards against memory that grows with every attempt that is given up."""
    shop = make_shop(lambda arguments: None)
    client, _ = shop.client()
    shop.send(client, read(1))
    shop.loop.run_until(lambda: shop.node.commands)
    connections = list(shop.service.gateway.nodes.connections.values())
    references = [weakref.ref(each) for each in connections + [each.transport for each in connections]]
    connections = None
    shop.loop.now += 1  # past the deadline of the request
    shop.loop.run_until(lambda: not shop.service.gateway.nodes.connections)
    shop.loop.settle()
    assert freed(references)


@pytest.mark.parametrize("how", ["loseConnection", "abortConnection"])
def test_a_watch_of_the_endpoint_list_that_has_ended_is_freed(make_shop, without_collections, how):
    """Guards against memory that grows while the list's agent closes watches."""
    shop = make_shop()
    watch = shop.service.watch.watches[0]
    references = [weakref.ref(each) for each in (watch, watch.transport)]
    watch = None
    getattr(shop.agent.watches[0].transport, how)()
    shop.loop.run_until(lambda: references[0]() is None or not shop.service.watch.watches)
    for _ in range(100):
        shop.loop.now += 0.1
        shop.loop.settle()
    assert freed(references)


def test_connections_of_all_kinds_count_for_the_next_garbage_collection(make_shop):
    """Guards against a collector that is told of clients' connections only."""
    shop = make_shop()
    client, _ = shop.client()
    shop.serve(client, 1)
    closed = shop.service.closed_connections()
    client.close()
    for peer in [*shop.node.peers, *shop.agent.watches]:
        peer.transport.loseConnection()
    shop.loop.run_until(lambda: not shop.service.gateway.nodes.connections and not shop.server.connections)
    for _ in range(100):
        shop.loop.now += 0.1
        shop.loop.settle()
    assert shop.service.closed_connections() >= closed + 3


def test_all_factories_of_outgoing_connections_free_them():
    """Guards against a new kind of connection that stays in memory after its end."""
    modules = [path for path in PACKAGE.rglob("*.py") if path.parent.name not in PLAYED_SIDES]
    names = [path.name for path in modules if "import ClientFactory" in path.read_text()]
    assert names == ["outgoing_connections.py"]
