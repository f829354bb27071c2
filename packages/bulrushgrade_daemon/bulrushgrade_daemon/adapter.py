"""The interface that a platform implements for the gateway."""

from collections.abc import Callable

import attrs
from returns.result import Result

from bulrushgrade import directory
from bulrushgrade import errors
from bulrushgrade import routing
from bulrushgrade_daemon import cachewatch
from bulrushgrade_daemon import crashsharing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import stagecontrol
from bulrushgrade_daemon import topicreader


@attrs.frozen(kw_only=True)
class Adapter:
    """The platform-specific functions, readers and topics of a gateway.

    Attributes:
        dialect: Translates between the platform's headers and the gateway's.
        configuration_reader: Reads the topic that holds the configuration.
        endpoint_reader: Reads the topic that holds the endpoints.
        decode_configuration: Returns the configuration in a keyed record,
            None if the key is for something else, or a failure.
        decode_registration: Returns an endpoint's registration or a failure.
        read_cache_changes: Reads the changes of an engine's cache.
        membership: The topic by which gateways discover each other.
        crash_topic: The topic of requests in flight at endpoints that
            crashed.
        order_topic: The topic that decides which gateway may give orders.
        make_engine_control: Returns the functions that query engines and send
            them orders, from one that opens a connection to an engine.
        operator_calls: Calls for the operator that one host at a time makes;
            None if there are none.
        watch_epoch: Sets the function that is called with the epoch that each
            answer of the store states, see `storeepoch`.
    """

    dialect: dialect.Dialect
    configuration_reader: topicreader.KeyedReader
    endpoint_reader: topicreader.KeyedReader
    decode_configuration: Callable[
        [topicreader.KeyedRecord],
        Result[routing.Configuration | None, errors.BadRecord],
    ]
    decode_registration: Callable[
        [topicreader.KeyedRecord],
        Result[directory.Registration, errors.BadRecord],
    ]
    read_cache_changes: cachewatch.ReadChanges
    membership: peerlink.Membership
    crash_topic: crashsharing.CrashTopic
    order_topic: ordertopic.OrderTopic
    make_engine_control: Callable[
        [outbound.OpenClient], stagecontrol.EngineControl
    ]
    operator_calls: operatorcalls.OperatorCalls | None = None
    watch_epoch: Callable[[Callable[[int], None]], None] = lambda observe: None
